/** Time in the core: monotonic milliseconds, passed in by the caller. */
import type {Branded} from './ids.js';

/** A point on a monotonic clock, in milliseconds; only differences mean anything. */
export type Instant = Branded<number, 'Instant'>;

/** A source of monotonic time. */
export type Clock = {
	now(): Instant;
};

/**
 * A clock that advances only on explicit calls, for tests and virtual-time runs.
 *
 * @example
 * const clock = new ManualClock();
 * clock.advance(250);
 */
export class ManualClock implements Clock {
	#now = 0;

	now(): Instant {
		return this.#now as Instant;
	}

	/** Moves the clock forward by `ms` milliseconds. */
	advance(ms: number): void {
		this.#now += ms;
	}
}

/** Returns the instant `ms` milliseconds after `instant`. */
export const addMs = (instant: Instant, ms: number): Instant => (instant + ms) as Instant;
