/** The replicated table of planned stops. */
import type {CatalogueSnapshot} from '../catalogue/types.js';
import type {LogTime} from '../control/control-command.js';
import type {OrderId} from '../ids.js';
import {findStopRefusal} from './stop-validation.js';
import type {
	PlannedStop, StopPlan, StopTarget, StopPlanResult,
} from './stop-types.js';

/** The part of the table that a control state snapshot stores. */
export type StopTableSnapshot = {
	readonly stops: readonly PlannedStop[];
	readonly verdicts: ReadonlyArray<readonly [OrderId, StopPlanResult]>;
};

const maxResults = 1000;

const isSameTarget = (a: StopTarget, b: StopTarget): boolean => a.kind === b.kind && a.id === b.id;

/**
 * Accepts or refuses stops in log order, so that two stops that together would remove too much capacity are not both accepted.
 *
 * @example
 * const table = new StopTable();
 * table.plan(plan, catalogue, at).kind; // 'planned'
 */
export class StopTable {
	readonly #stops = new Map<OrderId, PlannedStop>();
	readonly #results = new Map<OrderId, StopPlanResult>();

	/** The active stops, oldest first. */
	get stops(): readonly PlannedStop[] {
		return [...this.#stops.values()];
	}

	/** The targets of the active stops. */
	get targets(): readonly StopTarget[] {
		return this.stops.map(({target}) => target);
	}

	/** Accepts or refuses a stop; a resend returns the first result. */
	plan(plan: StopPlan, catalogue: CatalogueSnapshot, at: LogTime): StopPlanResult {
		const previous = this.#results.get(plan.orderId);
		if (previous !== undefined) {
			return previous;
		}

		const result = this.#decide(plan, catalogue, at);
		this.#results.set(plan.orderId, result);
		this.#evictOldestResult();
		return result;
	}

	/** Marks a stop as drained; returns false when it is not active. */
	complete(orderId: OrderId): boolean {
		const stop = this.#stops.get(orderId);
		if (stop === undefined) {
			return false;
		}

		this.#stops.set(orderId, {...stop, state: 'stopped'});
		return true;
	}

	/** Removes an active stop after the operator cancelled it or its instance restarted. Returns the removed stop; undefined when it was not active. */
	cancel(orderId: OrderId): PlannedStop | undefined {
		const stop = this.#stops.get(orderId);
		this.#stops.delete(orderId);
		return stop;
	}

	/** Returns the state to store in a snapshot. */
	takeSnapshot(): StopTableSnapshot {
		return {stops: this.stops, verdicts: [...this.#results]};
	}

	/** Replaces the table with the one in a snapshot. */
	restore(snapshot: StopTableSnapshot): void {
		this.#stops.clear();
		this.#results.clear();
		for (const stop of snapshot.stops) {
			this.#stops.set(stop.orderId, stop);
		}

		for (const [orderId, result] of snapshot.verdicts) {
			this.#results.set(orderId, result);
		}
	}

	#decide({facts, ...plan}: StopPlan, catalogue: CatalogueSnapshot, at: LogTime): StopPlanResult {
		const existing = this.stops.find(stop => isSameTarget(stop.target, plan.target));
		if (existing !== undefined) {
			return {kind: 'planned', stop: existing};
		}

		const reason = findStopRefusal(plan.target, this.targets, catalogue, facts);
		if (reason !== undefined) {
			return {kind: 'refused', reason, blockedBy: [...this.#stops.keys()]};
		}

		const stop: PlannedStop = {...plan, at, state: 'draining'};
		this.#stops.set(plan.orderId, stop);
		return {kind: 'planned', stop};
	}

	#evictOldestResult(): void {
		const oldest = this.#results.size > maxResults ? this.#results.keys().next().value : undefined;
		if (oldest !== undefined) {
			this.#results.delete(oldest);
		}
	}
}
