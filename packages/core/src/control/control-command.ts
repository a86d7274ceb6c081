/** The commands of the replicated control log and their results. */
import type {CatalogueProposal, CatalogueProposalResult} from '../catalogue/types.js';
import type {
	Branded,
	ClaimKey,
	InstanceId,
	InstanceIncarnation,
	OrderId,
	RequestId,
	ServiceName,
} from '../ids.js';
import type {ClaimOutcome, ClaimRequest, ClaimResult} from '../ledger/claim-ledger.js';
import type {LearnedEstimates} from '../placement/learned-estimates.js';
import type {QuarantineEntry} from '../quarantine/quarantine-table.js';
import type {SegmentSet} from '../quarantine/types.js';
import type {ShareRenewal, ShareTakeRequest} from '../shares/share-table.js';
import type {PlannedStop, StopPlan, StopPlanResult} from '../stops/stop-types.js';
import type {RoutingDocument, RoutingReplaceResult} from './routing-state.js';

/** Position of an entry in the control log, from 1. */
export type LogIndex = Branded<number, 'LogIndex'>;

/** Timestamp that the leader puts on an entry: milliseconds since the epoch, never decreasing along the log. */
export type LogTime = Branded<number, 'LogTime'>;

/** A change of the control state. Each may safely be submitted twice; a repeated proposal, stop plan or open claim gets its first result. */
export type ControlCommand =
	| {readonly kind: 'catalogue.propose'; readonly proposal: CatalogueProposal}
	| {readonly kind: 'routing.replace'; readonly document: RoutingDocument}
	| {readonly kind: 'claim.open'; readonly req: ClaimRequest}
	| {readonly kind: 'claim.settle'; readonly key: ClaimKey; readonly requestId: RequestId; readonly outcome: ClaimOutcome}
	/** Settles the open claims of an instance as unknown: all of them if the instance is dead, otherwise all except those of its incarnation `exceptLife`. */
	| {readonly kind: 'claim.abandon'; readonly claimant: InstanceId; readonly exceptLife?: InstanceIncarnation}
	| {readonly kind: 'stop.plan'; readonly plan: StopPlan}
	/** The drain is complete: the target of the stop has nothing in progress any more. */
	| {readonly kind: 'stop.complete'; readonly orderId: OrderId}
	/** Ends a stop, planned or complete: it is no longer active. */
	| {readonly kind: 'stop.cancel'; readonly orderId: OrderId}
	/** Stores the estimates that the owner of a service's engines learned, for the next owner. */
	| {readonly kind: 'engines.learned'; readonly service: ServiceName; readonly figures: LearnedEstimates}
	| {readonly kind: 'quarantine.add'; readonly entry: QuarantineEntry}
	| {readonly kind: 'quarantine.lift'; readonly segments: SegmentSet}
	| {readonly kind: 'share.take'; readonly take: ShareTakeRequest}
	| {readonly kind: 'share.renew'; readonly holder: InstanceId; readonly renewals: readonly ShareRenewal[]}
	| {readonly kind: 'share.release'; readonly holder: InstanceId};

/** Name of a control command. */
export type ControlCommandKind = ControlCommand['kind'];

/** Result type of each command. */
export type ControlCommandResults = {
	'catalogue.propose': CatalogueProposalResult;
	'routing.replace': RoutingReplaceResult;
	'claim.open': ClaimResult;
	'claim.settle': {readonly settled: boolean};
	'claim.abandon': {readonly abandoned: number};
	'stop.plan': StopPlanResult;
	'stop.complete': {readonly found: boolean};
	'stop.cancel': {readonly found: boolean; readonly stop: PlannedStop | undefined};
	'engines.learned': {readonly noted: true};
	'quarantine.add': {readonly added: boolean};
	'quarantine.lift': {readonly lifted: boolean};
	'share.take': {readonly taken: boolean};
	'share.renew': {readonly renewed: readonly ShareRenewal[]};
	'share.release': {readonly released: number};
};

/** The command type of one kind. */
export type CommandOf<Kind extends ControlCommandKind> = Extract<ControlCommand, {kind: Kind}>;

/** One entry of the control log. */
export type ControlEntry = {
	readonly index: LogIndex;
	readonly at: LogTime;
	readonly command: ControlCommand;
};
