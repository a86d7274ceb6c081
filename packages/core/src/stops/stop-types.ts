/** Planned stops as stored in the control log. */
import type {LogTime} from '../control/control-command.js';
import type {InstanceId, OrderId} from '../ids.js';
import type {InstanceLocation} from '../shares/static-share-map.js';

/** The target of a stop. */
export type StopTarget = {
	readonly kind: 'instance' | 'engine' | 'backend' | 'dataCentre';
	readonly id: string;
};

/** The instances in the view of the proposer of a stop. */
export type DeploymentFacts = {
	readonly instances: ReadonlyArray<InstanceLocation & {readonly replica: boolean}>;
	/** Instances that are not running. */
	readonly dead: readonly InstanceId[];
};

/** A request to stop a target. */
export type StopPlan = {
	/** Identifies the stop; stays the same across resends. */
	readonly orderId: OrderId;
	readonly target: StopTarget;
	readonly author: string;
	/** Intended maximum duration of the drain, in milliseconds; the drain continues past it. */
	readonly withinMs: number;
	readonly facts: DeploymentFacts;
};

/** An active stop; it stays active until it is cancelled or its instance restarts. */
export type PlannedStop = Omit<StopPlan, 'facts'> & {
	readonly at: LogTime;
	readonly state: 'draining' | 'stopped';
};

/** The result of a request to stop a target. */
export type StopPlanResult =
	| {readonly kind: 'planned'; readonly stop: PlannedStop}
	/** Nothing changed; `blockedBy` lists the active stops. */
	| {readonly kind: 'refused'; readonly reason: string; readonly blockedBy: readonly OrderId[]};
