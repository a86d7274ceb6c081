/** Interface of the replicated control log. */
import type {
	CommandOf,
	ControlEntry,
	ControlCommandKind,
	ControlCommandResults,
} from './control-command.js';
import type {ControlState} from './control-state.js';

/** Thrown when the outcome of a command is unknown or no quorum is reachable. */
export class ControlUnavailableError extends Error {
	override readonly name = 'ControlUnavailableError';

	/** `maybeSubmitted` is false only if the command certainly did not enter the log. */
	constructor(message: string, readonly maybeSubmitted: boolean) {
		super(message);
	}
}

/** Called with each entry after this instance has applied it, and with undefined after the whole state has been replaced. */
export type AppliedListener = (entry: ControlEntry | undefined) => void;

/** A replicated log of commands that every instance applies in the same order. */
export type ControlLog = {
	/** This instance's replica of the state, which may lag behind the quorum. */
	readonly state: ControlState;
	/** Appends a command and resolves with its result once the command is durable and applied. Throws `ControlUnavailableError`. */
	submit<Kind extends ControlCommandKind>(command: CommandOf<Kind>): Promise<ControlCommandResults[Kind]>;
	/** Resolves once `state` includes every command accepted before the call. Throws `ControlUnavailableError`. */
	barrier(): Promise<void>;
	/** Registers a listener and returns a function that removes it. */
	registerListener(listener: AppliedListener): () => void;
};
