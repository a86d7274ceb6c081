/** Models the time between outputs of a decode engine as a function of its batch size. */

const forgettingFactor = 0.995;
const minSamples = 20;

/**
 * Fits `betweenMs = base + perStream * streams` by recursive least squares with exponential forgetting.
 *
 * @example
 * const model = new BatchModel();
 * model.learn(12, 21.6);
 * model.maxStreams(30); // Streams that keep the time between outputs at 30 ms or less
 */
export class BatchModel {
	#weight = 0;
	#sumX = 0;
	#sumY = 0;
	#sumXx = 0;
	#sumXy = 0;
	#samples = 0;

	/** Adds a sample: the mean batch size during a stream (itself included) and its mean milliseconds between outputs. */
	learn(streams: number, betweenMs: number): void {
		this.#samples += 1;
		this.#weight = (this.#weight * forgettingFactor) + 1;
		this.#sumX = (this.#sumX * forgettingFactor) + streams;
		this.#sumY = (this.#sumY * forgettingFactor) + betweenMs;
		this.#sumXx = (this.#sumXx * forgettingFactor) + (streams * streams);
		this.#sumXy = (this.#sumXy * forgettingFactor) + (streams * betweenMs);
	}

	/** The largest batch within `targetMs`; undefined until there are enough samples. */
	maxStreams(targetMs: number): number | undefined {
		const denominator = (this.#weight * this.#sumXx) - (this.#sumX * this.#sumX);
		if (this.#samples < minSamples || denominator <= 0) {
			return undefined;
		}

		const perStreamMs = ((this.#weight * this.#sumXy) - (this.#sumX * this.#sumY)) / denominator;
		const baseMs = (this.#sumY - (perStreamMs * this.#sumX)) / this.#weight;
		return perStreamMs <= 0 ? undefined : Math.max(1, Math.floor((targetMs - baseMs) / perStreamMs));
	}
}
