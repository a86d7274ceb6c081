/** Types of the placement decision: which engines serve a request, or whether it waits or is refused. */
import type {EngineRole, ServiceClass} from '../catalogue/types.js';
import type {RouterError} from '../errors.js';
import type {
	AttemptNumber, DataCentreId, EngineId, EngineIncarnation, InstanceId, RequestId, ServiceName, SoftwareVersion, TeamName,
} from '../ids.js';
import type {EngineHold} from '../engine/engine-client.js';
import type {RandomSource} from '../random.js';
import type {Instant} from '../time.js';
import type {LearnedEstimates} from './learned-estimates.js';

/** A request for a placement: what it needs from the engines. */
export type PlacementRequest = {
	readonly requestId: RequestId;
	readonly attempt: AttemptNumber;
	readonly service: ServiceName;
	readonly class: ServiceClass;
	/** Priority within the class, 0 being the most urgent; requests without one are placed as they come. */
	readonly priority?: number | undefined;
	/** The team that shares memory with others; undefined where there are no teams. */
	readonly team?: TeamName | undefined;
	/** The instance that will hold the placement. */
	readonly holder: InstanceId;
	/** Tokens to prefill. */
	readonly promptTokens: number;
	/** Maximum number of output tokens. */
	readonly maxTokens: number;
	/** Memory pieces for the expected total length of prompt and output. */
	readonly pieces: number;
	/** Hash of the start of the prompt, for prefix reuse; empty when unknown. */
	readonly prefix: string;
	/** When the request leaves the queue if it has no placement. */
	readonly deadline: Instant;
	/** When the first output is due under the service's latency target; undefined without a target. */
	readonly firstOutputDeadline?: Instant;
	/** Longest predicted wait that the requesting instance accepts, in milliseconds; undefined for as long as the target allows. */
	readonly acceptWaitMs?: number;
	/** Longest pause between outputs that counts as steady, in milliseconds; undefined for the service's target. */
	readonly steadyGapMs?: number;
	/** Whether the decode engine must read the prompt itself, as for a broken stream that resumes there. */
	readonly readsDirectly?: boolean;
	/** The only software version whose engines may serve it, as for a stream that has begun; undefined for any one version. */
	readonly softwareVersion?: SoftwareVersion | undefined;
	/** Engines on which this request has just failed. */
	readonly excluded: readonly EngineId[];
};

/** The part of a request that determines how much memory its stream needs. */
export type MemoryDemand = Pick<PlacementRequest, 'maxTokens' | 'pieces' | 'promptTokens'>;

/** The state of one engine in the view of the pool's owner. */
export type EngineView = {
	readonly id: EngineId;
	readonly address: string;
	readonly dataCentre: DataCentreId;
	readonly role: EngineRole;
	readonly pieces: number;
	/** Pieces not reserved, by the owner's count. */
	readonly freePieces: number;
	/** Prefill tokens in progress or queued, by the owner's count. */
	readonly queuedTokens: number;
	/** Streams that decode or are placed to decode, by the owner's count. */
	readonly running: number;
	/** Streams that the engine can run within the target time between outputs; infinite until learned. */
	readonly maxStreams: number;
	/** When the last report arrived; undefined before the first report. */
	readonly reportedAt: Instant | undefined;
	readonly incarnation: EngineIncarnation | undefined;
	/** Whether the engine is leaving and gets no new work. */
	readonly leaving: boolean;
	/** Whether the engine takes no further request now, by a limit of its own. */
	readonly isClosed?: boolean;
	readonly softwareVersion?: SoftwareVersion | undefined;
};

/** An engine and its network address. */
export type EngineAddress = {
	readonly id: EngineId;
	/** `host:port` with an IP address as the host. */
	readonly address: string;
};

/** A placement on a prefill and a decode engine, which may be the same one. */
export type Placement = {
	readonly decode: EngineAddress;
	readonly prefill: EngineAddress;
	readonly pieces: number;
	/** Version of the engines' software as the owner knows it. */
	readonly softwareVersion?: SoftwareVersion | undefined;
	/** The instance that granted the placement and must be notified of its release. */
	readonly grantedBy: InstanceId;
};

/** The engines that may get work, indexed by role and load. No call scans all of them. */
export type EngineIndex = {
	/** Memory pieces of the largest decode engine indexed so far. */
	readonly largestPieces: number;
	get(id: EngineId): EngineView | undefined;
	/** Returns the engines of a role, least loaded first. */
	byLoad(role: EngineRole): Iterable<EngineView>;
	/** Returns a random engine of a role; undefined when there is none. */
	sample(role: EngineRole, random: RandomSource): EngineView | undefined;
};

/** The part of the queue's state that a policy may read. */
export type QueueView = {
	readonly length: number;
	/** Returns the prompt tokens queued ahead of a new request of this class. */
	tokensAhead(req: Pick<PlacementRequest, 'class' | 'priority' | 'promptTokens' | 'team'>): number;
};

/** The outcome of a decision. */
export type PlacementDecision =
	| {readonly kind: 'reserve'; readonly decode: EngineView; readonly prefill: EngineView}
	/** No engine can start the request now, for lack of `memory` (a smaller request may still fit) or for another reason. */
	| {readonly kind: 'wait'; readonly shortage: 'memory' | 'other'}
	/** The request can no longer meet its target and waits behind those that can. */
	| {readonly kind: 'defer'}
	| {readonly kind: 'refuse'; readonly error: RouterError};

/** Whether a new request may enter the queue. */
export type PlacementAdmission =
	| {readonly kind: 'queue'}
	/** The request waits behind all that can meet their target. */
	| {readonly kind: 'defer'}
	| {readonly kind: 'refuse'; readonly error: RouterError};

/** A prefill or a transfer that is done. */
export type PlacementStep = {
	readonly kind: 'prefillDone' | 'transferDone';
	readonly hold: EngineHold;
	/** Time from the grant to the step, as the holder measured it, in milliseconds; undefined where it did not. */
	readonly sinceGrantMs?: number | undefined;
};

/** Events that a policy learns from. */
export type PolicyEvent =
	| {readonly kind: 'granted'; readonly req: PlacementRequest; readonly decode: EngineId; readonly prefill: EngineId; readonly waiting: number}
	/** The number of placements granted on a decode engine changed. */
	| {readonly kind: 'streams'; readonly engine: EngineId; readonly streams: number}
	| PlacementStep
	| ({readonly kind: 'released'; readonly hold: EngineHold} & StreamOutcome);

/** The result of a stream, as far as its holder reports it. */
export type StreamOutcome = {
	/** Times between its outputs; undefined with fewer than two outputs. */
	readonly pace?: PaceSample;
	/** Output tokens; undefined unless the stream completed. */
	readonly outputTokens?: number;
};

/** Times between the outputs of a stream with at least two outputs. */
export type PaceSample = {
	/** Mean time between outputs, in milliseconds. */
	readonly betweenMs: number;
	/** Longest time between two outputs, in milliseconds; undefined when not measured. */
	readonly longestMs?: number;
};

/** Chooses engines for a request. Implementations do no I/O. */
export type PlacementPolicy = {
	readonly name: string;
	/** Learned rate at which prefill engines read prompts, in tokens per millisecond. */
	readonly prefillTokensPerMs?: number;
	/** Estimates to hand over to the pool's next owner; undefined when the policy learns nothing. */
	readonly learned?: LearnedEstimates;
	/** Decides on the request at the head of the queue; `isDeferred` is true when the request was deferred before. */
	decide(req: PlacementRequest, engines: EngineIndex, now: Instant, isDeferred?: boolean): PlacementDecision;
	/** Refuses a request that would wait too long, or defers one whose prompt is too long for its target even on idle engines. */
	admit?(req: PlacementRequest, queue: QueueView, now: Instant): PlacementAdmission;
	observe?(event: PolicyEvent, now: Instant): void;
	/** Returns how many streams a decode engine may run; undefined while unknown. */
	maxStreams?(engine: EngineId): number | undefined;
	/** Returns the memory pieces that a request is expected to need; without this method, `pieces` of the request applies. */
	expectedPieces?(demand: MemoryDemand): number;
	/** Returns the memory pieces to keep free on a decode engine for streams whose output grows longer than expected. */
	headroomPieces?(streams: number): number;
};
