/** What reaches a model request, what it asks for, and what it may come to. */
import type {DecodeChunk, EngineFault, KvHandle} from '../engine/engine-client.js';
import type {RouterError} from '../errors.js';
import type {AttemptNumber, EngineId, RequestId} from '../ids.js';
import type {Placement} from '../placement/types.js';
import type {Instant} from '../time.js';

/** What a caller asked for. */
export type ModelRequest = {
	readonly id: RequestId;
	readonly promptTokens: number;
	readonly maxTokens: number;
	readonly pieceTokens: number;
	/** Longest wait for a place, in milliseconds. */
	readonly queueMs: number;
	/** Longest time altogether, in milliseconds. */
	readonly totalMs: number;
	/** Longest silence of a decode stream, in milliseconds. */
	readonly streamIdleTimeoutMs: number;
	/** Attempts at most, over all engines; also resumes of one stream without a new token between them. */
	readonly maxAttempts: number;
};

/** The calls of an attempt to its engines. */
export type AttemptCall = 'reserve' | 'prefill' | 'transfer' | 'decode';

/** What reaches a request. Events of an attempt other than the current one are dropped and counted. */
export type RequestEvent =
	| {readonly kind: 'start'}
	| {readonly kind: 'placed'; readonly attempt: AttemptNumber; readonly placement: Placement}
	| {readonly kind: 'refused'; readonly attempt: AttemptNumber; readonly error: RouterError}
	| {readonly kind: 'reserved'; readonly attempt: AttemptNumber}
	| {readonly kind: 'prefilled'; readonly attempt: AttemptNumber; readonly handle: KvHandle}
	| {readonly kind: 'transferred'; readonly attempt: AttemptNumber}
	| {readonly kind: 'chunk'; readonly attempt: AttemptNumber; readonly chunk: DecodeChunk}
	/** A keep-alive of the decode stream, or a pause that the caller's slow reading causes. */
	| {readonly kind: 'alive'; readonly attempt: AttemptNumber}
	| {readonly kind: 'failed'; readonly attempt: AttemptNumber; readonly call: AttemptCall; readonly fault: EngineFault}
	/** The engine confirmed the cancel of this round: the attempt holds no memory. */
	| {readonly kind: 'freed'; readonly attempt: AttemptNumber; readonly round: number}
	| {readonly kind: 'callerGone'}
	| {readonly kind: 'tick'};

/** An event that belongs to an attempt. */
export type AttemptEvent = Extract<RequestEvent, {attempt: AttemptNumber}>;

/** What a request asks for. Each effect that touches an engine carries its attempt. */
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
	/** Must be answered by `reserved` or `failed`, also after an `abort`. */
	| {readonly kind: 'reserve'; readonly attempt: AttemptNumber; readonly placement: Placement}
	| {readonly kind: 'prefill'; readonly attempt: AttemptNumber; readonly placement: Placement; readonly tokens: number}
	| {readonly kind: 'prefillDone'; readonly attempt: AttemptNumber; readonly placement: Placement}
	| {readonly kind: 'transfer'; readonly attempt: AttemptNumber; readonly placement: Placement; readonly handle: KvHandle}
	| {readonly kind: 'decode'; readonly attempt: AttemptNumber; readonly placement: Placement; readonly maxTokens: number; readonly sentTokens: number}
	| {readonly kind: 'resume'; readonly attempt: AttemptNumber; readonly placement: Placement; readonly fromSeq: number}
	/** Drop the attempt's connections and pending calls, except a `reserve`; a wish for a place is withdrawn. */
	| {readonly kind: 'abort'; readonly attempt: AttemptNumber}
	/** Free the attempt's memory: repeated until confirmed, then answered by `freed` with the same round. */
	| {readonly kind: 'cancel'; readonly attempt: AttemptNumber; readonly placement: Placement; readonly round: number}
	/** Give the place back to the instance that granted it: its memory is free. */
	| {readonly kind: 'release'; readonly attempt: AttemptNumber; readonly placement: Placement}
	| {readonly kind: 'output'; readonly texts: readonly string[]}
	| {readonly kind: 'finish'; readonly outcome: RequestOutcome};

/** The one outcome of a request. */
export type RequestOutcome =
	| {readonly kind: 'complete'; readonly finish: 'stop' | 'length'; readonly outputTokens: number}
	| {readonly kind: 'failed'; readonly error: RouterError; readonly outputTokens: number}
	| {readonly kind: 'callerGone'; readonly outputTokens: number};
