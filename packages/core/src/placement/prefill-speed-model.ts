/** Models the duration of prefills on the engines of a service. */

/** Forgetting factor at each new prompt: the last fifty count most. */
const forgettingFactor = 0.98;
/** Weight of each of the two samples that represent the initial estimate: low, so that the first prompts outweigh it. */
const priorWeight = 0.1;
/** Tokens of the two samples that represent the initial estimate: far enough apart to separate rate and latency. */
const priorPromptTokens = [500, 8000] as const;
/** Measured durations are capped at this many times the prediction: longer ones have other causes. */
const maxOutlierFactor = 3;

/** Number of prompts from which the learned speed is better than the initial estimate. */
const minPrompts = 20;

/** Prefill rate and fixed latency of an engine. */
export type PrefillSpeed = {
	readonly tokensPerMs: number;
	/** From the end of the work to the answer, in milliseconds. */
	readonly latencyMs: number;
};

/**
 * Fits `ms = latency + tokens / rate` to prompts that arrived at an idle engine, by recursive least squares
 * with exponential forgetting.
 *
 * @example
 * const speed = new PrefillSpeedModel({tokensPerMs: 40, latencyMs: 50});
 * speed.learn(5000, 240);
 * speed.predictMs(2500);
 */
export class PrefillSpeedModel implements PrefillSpeed {
	#weight = 0;
	#sumX = 0;
	#sumY = 0;
	#sumXx = 0;
	#sumXy = 0;
	#prompts = 0;

	constructor({tokensPerMs, latencyMs}: PrefillSpeed) {
		for (const tokens of priorPromptTokens) {
			this.#add(tokens, latencyMs + (tokens / tokensPerMs), priorWeight);
		}
	}

	/** The learned speed; undefined until enough prompts were measured. */
	get learned(): PrefillSpeed | undefined {
		return this.#prompts < minPrompts ? undefined : {tokensPerMs: this.tokensPerMs, latencyMs: this.latencyMs};
	}

	get tokensPerMs(): number {
		return 1 / this.#msPerToken;
	}

	get latencyMs(): number {
		return Math.max(0, (this.#sumY - (this.#msPerToken * this.#sumX)) / this.#weight);
	}

	/** Time from the dispatch to the answer of an idle engine, in milliseconds. */
	predictMs(tokens: number): number {
		return this.latencyMs + (tokens * this.#msPerToken);
	}

	/** Adds a prompt that arrived at an idle engine. */
	learn(tokens: number, ms: number): void {
		this.#prompts += 1;
		const cappedMs = Math.min(ms, maxOutlierFactor * this.predictMs(tokens));
		this.#weight *= forgettingFactor;
		this.#sumX *= forgettingFactor;
		this.#sumY *= forgettingFactor;
		this.#sumXx *= forgettingFactor;
		this.#sumXy *= forgettingFactor;
		this.#add(tokens, cappedMs, 1);
	}

	/** Slope of the fit; the mean time per token where the prompt lengths are too similar for one. */
	get #msPerToken(): number {
		const denominator = (this.#weight * this.#sumXx) - (this.#sumX ** 2);
		const slope = denominator > 0 ? ((this.#weight * this.#sumXy) - (this.#sumX * this.#sumY)) / denominator : 0;
		return slope > 0 ? slope : this.#sumY / this.#sumX;
	}

	#add(tokens: number, ms: number, weight: number): void {
		this.#weight += weight;
		this.#sumX += weight * tokens;
		this.#sumY += weight * ms;
		this.#sumXx += weight * tokens * tokens;
		this.#sumXy += weight * tokens * ms;
	}
}
