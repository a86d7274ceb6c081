/** One instance's share of the retries that all instances together may send to a service. */
import type {Instant} from '../time.js';

/** How many retries the servers of a service accept. */
export type WindowedRetryBudgetSettings = {
	/** Retries per call, over all instances. */
	readonly ratio: number;
	/** Retries beyond the ratio, over all instances. */
	readonly slack: number;
	/** Length of the sliding window, in milliseconds. */
	readonly windowMs: number;
};

/** Fraction of the budget that is used: the windows of other instances start a little earlier or later. */
const usedFraction = 0.6;

/**
 * Counts calls and retries of one service over a sliding window. A restarted instance starts without slack,
 * since its previous incarnation may have used it in the same window.
 *
 * @example
 * const budget = new WindowedRetryBudget({ratio: 0.2, slack: 56, windowMs: 10_000});
 * budget.recordCall(now);
 * if (budget.tryAcquire(now, 8)) retry();
 */
export class WindowedRetryBudget {
	#calls: Instant[] = [];
	#retries: Instant[] = [];
	#startedAt: Instant | undefined;

	/** `isFirstIncarnation` is true where no earlier incarnation of the instance can have used the budget. */
	constructor(private readonly bounds: WindowedRetryBudgetSettings, private readonly isFirstIncarnation = false) {}

	/** Counts a call for the service. */
	recordCall(now: Instant): void {
		this.#startedAt ??= now;
		this.#calls.push(now);
		this.#trim(now);
	}

	/** Acquires one retry; false when none is left. `instances` is the number of instances that share the slack. */
	tryAcquire(now: Instant, instances: number): boolean {
		this.#startedAt ??= now;
		this.#trim(now);
		const age = this.isFirstIncarnation ? 1 : Math.min(1, (now - this.#startedAt) / this.bounds.windowMs);
		const allowed = usedFraction * ((this.bounds.ratio * this.#calls.length) + ((this.bounds.slack * age) / Math.max(1, instances)));
		if (this.#retries.length + 1 > Math.max(allowed, 0)) {
			return false;
		}

		this.#retries.push(now);
		return true;
	}

	#trim(now: Instant): void {
		const start = now - this.bounds.windowMs;
		this.#calls = dropBefore(this.#calls, start);
		this.#retries = dropBefore(this.#retries, start);
	}
}

const dropBefore = (times: Instant[], start: number): Instant[] => {
	const firstKept = times.findIndex(at => at >= start);
	return firstKept === 0 ? times : (firstKept === -1 ? [] : times.slice(firstKept));
};
