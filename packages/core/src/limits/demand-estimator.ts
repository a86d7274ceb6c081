/** Estimates how much of a limit a holder could use. */

const headroomFactor = 1.25;
const decayFactor = 0.7;

/** Tracks the peak demand, with headroom; the peak decays while the demand is lower. */
export class DemandEstimator {
	#peak = 0;
	#current = 0;

	/** Records the current level of a demand. */
	recordLevel(value: number): void {
		this.#current = Math.max(this.#current, value);
	}

	/** Adds to a demand that is counted over a period. */
	add(amount: number): void {
		this.#current += amount;
	}

	/** Ends a period of `seconds`; returns the quota to request. */
	endPeriod(seconds = 1): number {
		this.#peak = Math.max(this.#current / seconds, this.#peak * decayFactor);
		this.#current = 0;
		return this.#peak * headroomFactor;
	}
}
