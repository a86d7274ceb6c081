/** How many output tokens the streams of an engine hold, learned from those that completed. */

/** Weight of the newest stream in the learned figures, once several were seen. */
const learningWeight = 0.02;

/** Streams from which learned figures are worth more than an estimate: several lengths of all kinds. */
const minStreams = 20;

/** Mean first, second and third power of outputs as parts of the most that callers allow. */
export type OutputMoments = {readonly first: number; readonly second: number; readonly third: number};

/** Outputs of equal length, of which running streams hold `expectedPart` of the most. */
const equalOutputs = (expectedPart: number): OutputMoments => ({first: 2 * expectedPart, second: (2 * expectedPart) ** 2, third: (2 * expectedPart) ** 3});

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
export class OutputLengthModel {
	#streams = 0;
	#first: number;
	#second: number;
	#third: number;

	/** `initial` are earlier figures, or the part of the most output that running streams hold until streams teach it. */
	constructor(initial: OutputMoments | number) {
		const {first, second, third} = typeof initial === 'number' ? equalOutputs(initial) : initial;
		this.#first = first;
		this.#second = second;
		this.#third = third;
	}

	/** The learned figures; undefined while a few streams say little. */
	get moments(): OutputMoments | undefined {
		return this.#streams < minStreams ? undefined : {first: this.#first, second: this.#second, third: this.#third};
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
