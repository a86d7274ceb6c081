/** The pace of one request's output. */
import type {Instant, PaceSample} from '@baobabpier/core';

/**
 * Measures the mean and the longest time between outputs.
 *
 * @example
 * pace.add(8, clock.now());
 * pace.sample; // Undefined until outputs came at two times
 */
export class OutputPace {
	readonly #createdAt: Instant;
	#firstAt: Instant | undefined;
	#lastAt: Instant | undefined;
	#longestMs = 0;
	/** Outputs after the first arrival. */
	#outputs = 0;

	constructor(now: Instant) {
		this.#createdAt = now;
	}

	/** Mean and longest time between outputs; undefined until there are several. */
	get sample(): PaceSample | undefined {
		return this.#outputs === 0 ? undefined : {betweenMs: (this.#lastAt! - this.#firstAt!) / this.#outputs, longestMs: this.#longestMs};
	}

	/** When the first output came; undefined before. */
	get firstAt(): Instant | undefined {
		return this.#firstAt;
	}

	add(outputs: number, now: Instant): void {
		this.#outputs += this.#firstAt === undefined ? 0 : outputs;
		this.#longestMs = Math.max(this.#longestMs, now - (this.#lastAt ?? now));
		this.#firstAt ??= now;
		this.#lastAt = now;
	}

	/** What is left of `targetMs` until the first output; undefined once there was one. */
	leftMs(targetMs: number, now: Instant): number | undefined {
		return this.#firstAt === undefined ? targetMs - (now - this.#createdAt) : undefined;
	}
}
