/** One instance's part of the second tries that all instances together may send to a service. */
import type {Instant} from '../time.js';

/** How many second tries the servers of a service accept. */
export type WindowedRetryBudgetSettings = {
	/** Second tries for each call, over all instances. */
	readonly ratio: number;
	/** Second tries beyond the ratio, over all instances. */
	readonly slack: number;
	/** Length of the sliding window, in milliseconds. */
	readonly windowMs: number;
};

/** Part of the bounds that is used: other instances count the same window a little later or earlier. */
const usedPart = 0.6;

/**
 * Counts calls and second tries of one service over a sliding window. A restarted instance begins without slack,
 * since its earlier life may have used it in the same window.
 *
 * @example
 * const budget = new SecondTryBudget({ratio: 0.2, slack: 56, windowMs: 10_000});
 * budget.noteCall(now);
 * if (budget.tryTake(now, 8)) sendAgain();
 */
export class WindowedRetryBudget {
	#calls: Instant[] = [];
	#retries: Instant[] = [];
	#startedAt: Instant | undefined;

	/** `isFirstLife` is true where no earlier life of the instance can have used the budget. */
	constructor(private readonly bounds: WindowedRetryBudgetSettings, private readonly isFirstLife = false) {}

	/** Counts a call for the service. */
	recordCall(now: Instant): void {
		this.#startedAt ??= now;
		this.#calls.push(now);
		this.#trim(now);
	}

	/** Takes one second try; false when none is left. `instances` share the slack. */
	tryAcquire(now: Instant, instances: number): boolean {
		this.#startedAt ??= now;
		this.#trim(now);
		const age = this.isFirstLife ? 1 : Math.min(1, (now - this.#startedAt) / this.bounds.windowMs);
		const allowed = usedPart * ((this.bounds.ratio * this.#calls.length) + ((this.bounds.slack * age) / Math.max(1, instances)));
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
	const kept = times.findIndex(at => at >= start);
	return kept === 0 ? times : (kept === -1 ? [] : times.slice(kept));
};
