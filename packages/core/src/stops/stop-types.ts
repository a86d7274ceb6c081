/** Planned stops as the control log keeps them. */
import type {LogTime} from '../control/control-command.js';
import type {InstanceId, OrderId} from '../ids.js';
import type {InstanceLocation} from '../shares/static-share-map.js';

/** What can be stopped. */
export type StopTarget = {
	readonly kind: 'instance' | 'engine' | 'backend' | 'dataCentre';
	readonly id: string;
};

/** The instances as the proposer of a stop knows them. */
export type DeploymentFacts = {
	readonly instances: ReadonlyArray<InstanceLocation & {readonly replica: boolean}>;
	/** Instances that do not run. */
	readonly dead: readonly InstanceId[];
};

/** A wish to stop something. */
export type StopPlan = {
	/** Kept across resends; it names the stop. */
	readonly orderId: OrderId;
	readonly target: StopTarget;
	readonly author: string;
	/** How long the drain should take at most, in milliseconds; it goes on when it takes longer. */
	readonly withinMs: number;
	readonly facts: DeploymentFacts;
};

/** A stop in force, until it is cancelled or its instance is back. */
export type PlannedStop = Omit<StopPlan, 'facts'> & {
	readonly at: LogTime;
	readonly state: 'draining' | 'stopped';
};

/** What became of a wish to stop something. */
export type StopVerdict =
	| {readonly kind: 'planned'; readonly stop: PlannedStop}
	/** Nothing was changed; `blockedBy` names the stops in force that are in the way. */
	| {readonly kind: 'refused'; readonly reason: string; readonly blockedBy: readonly OrderId[]};
