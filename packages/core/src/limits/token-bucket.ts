/** A token bucket that holds one second's worth of tokens and whose rate may change at any time. */
import type {Instant} from '../time.js';

const msPerSecond = 1000;

/** Limits a rate. */
export class TokenBucket {
	#level = 0;
	#refilledAt: Instant | undefined;

	/** Refills the bucket up to `now` at `rate` tokens a second; returns its level. */
	refill(rate: number, now: Instant): number {
		const seconds = this.#refilledAt === undefined ? 0 : (now - this.#refilledAt) / msPerSecond;
		this.#refilledAt = now;
		this.#level = Math.min(Math.max(1, rate), this.#level + (rate * seconds));
		return this.#level;
	}

	/** Takes `amount` tokens; the level may become negative. */
	take(amount: number): void {
		this.#level -= amount;
	}

	/** Milliseconds until the level reaches `wanted` at `rate`. */
	waitMs(wanted: number, rate: number): number {
		return rate > 0 ? ((wanted - this.#level) / rate) * msPerSecond : Number.POSITIVE_INFINITY;
	}
}
