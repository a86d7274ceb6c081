/** The replicated control log as the rest of the system uses it. */
import type {
	CommandOf,
	ControlEntry,
	ControlCommandKind,
	ControlCommandResults,
} from './control-command.js';
import type {ControlState} from './control-state.js';

/** Thrown when a command's fate is unknown or no quorum is reachable. */
export class ControlUnavailableError extends Error {
	override readonly name = 'ControlUnavailableError';

	/** `submitted` is false when the command surely did not enter the log. */
	constructor(message: string, readonly maybeSubmitted: boolean) {
		super(message);
	}
}

/** Called for each entry after this instance applied it, and with undefined after the whole state was replaced. */
export type AppliedListener = (entry: ControlEntry | undefined) => void;

/** A log that every instance applies in the same order. */
export type ControlLog = {
	/** This instance's copy of the state; it may lag behind the quorum. */
	readonly state: ControlState;
	/** Appends a command; resolves with its result once it is durable and applied. Throws `ControlUnavailableError`. */
	submit<Kind extends ControlCommandKind>(command: CommandOf<Kind>): Promise<ControlCommandResults[Kind]>;
	/** Resolves once `state` holds everything accepted before the call. Throws `ControlUnavailableError`. */
	barrier(): Promise<void>;
	/** Registers a listener; returns the teardown. */
	registerListener(listener: AppliedListener): () => void;
};
