/** Decides when callers that are refused for lack of room may come back. */
import type {RandomSource} from '../random.js';
import type {Instant} from '../time.js';

/** Bounds of the delays, in milliseconds. */
export type BackoffLimits = {
	readonly minMs: number;
	readonly maxMs: number;
};

/** The usual bounds: the retry delay of a full instance, and as much as a caller that is refused by mistake may lose. */
export const defaultBackoffLimits: BackoffLimits = {minMs: 2000, maxMs: 16_000};

/** Largest part of a delay that is added to it at random, so that callers that are refused together don't come back together. */
const spread = 0.5;
/** Delays after which a process without refusals begins with the least one again. */
const quietDelays = 2;

/**
 * Doubles the retry delay as long as callers go on being refused: those that come back at once are told later each time, and those that come back when
 * they are told return less and less often until there is room for them.
 *
 * @example
 * const backoff = new RefusalBackoff(defaultBackoffLimits, random);
 * const retryAfterMs = backoff.refuse(clock.now());
 */
export class RefusalBackoff {
	#delayMs = 0;
	/** When the current delay was first told. */
	#toldSince: Instant | undefined;
	#refusedAt: Instant | undefined;

	constructor(private readonly limits: BackoffLimits, private readonly random: RandomSource) {}

	/** Records a refusal; returns its retry delay, in milliseconds. */
	refuse(now: Instant): number {
		const {minMs, maxMs} = this.limits;
		if (this.#refusedAt === undefined || now - this.#refusedAt > quietDelays * this.#delayMs) {
			this.#delayMs = minMs;
			this.#toldSince = now;
		} else if (now - this.#toldSince! >= this.#delayMs) {
			this.#delayMs = Math.min(maxMs, 2 * this.#delayMs);
			this.#toldSince = now;
		}

		this.#refusedAt = now;
		return Math.round(this.#delayMs * (1 + (spread * this.random.next())));
	}
}
