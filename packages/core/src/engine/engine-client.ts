/** The router's interface to a model engine, independent of the engine's protocol. */
import type {EngineRole} from '../catalogue/types.js';
import type {
	AttemptNumber, EngineId, FencingToken, EngineIncarnation, InstanceId, RequestId,
} from '../ids.js';
import type {Result} from '../result.js';

/** Identifies the memory that an engine holds for one attempt of a request. */
export type EngineHold = {
	readonly requestId: RequestId;
	readonly attempt: AttemptNumber;
};

/** Why an engine call failed. */
export type EngineFault =
	/** The connection was refused, so nothing was sent. */
	| {readonly kind: 'unreachable'; readonly detail: string}
	/** The engine has no free memory. */
	| {readonly kind: 'full'; readonly freePieces: number}
	/** The prefill result or the hold no longer exists. */
	| {readonly kind: 'expired'}
	/** The connection failed or timed out after the request was sent. */
	| {readonly kind: 'lost'; readonly detail: string}
	/** The engine refused the call: a stale fencing token, a wrong role or invalid input. */
	| {readonly kind: 'refused'; readonly detail: string};

/** Reference to a prefill result, which its engine keeps for a short time. */
export type KvHandle = {
	readonly engine: EngineId;
	readonly kvId: string;
	readonly tokens: number;
	/** Milliseconds from the end of the prefill until the engine drops the result. */
	readonly expiresInMs: number;
};

/** One chunk of a decode stream; `seq` counts output tokens from 0 within the attempt. */
export type DecodeChunk =
	| {readonly kind: 'tokens'; readonly seq: number; readonly texts: readonly string[]}
	| {readonly kind: 'end'; readonly seq: number; readonly finish: 'stop' | 'length'};

/** Memory that an engine reports as held for a request. */
export type ReportedHold = {
	readonly requestId: RequestId;
	/** Undefined for engines that identify requests only by their ids. */
	readonly attempt: AttemptNumber | undefined;
	readonly pieces: number;
	/** The instance that the memory is held for; undefined when the engine does not report it. */
	readonly holder?: InstanceId;
};

/** An engine's report of its own state; it is out of date when it arrives. */
export type EngineReport = {
	readonly engine: EngineId;
	readonly incarnation: EngineIncarnation;
	readonly role: EngineRole;
	readonly pieces: number;
	readonly freePieces: number;
	/** Prefill tokens queued. */
	readonly queuedTokens: number;
	/** Number of streams that decode. */
	readonly running: number;
	readonly held: readonly ReportedHold[];
};

/** Parameters of a prefill. */
export type PrefillRequest = EngineHold & {
	readonly prompt: string;
	readonly tokens: number;
	/** Lower values are served first. */
	readonly priority: number;
};

/** Parameters of a decode. */
export type DecodeRequest = EngineHold & {
	/** Maximum number of output tokens still to generate. */
	readonly maxTokens: number;
	/** Output tokens already sent to the caller by earlier attempts. */
	readonly sentTokens: number;
	readonly priority: number;
};

/** A fenced change of what an engine serves. */
export type EngineChange =
	| {readonly kind: 'setRole'; readonly role: EngineRole}
	| {readonly kind: 'loadModel'; readonly model: string; readonly version: string}
	| {readonly kind: 'loadAdapter'; readonly adapter: string};

/** A client of one engine. Every promise settles and none rejects; the streams may throw. */
export type EngineClient = {
	/** Reserves memory pieces for an attempt. Idempotent for the same hold. */
	reserve(hold: EngineHold, pieces: number, holder: InstanceId): Promise<Result<EngineIncarnation, EngineFault>>;
	prefill(req: PrefillRequest, signal: AbortSignal): Promise<Result<KvHandle, EngineFault>>;
	/** Makes this engine import a prefill result from the engine at address `from`. */
	transfer(hold: EngineHold, handle: KvHandle, from: string, signal: AbortSignal): Promise<Result<void, EngineFault>>;
	/** Starts decoding; the generator ends with the `end` chunk or throws an `EngineFaultError`. */
	decode(req: DecodeRequest, signal: AbortSignal): AsyncGenerator<DecodeChunk>;
	/** Continues a running decode from output token `fromSeq` on a new connection. */
	resume(hold: EngineHold, fromSeq: number, signal: AbortSignal): AsyncGenerator<DecodeChunk>;
	/** Stops an attempt and frees its memory. Idempotent; success means that the memory is free. */
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
