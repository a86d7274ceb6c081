/** Estimates how many output tokens running streams hold, from the lengths of completed ones. */

/** Weight of the newest stream in the moving averages, once several were measured. */
const learningWeight = 0.02;

/** Number of streams from which measurements are better than the initial estimate: they cover several lengths of all kinds. */
const minStreams = 20;

/** First three raw moments of the output length, as a fraction of the maximum that callers allow. */
export type OutputMoments = {readonly first: number; readonly second: number; readonly third: number};

/** Moments of outputs of equal length, where running streams hold `expectedFraction` of the maximum on average. */
const constantLengthMoments = (expectedFraction: number): OutputMoments => ({first: 2 * expectedFraction, second: (2 * expectedFraction) ** 2, third: (2 * expectedFraction) ** 3});

/**
 * Estimates the progress of running streams. The streams that run at a given moment are longer than the mean stream,
 * since long ones are sampled more often, and are halfway through on average.
 *
 * @see Feller, "An Introduction to Probability Theory and Its Applications" II, 1971, on the inspection paradox.
 * @example
 * const lengths = new OutputLengthModel(0.5);
 * lengths.learn(450, 1000);
 * lengths.expectedTokens(1000); // Output tokens held by a running stream with a maximum of 1000
 */
export class OutputLengthModel {
	#streams = 0;
	#first: number;
	#second: number;
	#third: number;

	/** `initial` are earlier moments, or an estimate of the fraction of the maximum output that running streams hold. */
	constructor(initial: OutputMoments | number) {
		const {first, second, third} = typeof initial === 'number' ? constantLengthMoments(initial) : initial;
		this.#first = first;
		this.#second = second;
		this.#third = third;
	}

	/** The learned moments; undefined until enough streams were measured. */
	get moments(): OutputMoments | undefined {
		return this.#streams < minStreams ? undefined : {first: this.#first, second: this.#second, third: this.#third};
	}

	/** Adds a stream that completed with `tokens` of `maxTokens`. */
	learn(tokens: number, maxTokens: number): void {
		if (maxTokens <= 0) {
			return;
		}

		this.#streams += 1;
		const weight = Math.max(learningWeight, 1 / (this.#streams + 1));
		const fraction = Math.min(1, tokens / maxTokens);
		this.#first += weight * (fraction - this.#first);
		this.#second += weight * ((fraction ** 2) - this.#second);
		this.#third += weight * ((fraction ** 3) - this.#third);
	}

	/** Output tokens that a running stream holds on average. */
	expectedTokens(maxTokens: number): number {
		return this.#first === 0 ? 0 : maxTokens * this.#second / (2 * this.#first);
	}

	/** Variance of the output tokens that a running stream holds. */
	variance(maxTokens: number): number {
		if (this.#first === 0) {
			return 0;
		}

		const mean = this.#second / (2 * this.#first);
		return (maxTokens ** 2) * Math.max(0, (this.#third / (3 * this.#first)) - (mean ** 2));
	}
}
