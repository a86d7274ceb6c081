/** What the router asks of a model engine, whatever dialect the engine speaks. */
import type {EngineRole} from '../catalogue/types.js';
import type {
	AttemptNumber, EngineId, FencingToken, EngineIncarnation, InstanceId, RequestId,
} from '../ids.js';
import type {Result} from '../result.js';

/** Names one attempt's hold on an engine. */
export type EngineHold = {
	readonly requestId: RequestId;
	readonly attempt: AttemptNumber;
};

/** Why an engine call failed. */
export type EngineFault =
	/** Nothing was sent: the connection was refused. */
	| {readonly kind: 'unreachable'; readonly detail: string}
	/** The engine has no free memory. */
	| {readonly kind: 'full'; readonly freePieces: number}
	/** The prefill result or the hold is gone. */
	| {readonly kind: 'expired'}
	/** The connection broke or went silent after sending. */
	| {readonly kind: 'lost'; readonly detail: string}
	/** The engine refused: an old fencing number, a wrong role, bad input. */
	| {readonly kind: 'refused'; readonly detail: string};

/** A prefill's result, kept by its engine for a short time. */
export type KvHandle = {
	readonly engine: EngineId;
	readonly kvId: string;
	readonly tokens: number;
	/** Milliseconds after the prefill's end until the result is dropped. */
	readonly expiresInMs: number;
};

/** One piece of a decode stream; `seq` counts output tokens from 0 within the attempt. */
export type DecodeChunk =
	| {readonly kind: 'tokens'; readonly seq: number; readonly texts: readonly string[]}
	| {readonly kind: 'end'; readonly seq: number; readonly finish: 'stop' | 'length'};

/** Memory that an engine holds for a request, by its own account. */
export type ReportedHold = {
	readonly requestId: RequestId;
	/** Undefined for engines that know requests only by their ids. */
	readonly attempt: AttemptNumber | undefined;
	readonly pieces: number;
	/** The instance that the memory is held for, where the engine knows it. */
	readonly holder?: InstanceId;
};

/** An engine's own account of itself; it arrives late. */
export type EngineReport = {
	readonly engine: EngineId;
	readonly incarnation: EngineIncarnation;
	readonly role: EngineRole;
	readonly pieces: number;
	readonly freePieces: number;
	/** Prefill tokens waiting. */
	readonly queuedTokens: number;
	/** Streams decoding. */
	readonly running: number;
	readonly held: readonly ReportedHold[];
};

/** What is asked of a prefill. */
export type PrefillOrder = EngineHold & {
	readonly prompt: string;
	readonly tokens: number;
	/** Lower goes first. */
	readonly priority: number;
};

/** What is asked of a decode. */
export type DecodeOrder = EngineHold & {
	/** Output tokens still wanted. */
	readonly maxTokens: number;
	/** Output tokens already sent to the caller by earlier attempts. */
	readonly sentTokens: number;
	readonly priority: number;
};

/** A fenced order to change what an engine serves. */
export type EngineChange =
	| {readonly kind: 'setRole'; readonly role: EngineRole}
	| {readonly kind: 'loadModel'; readonly model: string; readonly version: string}
	| {readonly kind: 'loadAdapter'; readonly adapter: string};

/** A connection to one engine. Every call settles; none throws. */
export type EngineClient = {
	/** Sets memory pieces aside for an attempt. Repeats of the same hold are harmless. */
	reserve(hold: EngineHold, pieces: number, holder: InstanceId): Promise<Result<EngineIncarnation, EngineFault>>;
	prefill(order: PrefillOrder, signal: AbortSignal): Promise<Result<KvHandle, EngineFault>>;
	/** Makes this engine import a prefill's result from the engine at `from`. */
	transfer(hold: EngineHold, handle: KvHandle, from: string, signal: AbortSignal): Promise<Result<void, EngineFault>>;
	/** Starts decoding; the generator ends with the `end` chunk or throws an `EngineFaultError`. */
	decode(order: DecodeOrder, signal: AbortSignal): AsyncGenerator<DecodeChunk>;
	/** Goes on with a running decode from output token `fromSeq` on a new connection. */
	resume(hold: EngineHold, fromSeq: number, signal: AbortSignal): AsyncGenerator<DecodeChunk>;
	/** Stops an attempt and frees its memory; harmless when it is gone already. Success means freed. */
	cancel(hold: EngineHold): Promise<Result<void, EngineFault>>;
	report(): Promise<Result<EngineReport, EngineFault>>;
	change(fencing: FencingToken, change: EngineChange): Promise<Result<void, EngineFault>>;
};

/** Thrown by the streams of an `EngineClient`. */
export class EngineFaultError extends Error {
	override readonly name = 'EngineFaultError';

	constructor(readonly fault: EngineFault) {
		super(`engine fault: ${fault.kind}`);
	}
}
