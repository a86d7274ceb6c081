/** Typed JSON-RPC methods between instances, and between the command-line tool and an instance. */
import type {
	CatalogueProposal, CatalogueProposalResult, Service, ServiceClass,
} from '../catalogue/types.js';
import type {
	ControlCommand,
	ControlCommandKind,
	ControlCommandResults,
	LogIndex,
} from '../control/control-command.js';
import type {
	ConsensusMessage, LogEntry, ReplicaId, ReplicaRole, Snapshot,
} from '../consensus/types.js';
import type {ControlStateSnapshot} from '../control/control-state.js';
import type {EngineHold} from '../engine/engine-client.js';
import type {RouterError} from '../errors.js';
import type {
	AttemptNumber, ClaimKey, DataCentreId, EngineId, InstanceId, OrderId, RequestId, Revision, ServiceName, SoftwareVersion, TeamName,
} from '../ids.js';
import type {ClaimRecord} from '../ledger/claim-ledger.js';
import type {HeldPlacement} from '../placement/hold-table.js';
import type {ServiceQuotaRequest, ServiceQuotaGrant} from '../limits/limit-scope.js';
import type {ShareRenewal} from '../shares/share-table.js';
import type {PlannedStop, StopPlan, StopPlanResult} from '../stops/stop-types.js';
import type {MemberRow} from '../membership/member-table.js';
import type {Placement, StreamOutcome} from '../placement/types.js';

declare const types: unique symbol;

/** A JSON-RPC method name with the types of its parameters and result. */
export type RpcMethod<Params, Result> = {
	readonly method: string;
	/** Whether an aborted call keeps its connection: its handler does not learn of the abort, and the late response is discarded. */
	readonly keepsConnection?: boolean;
	readonly [types]?: (params: Params) => Result;
};

/**
 * Defines a JSON-RPC method.
 *
 * @example
 * const PING = defineRpcMethod<{text: string}, {text: string}>('ping');
 */
export const defineRpcMethod = <Params, Result>(method: string, options: Pick<RpcMethod<Params, Result>, 'keepsConnection'> = {}): RpcMethod<Params, Result> => ({method, ...options});

/** A placement request over the wire. All times are relative. */
export type PlaceParams = {
	readonly requestId: RequestId;
	readonly attempt: AttemptNumber;
	readonly service: ServiceName;
	readonly dataCentre: DataCentreId;
	readonly class: ServiceClass;
	/** Absent from instances that order by class only. */
	readonly priority?: number | undefined;
	readonly team?: TeamName | undefined;
	readonly holder: InstanceId;
	readonly promptTokens: number;
	readonly maxTokens: number;
	readonly pieces: number;
	readonly prefix: string;
	readonly waitMs: number;
	/** Time left until the service's first-output target; undefined once output was forwarded to the caller. */
	readonly firstOutputMs?: number;
	/** Longest gap between outputs that still counts as steady; undefined for the service's target. */
	readonly steadyGapMs?: number;
	/** Whether the decode engine itself must run the prefill. */
	readonly readsDirectly?: boolean;
	/** Longest predicted wait that the requester accepts; undefined for as long as the target allows. */
	readonly acceptWaitMs?: number;
	/** The only software version whose engines may serve the stream; undefined for a new one. */
	readonly softwareVersion?: SoftwareVersion | undefined;
	readonly excluded: readonly EngineId[];
};

/** Result of a placement request. */
export type PlaceResponse =
	| {readonly kind: 'placed'; readonly placement: Placement}
	| {readonly kind: 'refused'; readonly error: RouterError};

/** Identifies a pool and a hold in it. */
export type PoolHoldParams = EngineHold & {
	readonly service: ServiceName;
	readonly dataCentre: DataCentreId;
};

/** A step of a placement that is done. */
export type PoolStepParams = PoolHoldParams & {
	/** Time from the grant to the step, as the holder measured it, in milliseconds; undefined where the holder is of a version that does not. */
	readonly sinceGrantMs?: number | undefined;
};

/** A released placement, with the stream's mean time between outputs where it had several. */
export type PoolReleaseParams = PoolHoldParams & StreamOutcome & {
	/** Engines that could not be reached, or whose identity was not the listed one. */
	readonly unreachable?: readonly EngineId[];
	/** Engines that accepted the call and failed it: closed the connection early, stopped sending, or sent an invalid response. */
	readonly failed?: readonly EngineId[];
	/** Engines that rejected the stream for lack of memory. */
	readonly rejectedBy?: readonly EngineId[];
	/** Engines that completed their part of the request. */
	readonly served?: readonly EngineId[];
};

/** The placements that a holder still uses in one pool. */
export type PoolRenewParams = {
	readonly service: ServiceName;
	readonly dataCentre: DataCentreId;
	readonly holder: InstanceId;
	readonly places: readonly HeldPlacement[];
};

/** An accepted catalogue over the wire. */
export type CatalogueDocument = {
	readonly revision: Revision;
	readonly text: string;
};

/** Log entries, or a state snapshot, that a learner receives from the control log. */
export type ControlUpdate =
	| {readonly kind: 'entries'; readonly entries: readonly LogEntry[]}
	| {readonly kind: 'capture'; readonly capture: ControlStateSnapshot};

/** Address of an instance's peer port. */
export type PeerAddress = {
	readonly id: InstanceId;
	readonly peers: string;
};

/** Accepted changes, oldest first; texts are included only when one revision was requested. */
export type CatalogueHistoryDocument = {
	readonly changes: ReadonlyArray<{
		readonly revision: Revision;
		readonly author: string;
		readonly orderId: OrderId;
		/** Time of acceptance, in milliseconds since 1970. */
		readonly at: number;
		readonly text?: string;
	}>;
};

/** Status that an instance reports about itself. */
export type InstanceStatus = {
	readonly id: InstanceId;
	readonly dataCentre: DataCentreId;
	readonly revision: Revision;
	readonly ready: boolean;
	readonly requestsInFlight: number;
	readonly control: ControlStatus;
	/** All instances that its settings list. */
	readonly instances: readonly PeerAddress[];
	readonly services: ReadonlyArray<Pick<Service, 'name' | 'kind' | 'class' | 'owner'>>;
	readonly pools: ReadonlyArray<{
		readonly service: ServiceName;
		readonly dataCentre: DataCentreId;
		readonly grants: number;
		readonly engines: ReadonlyArray<{readonly id: EngineId; readonly role: string; readonly pieces: number; readonly freePieces: number; readonly leaving: boolean; readonly softwareVersion?: SoftwareVersion | undefined}>;
	}>;
};

/** Work that one instance still runs on the targets of a stop. */
export type StopUsage = {
	/** Whether the instance has received the stop; until then it may still start new work on the targets. */
	readonly known: boolean;
	/** Requests in progress, calls in progress and memory not yet confirmed free. */
	readonly inUse: number;
};

/** A stop and the instances that it waits for. */
export type StopProgress = PlannedStop & {
	readonly waitsFor: ReadonlyArray<{readonly instance: InstanceId; readonly inUse: number}>;
	/** Instances that did not respond, or have not received the stop yet. */
	readonly unheard: readonly InstanceId[];
};

type EmptyObject = Record<string, never>;

/* eslint-disable @typescript-eslint/naming-convention */
/** Requests a placement from a pool's owner; responds once there is one, when the wait time is over, or when it is released. */
export const POOL_PLACE = defineRpcMethod<PlaceParams, PlaceResponse>('pool.place', {keepsConnection: true});
/** Releases a placement. */
export const POOL_RELEASE = defineRpcMethod<PoolReleaseParams, EmptyObject>('pool.release');
/** Reports that a placement's prefill is done. */
export const POOL_PREFILL_DONE = defineRpcMethod<PoolStepParams, EmptyObject>('pool.prefillDone');
/** Reports that a placement's KV transfer is done. */
export const POOL_TRANSFER_DONE = defineRpcMethod<PoolStepParams, EmptyObject>('pool.transferDone');
/** Renews the leases of a holder's placements. */
export const POOL_RENEW = defineRpcMethod<PoolRenewParams, EmptyObject>('pool.renew', {keepsConnection: true});
/** Appends a command to the control log. */
export const CONTROL_SUBMIT = defineRpcMethod<{command: ControlCommand}, SubmitResponse>('control.submit');
/** Reads the applied entries after an index, or a state snapshot if they are no longer in the log; waits up to `waitMs` for new entries. */
export const CONTROL_FETCH = defineRpcMethod<{after: LogIndex; waitMs: number}, {update: ControlUpdate; position: ControlPosition}>('control.fetch');
/** Reads a key's record. */
export const LEDGER_LOOKUP = defineRpcMethod<{key: ClaimKey}, {record: ClaimRecord | undefined}>('ledger.lookup');
/** Reads the catalogue in force. */
export const CATALOGUE_GET = defineRpcMethod<EmptyObject, CatalogueDocument>('catalogue.get');
/** Proposes a catalogue. */
export const CATALOGUE_APPLY = defineRpcMethod<CatalogueProposal, CatalogueProposalResult>('catalogue.apply');
/** Reads an instance's status. */
export const STATUS = defineRpcMethod<EmptyObject, InstanceStatus>('status');
/** Reads the accepted changes, or one of them with its text. */
export const CATALOGUE_HISTORY = defineRpcMethod<{revision?: Revision}, CatalogueHistoryDocument>('catalogue.history');
/** Exchanges membership rows with a peer. */
export const FLEET_EXCHANGE = defineRpcMethod<{rows: readonly MemberRow[]}, {rows: readonly MemberRow[]}>('fleet.exchange');
/** Plans a stop. */
export const STOP_PLAN = defineRpcMethod<Omit<StopPlan, 'facts'>, StopPlanResult>('stop.plan');
/** Reads the active stops and what they wait for. */
export const STOP_STATUS = defineRpcMethod<EmptyObject, {stops: readonly StopProgress[]}>('stop.status');
/** Cancels a stop; returns the stop as it was before. */
export const STOP_CANCEL = defineRpcMethod<{orderId: OrderId}, {found: boolean; stop?: PlannedStop}>('stop.cancel');
/** Reads the work that an instance still runs on the targets of a stop. */
export const STOP_USE = defineRpcMethod<{orderId: OrderId}, StopUsage>('stop.use');
/** Requests quotas from the owner of the limits. */
export const LIMIT_PARTS = defineRpcMethod<{scope: DataCentreId; asks: readonly ServiceQuotaRequest[]}, {grants: readonly ServiceQuotaGrant[]}>('limit.parts');
/** Requests that a candidate not take shares from their holder for one lease duration; returns the shares that it promised. */
export const SHARE_PROMISE = defineRpcMethod<{renewals: readonly ShareRenewal[]}, {promised: readonly ShareRenewal[]}>('share.promise');
/* eslint-enable @typescript-eslint/naming-convention */

/** Consensus messages from one replica to another. */
export type ConsensusMessageBatch = {
	readonly from: ReplicaId;
	readonly to: ReplicaId;
	/** Identifies the log; set at its bootstrap. */
	readonly cluster: string;
	readonly messages: readonly ConsensusMessage[];
};

/** An instance's position in the control log. */
export type ControlPosition = {
	readonly index: LogIndex;
	readonly replica: ReplicaId | undefined;
	/** Whether the replica has never been part of a log. */
	readonly isFresh: boolean;
	readonly hearsQuorum: boolean;
	readonly leader: InstanceId | undefined;
};

/** Result of submitting a command to one replica. */
export type SubmitResponse =
	| {readonly kind: 'applied'; readonly result: ControlCommandResults[ControlCommandKind]}
	| {readonly kind: 'notSubmitted'; readonly leader: InstanceId | undefined}
	| {readonly kind: 'unknown'};

/** The control log as an instance's status shows it. */
export type ControlStatus = ControlPosition & {
	readonly term: number | undefined;
	readonly role: ReplicaRole | undefined;
	readonly members: ReadonlyArray<{readonly replica: ReplicaId; readonly voter: boolean; readonly lag: number | undefined}>;
	/** Why the replica's storage is failed; undefined while the replica runs or when the instance has none. */
	readonly failure: string | undefined;
	/** How long the storage has been failed, in milliseconds. */
	readonly failedForMs: number | undefined;
	/** How often a failed storage was opened again since the start of the instance. */
	readonly reopenings: number;
};

/* eslint-disable @typescript-eslint/naming-convention */
/** Carries messages between replicas. */
export const CONTROL_CONSENSUS = defineRpcMethod<ConsensusMessageBatch, {messages: readonly ConsensusMessage[]}>('control.consensus');
/** Reads an instance's position in the control log. */
export const CONTROL_POSITION = defineRpcMethod<EmptyObject, ControlPosition>('control.position');
/** Bootstraps a log on a fresh replica. */
export const CONTROL_BEGIN = defineRpcMethod<{cluster: string; snapshot: Snapshot}, {accepted: boolean}>('control.begin');
/** Requests that a replica be added to the log's members; returns the instances that are known to hold replicas. */
export const CONTROL_JOIN = defineRpcMethod<{replica: ReplicaId}, {replicas?: readonly InstanceId[]}>('control.join');
/** Returns the read index: the index that a linearizable read must wait for. */
export const CONTROL_BARRIER = defineRpcMethod<EmptyObject, {index: LogIndex | undefined; leader: InstanceId | undefined}>('control.barrier');
/* eslint-enable @typescript-eslint/naming-convention */
