/** Typed tokens of the JSON-RPC methods between instances, and between the command-line tool and an instance. */
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
	AttemptNumber, ClaimKey, DataCentreId, EngineId, InstanceId, OrderId, RequestId, Revision, ServiceName,
} from '../ids.js';
import type {ClaimRecord} from '../ledger/claim-ledger.js';
import type {HeldPlacement} from '../placement/hold-table.js';
import type {ServiceQuotaRequest, ServiceQuotaGrant} from '../limits/limit-scope.js';
import type {ShareRenewal} from '../shares/share-table.js';
import type {PlannedStop, StopPlan, StopPlanResult} from '../stops/stop-types.js';
import type {MemberRow} from '../membership/member-table.js';
import type {Placement, StreamOutcome} from '../placement/types.js';

declare const types: unique symbol;

/** Names a JSON-RPC method and carries the types of its parameters and result. */
export type RpcMethod<Params, Result> = {
	readonly method: string;
	readonly [types]?: (params: Params) => Result;
};

/**
 * Makes the token of a method.
 *
 * @example
 * const PING = defineRpcMethod<{text: string}, {text: string}>('ping');
 */
export const defineRpcMethod = <Params, Result>(method: string): RpcMethod<Params, Result> => ({method});

/** A placement request over the wire: times are relative. */
export type PlaceParams = {
	readonly requestId: RequestId;
	readonly attempt: AttemptNumber;
	readonly service: ServiceName;
	readonly dataCentre: DataCentreId;
	readonly class: ServiceClass;
	readonly holder: InstanceId;
	readonly promptTokens: number;
	readonly maxTokens: number;
	readonly pieces: number;
	readonly prefix: string;
	readonly waitMs: number;
	/** Time left to the first output by the service's target; undefined once output was sent to the caller. */
	readonly firstOutputMs?: number;
	/** Longest gap between outputs that counts as steady; undefined for the service's target. */
	readonly steadyGapMs?: number;
	/** Whether the decode engine itself must read the prompt. */
	readonly readsDirectly?: boolean;
	/** Longest predicted wait that the requester accepts; undefined if only the service's target limits it. */
	readonly acceptWaitMs?: number;
	readonly excluded: readonly EngineId[];
};

/** The response to a placement request. */
export type PlaceResponse =
	| {readonly kind: 'placed'; readonly placement: Placement}
	| {readonly kind: 'refused'; readonly error: RouterError};

/** Names a pool and the hold in it. */
export type PoolHoldParams = EngineHold & {
	readonly service: ServiceName;
	readonly dataCentre: DataCentreId;
};

/** A released placement, with the stream's mean time between outputs if it had several. */
export type PoolReleaseParams = PoolHoldParams & StreamOutcome & {
	/** Engines that could not be reached, or were not the listed ones. */
	readonly unreachable?: readonly EngineId[];
	/** Engines that accepted the call and failed it: they closed the connection, stopped responding or sent an invalid response. */
	readonly failed?: readonly EngineId[];
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

/** The part of the control log that a learner receives. */
export type ControlUpdate =
	| {readonly kind: 'entries'; readonly entries: readonly LogEntry[]}
	| {readonly kind: 'capture'; readonly capture: ControlStateSnapshot};

/** The address of an instance's peer port. */
export type PeerAddress = {
	readonly id: InstanceId;
	readonly peers: string;
};

/** Accepted changes, oldest first; the text is included only if one revision was requested. */
export type CatalogueHistoryDocument = {
	readonly changes: ReadonlyArray<{
		readonly revision: Revision;
		readonly author: string;
		readonly orderId: OrderId;
		/** When it was accepted, in milliseconds since 1970. */
		readonly at: number;
		readonly text?: string;
	}>;
};

/** The status that an instance reports about itself. */
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
		readonly engines: ReadonlyArray<{readonly id: EngineId; readonly role: string; readonly pieces: number; readonly freePieces: number; readonly leaving: boolean}>;
	}>;
};

/** What one instance still uses of the target of a stop. */
export type StopUsage = {
	/** Whether the instance has applied the stop; until then it may still start new work on the target. */
	readonly known: boolean;
	/** Requests and calls in progress, and memory not yet confirmed free. */
	readonly inUse: number;
};

/** A stop and what it waits for. */
export type StopProgress = PlannedStop & {
	readonly waitsFor: ReadonlyArray<{readonly instance: InstanceId; readonly inUse: number}>;
	/** Instances that did not respond, or have not applied the stop yet. */
	readonly unheard: readonly InstanceId[];
};

type EmptyObject = Record<string, never>;

/* eslint-disable @typescript-eslint/naming-convention */
/** Requests a placement from a pool's owner; the response is sent once it is granted or refused, or the wait times out. */
export const POOL_PLACE = defineRpcMethod<PlaceParams, PlaceResponse>('pool.place');
/** Releases a placement. */
export const POOL_RELEASE = defineRpcMethod<PoolReleaseParams, EmptyObject>('pool.release');
/** Reports that the prefill of a placement is done. */
export const POOL_PREFILL_DONE = defineRpcMethod<PoolHoldParams, EmptyObject>('pool.prefillDone');
/** Reports that the KV transfer of a placement is done. */
export const POOL_TRANSFER_DONE = defineRpcMethod<PoolHoldParams, EmptyObject>('pool.transferDone');
/** Renews the leases of a holder's placements. */
export const POOL_RENEW = defineRpcMethod<PoolRenewParams, EmptyObject>('pool.renew');
/** Appends a command to the control log. */
export const CONTROL_SUBMIT = defineRpcMethod<{command: ControlCommand}, SubmitResponse>('control.submit');
/** Reads the applied entries after an index, or a snapshot of the state if they were compacted; waits up to `waitMs` for new entries. */
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
/** Cancels an active stop; returns the cancelled stop. */
export const STOP_CANCEL = defineRpcMethod<{orderId: OrderId}, {found: boolean; stop?: PlannedStop}>('stop.cancel');
/** Reads what an instance still uses of the target of a stop. */
export const STOP_USE = defineRpcMethod<{orderId: OrderId}, StopUsage>('stop.use');
/** Requests quotas from the owner of limits. */
export const LIMIT_PARTS = defineRpcMethod<{scope: DataCentreId; asks: readonly ServiceQuotaRequest[]}, {grants: readonly ServiceQuotaGrant[]}>('limit.parts');
/** Requests that a candidate leave shares to their holder for one lease; returns the renewals that it promised. */
export const SHARE_PROMISE = defineRpcMethod<{renewals: readonly ShareRenewal[]}, {promised: readonly ShareRenewal[]}>('share.promise');
/* eslint-enable @typescript-eslint/naming-convention */

/** Messages from one replica to another. */
export type ConsensusMessageBatch = {
	readonly from: ReplicaId;
	readonly to: ReplicaId;
	/** Identifies the log, from its bootstrap. */
	readonly cluster: string;
	readonly messages: readonly ConsensusMessage[];
};

/** An instance's position in the control log. */
export type ControlPosition = {
	readonly index: LogIndex;
	readonly replica: ReplicaId | undefined;
	/** Whether the replica never took part in a log. */
	readonly isFresh: boolean;
	readonly hearsQuorum: boolean;
	readonly leader: InstanceId | undefined;
};

/** The result of a command at one replica. */
export type SubmitResponse =
	| {readonly kind: 'applied'; readonly result: ControlCommandResults[ControlCommandKind]}
	| {readonly kind: 'notSubmitted'; readonly leader: InstanceId | undefined}
	| {readonly kind: 'unknown'};

/** The state of the control log in an instance's status. */
export type ControlStatus = ControlPosition & {
	readonly term: number | undefined;
	readonly role: ReplicaRole | undefined;
	readonly members: ReadonlyArray<{readonly replica: ReplicaId; readonly voter: boolean; readonly lag: number | undefined}>;
	/** Why the replica stopped; undefined while it runs or if there is none. */
	readonly failure: string | undefined;
};

/* eslint-disable @typescript-eslint/naming-convention */
/** Carries messages between replicas. */
export const CONTROL_CONSENSUS = defineRpcMethod<ConsensusMessageBatch, {messages: readonly ConsensusMessage[]}>('control.consensus');
/** Reads an instance's position in the control log. */
export const CONTROL_POSITION = defineRpcMethod<EmptyObject, ControlPosition>('control.position');
/** Bootstraps a log on a fresh replica. */
export const CONTROL_BEGIN = defineRpcMethod<{cluster: string; snapshot: Snapshot}, {accepted: boolean}>('control.begin');
/** Requests that a replica be added to the members of the log. */
export const CONTROL_JOIN = defineRpcMethod<{replica: ReplicaId}, EmptyObject>('control.join');
/** Reads the index that a linearizable read must have applied. */
export const CONTROL_BARRIER = defineRpcMethod<EmptyObject, {index: LogIndex | undefined; leader: InstanceId | undefined}>('control.barrier');
/* eslint-enable @typescript-eslint/naming-convention */
