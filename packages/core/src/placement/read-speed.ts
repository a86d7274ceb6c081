/** How long engines of a service take to read a prompt. */

/** Weight that older prompts keep at each new one: the last fifty count most. */
const forgetting = 0.98;
/** Weight of each of the two points that stand for the estimate: the first prompts go before it. */
const estimateWeight = 0.1;
/** Tokens of the two prompts that stand for the estimate: far enough apart to tell the rate from the latency. */
const estimatedTokens = [500, 8000] as const;
/** A prompt counts with at most this many times its predicted time: what is beyond was held up by something else. */
const maxStretch = 3;

/** Prompts from which a learned speed is worth more than an estimate. */
const minPrompts = 20;

/** A rate of reading, and what each prompt takes besides. */
export type PrefillSpeed = {
	readonly tokensPerMs: number;
	/** From the end of the work to the answer, in milliseconds. */
	readonly latencyMs: number;
};

/**
 * Fits `ms = latency + tokens / rate` to prompts that found their engine free, by least squares that forget.
 *
 * @example
 * const speed = new ReadSpeed({tokensPerMs: 40, latencyMs: 50});
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
		for (const tokens of estimatedTokens) {
			this.#add(tokens, latencyMs + (tokens / tokensPerMs), estimateWeight);
		}
	}

	/** The learned speed; undefined while a few prompts say little. */
	get learned(): PrefillSpeed | undefined {
		return this.#prompts < minPrompts ? undefined : {tokensPerMs: this.tokensPerMs, latencyMs: this.latencyMs};
	}

	get tokensPerMs(): number {
		return 1 / this.#msPerToken;
	}

	get latencyMs(): number {
		return Math.max(0, (this.#sumY - (this.#msPerToken * this.#sumX)) / this.#weight);
	}

	/** Time from the order to the answer at an engine that is free, in milliseconds. */
	predictMs(tokens: number): number {
		return this.latencyMs + (tokens * this.#msPerToken);
	}

	/** Learns from a prompt that found its engine free. */
	learn(tokens: number, ms: number): void {
		this.#prompts += 1;
		const bounded = Math.min(ms, maxStretch * this.predictMs(tokens));
		this.#weight *= forgetting;
		this.#sumX *= forgetting;
		this.#sumY *= forgetting;
		this.#sumXx *= forgetting;
		this.#sumXy *= forgetting;
		this.#add(tokens, bounded, 1);
	}

	/** The slope; the mean time for a token where the prompts are too much alike to tell. */
	get #msPerToken(): number {
		const spread = (this.#weight * this.#sumXx) - (this.#sumX ** 2);
		const slope = spread > 0 ? ((this.#weight * this.#sumXy) - (this.#sumX * this.#sumY)) / spread : 0;
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
