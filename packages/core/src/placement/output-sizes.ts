/** How many output tokens the streams of an engine hold, learned from those that completed. */

/** Weight of the newest stream in the learned figures, once several were seen. */
const learningWeight = 0.02;

/**
 * Learns how far a running stream is in its output. Streams that are met at any moment are longer than the mean one,
 * since long streams are met more often, and are half through on average.
 *
 * @see Feller, "An Introduction to Probability Theory and Its Applications" II, 1971, on the inspection paradox.
 * @example
 * const sizes = new OutputSizes(0.5);
 * sizes.learn(450, 1000);
 * sizes.expected(1000); // Tokens that a running stream with 1000 at most holds
 */
export class OutputSizes {
	#streams = 0;
	/** Mean first, second and third power of the output as a part of the most. */
	#first: number;
	#second: number;
	#third: number;

	/** `expectedPart` is the part of the most output that running streams hold, until streams teach it. */
	constructor(expectedPart: number) {
		// Of outputs of equal length
		const length = 2 * expectedPart;
		this.#first = length;
		this.#second = length ** 2;
		this.#third = length ** 3;
	}

	/** Learns from a stream that completed with `tokens` of `maxTokens`. */
	learn(tokens: number, maxTokens: number): void {
		if (maxTokens <= 0) {
			return;
		}

		this.#streams += 1;
		const weight = Math.max(learningWeight, 1 / (this.#streams + 1));
		const part = Math.min(1, tokens / maxTokens);
		this.#first += weight * (part - this.#first);
		this.#second += weight * ((part ** 2) - this.#second);
		this.#third += weight * ((part ** 3) - this.#third);
	}

	/** Output tokens that a running stream holds on average. */
	expected(maxTokens: number): number {
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
