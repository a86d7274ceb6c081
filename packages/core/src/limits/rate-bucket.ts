/** A token bucket one second deep whose rate may change at any time. */
import type {Instant} from '../time.js';

const secondMs = 1000;

/** Counts what a rate allows. */
export class TokenBucket {
	#level = 0;
	#refilledAt: Instant | undefined;

	/** Fills the bucket up to `now` at `rate` a second; returns its level. */
	refill(rate: number, now: Instant): number {
		const seconds = this.#refilledAt === undefined ? 0 : (now - this.#refilledAt) / secondMs;
		this.#refilledAt = now;
		this.#level = Math.min(Math.max(1, rate), this.#level + (rate * seconds));
		return this.#level;
	}

	/** Takes `amount` out; the level may go below zero. */
	take(amount: number): void {
		this.#level -= amount;
	}

	/** Milliseconds until the level reaches `wanted` at `rate`. */
	waitMs(wanted: number, rate: number): number {
		return rate > 0 ? ((wanted - this.#level) / rate) * secondMs : Number.POSITIVE_INFINITY;
	}
}
