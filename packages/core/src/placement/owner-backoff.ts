/** Decides when an instance asks the owner of a pool for placements again that did not answer. */
import type {RandomSource} from '../random.js';
import {addMs} from '../time.js';
import type {Instant} from '../time.js';

/** First and longest time without requests to the owner, in milliseconds; it doubles with each failure. */
const backoffMs = {initial: 1000, max: 4000} as const;
/** Part of the time by which it varies, so that instances that failed together come back apart. */
const jitter = 0.25;
/** Time without a failure after which the next one counts as the first, in milliseconds. */
const memoryMs = 2000;

/**
 * An owner falls behind when it has more calls than it can answer. Each instance that comes back brings calls that it gives up again, so the longer the owner does not
 * answer, the fewer instances ask it at a time.
 *
 * @see Nygard, "Release It!", 2018, on circuit breakers.
 * @example
 * const backoff = new OwnerBackoff(random);
 * backoff.recordFailure(clock.now());
 * backoff.isActive(clock.now()); // true for about a second
 */
export class OwnerBackoff {
	#failures = 0;
	#until: Instant | undefined;

	constructor(private readonly random: RandomSource) {}

	/** Whether the owner is not asked now. */
	isActive(now: Instant): boolean {
		return this.#until !== undefined && now < this.#until;
	}

	/** Records that the owner did not answer; returns how long it is not asked, in milliseconds. */
	recordFailure(now: Instant): number {
		this.#failures = this.#until === undefined || now - this.#until > memoryMs ? 1 : this.#failures + 1;
		const forMs = Math.min(backoffMs.max, backoffMs.initial * (2 ** (this.#failures - 1))) * (1 - jitter + (2 * jitter * this.random.next()));
		this.#until = addMs(now, forMs);
		return forMs;
	}

	/** Ends the backoff: another instance is the owner. */
	reset(): void {
		this.#failures = 0;
		this.#until = undefined;
	}
}
