/** Estimates what a holder could use of a limit. */

const headroom = 1.25;
const decay = 0.7;

/** Follows the peak of a demand, with headroom; an idle one decays. */
export class DemandEstimator {
	#peak = 0;
	#current = 0;

	/** Notes a momentary demand. */
	recordLevel(value: number): void {
		this.#current = Math.max(this.#current, value);
	}

	/** Adds to a demand that is counted over a period. */
	add(amount: number): void {
		this.#current += amount;
	}

	/** Ends a period of `seconds`; returns what is wanted. */
	endPeriod(seconds = 1): number {
		this.#peak = Math.max(this.#current / seconds, this.#peak * decay);
		this.#current = 0;
		return this.#peak * headroom;
	}
}
