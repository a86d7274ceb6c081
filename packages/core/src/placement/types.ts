/** The placement decision: which engines serve a request, or that it waits or is refused. */
import type {EngineRole, ServiceClass} from '../catalogue/types.js';
import type {RouterError} from '../errors.js';
import type {
	AttemptNumber, DataCentreId, EngineId, EngineIncarnation, InstanceId, RequestId, ServiceName,
} from '../ids.js';
import type {EngineHold} from '../engine/engine-client.js';
import type {RandomSource} from '../random.js';
import type {Instant} from '../time.js';
import type {LearnedFigures} from './learned-figures.js';

/** What a request needs of the engines. */
export type PlacementRequest = {
	readonly requestId: RequestId;
	readonly attempt: AttemptNumber;
	readonly service: ServiceName;
	readonly class: ServiceClass;
	/** The instance that will hold the place. */
	readonly holder: InstanceId;
	/** Tokens to prefill. */
	readonly promptTokens: number;
	/** Output tokens at most. */
	readonly maxTokens: number;
	/** Memory pieces for the expected whole length. */
	readonly pieces: number;
	/** Hash of the prompt's first part, for prefix reuse; empty when unknown. */
	readonly prefix: string;
	/** When a wait for a place must end. */
	readonly deadline: Instant;
	/** When the first output is due by the service's target; undefined without one. */
	readonly firstOutputBy?: Instant;
	/** Longest predicted wait that the asker accepts, in milliseconds; undefined for as long as the target allows. */
	readonly acceptWaitMs?: number;
	/** Longest pause between outputs that counts as steady, in milliseconds; undefined for the service's target. */
	readonly steadyGapMs?: number;
	/** Whether the decode engine itself must read the prompt: that of a stream which goes on there. */
	readonly readsDirectly?: boolean;
	/** Engines that just failed this request. */
	readonly excluded: readonly EngineId[];
};

/** What the decider knows of one engine. */
export type EngineView = {
	readonly id: EngineId;
	readonly address: string;
	readonly dataCentre: DataCentreId;
	readonly role: EngineRole;
	readonly pieces: number;
	/** Pieces not reserved, as far as the decider knows. */
	readonly freePieces: number;
	/** Prefill tokens started or waiting, as far as the decider knows. */
	readonly queuedTokens: number;
	/** Streams decoding or due to, as far as the decider knows. */
	readonly running: number;
	/** Streams that the engine may run within the target between outputs; infinite until learned. */
	readonly maxStreams: number;
	/** When the last report arrived; undefined before the first. */
	readonly reportedAt: Instant | undefined;
	readonly incarnation: EngineIncarnation | undefined;
	/** No new work may go to it. */
	readonly leaving: boolean;
};

/** An engine and where it listens. */
export type EngineAddress = {
	readonly id: EngineId;
	/** `host:port` by IP number. */
	readonly address: string;
};

/** A place on a pair of engines. */
export type Placement = {
	readonly decode: EngineAddress;
	readonly prefill: EngineAddress;
	readonly pieces: number;
	/** The instance that granted the place and must hear of its release. */
	readonly grantedBy: InstanceId;
};

/** The engines that may get work, by role and load. No call scans all of them. */
export type EngineIndex = {
	/** Memory pieces of the largest decode engine so far. */
	readonly largestPieces: number;
	get(id: EngineId): EngineView | undefined;
	/** Engines of a role, least loaded first. */
	byLoad(role: EngineRole): Iterable<EngineView>;
	/** A random engine of a role; undefined when there is none. */
	sample(role: EngineRole, random: RandomSource): EngineView | undefined;
};

/** The queue as a policy sees it. */
export type QueueView = {
	readonly length: number;
	/** Prompt tokens that go before a new request of this class. */
	tokensAhead(req: Pick<PlacementRequest, 'class'>): number;
};

/** The outcome of a decision. */
export type PlacementDecision =
	| {readonly kind: 'reserve'; readonly decode: EngineView; readonly prefill: EngineView}
	/** No engine can start now: for lack of `memory`, which a smaller request may not need, or of anything else. */
	| {readonly kind: 'wait'; readonly lacks: 'memory' | 'other'}
	/** The request can't meet its target any more: it waits behind those that can. */
	| {readonly kind: 'defer'}
	| {readonly kind: 'refuse'; readonly error: RouterError};

/** Whether a new request may queue. */
export type Admission =
	| {readonly kind: 'queue'}
	/** Behind all that can meet their target. */
	| {readonly kind: 'defer'}
	| {readonly kind: 'refuse'; readonly error: RouterError};

/** What a policy learns from. */
export type PolicyEvent =
	| {readonly kind: 'granted'; readonly req: PlacementRequest; readonly decode: EngineId; readonly prefill: EngineId; readonly waiting: number}
	/** The number of places granted on a decode engine changed. */
	| {readonly kind: 'streams'; readonly engine: EngineId; readonly streams: number}
	| {readonly kind: 'prefillDone'; readonly hold: EngineHold}
	| {readonly kind: 'transferDone'; readonly hold: EngineHold}
	| ({readonly kind: 'released'; readonly hold: EngineHold} & StreamOutcome);

/** What became of a stream, as far as its holder tells. */
export type StreamOutcome = {
	/** How its outputs came, where it had several. */
	readonly pace?: PaceSample;
	/** Output tokens of a stream that completed. */
	readonly outputTokens?: number;
};

/** How a stream's outputs came, where it had several. */
export type PaceSample = {
	/** Mean time between outputs, in milliseconds. */
	readonly betweenMs: number;
	/** Longest time between two outputs, in milliseconds; undefined where it was not measured. */
	readonly longestMs?: number;
};

/** Chooses engines for a request. Implementations hold no I/O. */
export type PlacementPolicy = {
	readonly name: string;
	/** Learned rate at which prefill engines read, in tokens per millisecond. */
	readonly prefillTokensPerMs?: number;
	/** What the next owner should know; undefined where the policy learns nothing. */
	readonly learned?: LearnedFigures;
	/** Decides the request at the head of the queue; `late` when it was deferred before. */
	decide(req: PlacementRequest, engines: EngineIndex, now: Instant, late?: boolean): PlacementDecision;
	/** Refuses a request that would have to wait too long, or defers one that is too long for its target even alone. */
	admit?(req: PlacementRequest, queue: QueueView, now: Instant): Admission;
	observe?(event: PolicyEvent, now: Instant): void;
	/** Streams that a decode engine may run; undefined while unknown. */
	maxStreams?(engine: EngineId): number | undefined;
	/** Memory pieces that a request is expected to need; those that it asks for without this. */
	piecesOf?(req: PlacementRequest): number;
	/** Memory pieces to keep free on a decode engine, for streams whose output grows longer than expected. */
	reservePieces?(streams: number): number;
};
