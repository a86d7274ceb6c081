/** Events, effects and outcomes of a model request. */
import type {DecodeChunk, EngineFault, KvHandle} from '../engine/engine-client.js';
import type {RouterError} from '../errors.js';
import type {AttemptNumber, EngineId, RequestId} from '../ids.js';
import type {Placement} from '../placement/types.js';
import type {Instant} from '../time.js';

/** The parameters of a model request. */
export type ModelRequest = {
	readonly id: RequestId;
	readonly promptTokens: number;
	readonly maxTokens: number;
	readonly pieceTokens: number;
	/** Maximum wait for a placement, in milliseconds. */
	readonly queueMs: number;
	/** Total timeout of the request, in milliseconds. */
	readonly totalMs: number;
	/** Idle timeout of a decode stream, in milliseconds. */
	readonly streamIdleTimeoutMs: number;
	/** Maximum number of attempts over all engines; also the maximum number of resumes of a stream without a new token in between. */
	readonly maxAttempts: number;
};

/** The engine calls of an attempt. */
export type AttemptCall = 'reserve' | 'prefill' | 'transfer' | 'decode';

/** Input events of a request. Events of an earlier attempt are dropped and counted unless they concern its reservation. */
export type RequestEvent =
	| {readonly kind: 'start'}
	| {readonly kind: 'placed'; readonly attempt: AttemptNumber; readonly placement: Placement}
	| {readonly kind: 'refused'; readonly attempt: AttemptNumber; readonly error: RouterError}
	| {readonly kind: 'reserved'; readonly attempt: AttemptNumber}
	| {readonly kind: 'prefilled'; readonly attempt: AttemptNumber; readonly handle: KvHandle}
	| {readonly kind: 'transferred'; readonly attempt: AttemptNumber}
	| {readonly kind: 'chunk'; readonly attempt: AttemptNumber; readonly chunk: DecodeChunk}
	/** A keep-alive of the decode stream, or a pause due to backpressure from the caller. */
	| {readonly kind: 'alive'; readonly attempt: AttemptNumber}
	| {readonly kind: 'failed'; readonly attempt: AttemptNumber; readonly call: AttemptCall; readonly fault: EngineFault}
	/** The engine confirmed the cancel of this round: the attempt holds no memory. */
	| {readonly kind: 'freed'; readonly attempt: AttemptNumber; readonly round: number}
	| {readonly kind: 'callerGone'}
	| {readonly kind: 'tick'};

/** An event that belongs to an attempt. */
export type AttemptEvent = Extract<RequestEvent, {attempt: AttemptNumber}>;

/** Effects that a request requires. Each effect that involves an engine carries its attempt. */
export type RequestEffect =
	| {
		readonly kind: 'place';
		readonly attempt: AttemptNumber;
		readonly tokens: number;
		readonly maxTokens: number;
		readonly pieces: number;
		readonly excluded: readonly EngineId[];
		readonly deadline: Instant;
	}
	/** Must result in a `reserved` or `failed` event, even after an `abort`. */
	| {readonly kind: 'reserve'; readonly attempt: AttemptNumber; readonly placement: Placement}
	| {readonly kind: 'prefill'; readonly attempt: AttemptNumber; readonly placement: Placement; readonly tokens: number}
	| {readonly kind: 'prefillDone'; readonly attempt: AttemptNumber; readonly placement: Placement}
	| {readonly kind: 'transfer'; readonly attempt: AttemptNumber; readonly placement: Placement; readonly handle: KvHandle}
	| {readonly kind: 'decode'; readonly attempt: AttemptNumber; readonly placement: Placement; readonly maxTokens: number; readonly sentTokens: number}
	| {readonly kind: 'resume'; readonly attempt: AttemptNumber; readonly placement: Placement; readonly fromSeq: number}
	/** Close the connections and pending calls of the attempt, except a `reserve`; withdraw a pending `place`. */
	| {readonly kind: 'abort'; readonly attempt: AttemptNumber}
	/** Free the memory of the attempt: retried until confirmed, then followed by `freed` with the same round. */
	| {readonly kind: 'cancel'; readonly attempt: AttemptNumber; readonly placement: Placement; readonly round: number}
	/** Release the placement at the instance that granted it; its memory is already free. */
	| {readonly kind: 'release'; readonly attempt: AttemptNumber; readonly placement: Placement}
	| {readonly kind: 'output'; readonly texts: readonly string[]}
	| {readonly kind: 'finish'; readonly outcome: RequestOutcome};

/** The terminal outcome of a request; there is exactly one. */
export type RequestOutcome =
	| {readonly kind: 'complete'; readonly finish: 'stop' | 'length'; readonly outputTokens: number}
	| {readonly kind: 'failed'; readonly error: RouterError; readonly outputTokens: number}
	| {readonly kind: 'callerGone'; readonly outputTokens: number};
