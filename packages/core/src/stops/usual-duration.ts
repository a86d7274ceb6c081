/** Running estimate of how long the calls of one kind take. */

/** Weights of the newest call in the moving averages of the duration and of its deviation (RFC 6298, section 2.3). */
const meanWeight = 1 / 8;
const deviationWeight = 1 / 4;

/**
 * Mean duration and mean deviation of past calls, as TCP estimates round-trip times.
 *
 * @example
 * const usual = new UsualDuration();
 * usual.add(40);
 * usual.upperBoundMs(2); // 80
 */
export class UsualDuration {
	#meanMs: number | undefined;
	#deviationMs = 0;

	/** Adds the duration of a call, in milliseconds. */
	add(ms: number): void {
		if (this.#meanMs === undefined) {
			this.#meanMs = ms;
			this.#deviationMs = ms / 2;
			return;
		}

		this.#deviationMs += deviationWeight * (Math.abs(ms - this.#meanMs) - this.#deviationMs);
		this.#meanMs += meanWeight * (ms - this.#meanMs);
	}

	/** The mean plus a number of mean deviations, in milliseconds; infinite before the first call. */
	upperBoundMs(deviations: number): number {
		return this.#meanMs === undefined ? Number.POSITIVE_INFINITY : this.#meanMs + (deviations * this.#deviationMs);
	}
}
