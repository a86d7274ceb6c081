/** Closes engines that rejected a request for lack of memory until there is evidence of free memory. */
import type {EngineId} from '../ids.js';
import {addMs} from '../time.js';
import type {Instant} from '../time.js';

/** Initial and maximum time for which an engine is closed after a rejection, in milliseconds; it doubles with each further rejection. */
const closedMs = {initial: 100, max: 800} as const;
/** How long an engine that reopened is closed again for the first stream granted on it, unless it accepts the stream earlier, in milliseconds. */
const probeMs = 400;

type Rejections = {
	count: number;
	closedUntil: Instant;
	/** Whether the engine is closed for a stream granted on it, whose rejection is news. */
	isProbing: boolean;
};

/**
 * Answers a burst on engines whose memory is used by streams that this owner does not know: without it, each engine that
 * looks free is granted again within milliseconds of its rejection, and every prompt read for it is lost.
 * A release on the engine reopens it at once. A reopened engine gets one stream, and the next ones once it accepted that one.
 *
 * @see Nygard, "Release It!", 2018, on circuit breakers.
 * @example
 * const rejections = new RejectionBackoff();
 * rejections.recordRejection(engine, now);
 * rejections.isClosed(engine, now); // true for 100 ms, or until a stream of the engine ends
 */
export class RejectionBackoff {
	readonly #rejections = new Map<EngineId, Rejections>();

	/** Closes an engine that rejected a stream. */
	recordRejection(engine: EngineId, now: Instant): void {
		const previous = this.#rejections.get(engine);
		if (previous !== undefined && !previous.isProbing && now < previous.closedUntil) {
			// Sends that were under way when the engine was closed say nothing new
			return;
		}

		const count = (previous?.count ?? 0) + 1;
		this.#rejections.set(engine, {count, closedUntil: addMs(now, Math.min(closedMs.max, closedMs.initial * (2 ** (count - 1)))), isProbing: false});
	}

	/** Closes an engine that reopened until it accepts the stream that was granted now. */
	recordGrant(engine: EngineId, now: Instant): void {
		const rejections = this.#rejections.get(engine);
		if (rejections !== undefined) {
			rejections.closedUntil = addMs(now, probeMs);
			rejections.isProbing = true;
		}
	}

	/** Reopens an engine on which memory became free. */
	recordRelease(engine: EngineId, now: Instant): void {
		const rejections = this.#rejections.get(engine);
		if (rejections !== undefined && now < rejections.closedUntil) {
			rejections.closedUntil = now;
		}
	}

	/** Ends the backoff of an engine that accepted a stream. */
	recordAcceptance(engine: EngineId): void {
		this.#rejections.delete(engine);
	}

	/** Time until which an engine gets no new streams; undefined when it gets some now. */
	closedUntil(engine: EngineId, now: Instant): Instant | undefined {
		const closedUntil = this.#rejections.get(engine)?.closedUntil;
		return closedUntil !== undefined && now < closedUntil ? closedUntil : undefined;
	}

	/** Whether an engine gets no new streams now. */
	isClosed(engine: EngineId, now: Instant): boolean {
		return this.closedUntil(engine, now) !== undefined;
	}
}
