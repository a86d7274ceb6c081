/** Lets one request at a time try a suspected segment set. */
import type {RequestId, SegmentId} from '../ids.js';
import {addMs} from '../time.js';
import type {Instant} from '../time.js';
import type {SegmentSet} from './types.js';

/** Time after which a trial whose end was not reported no longer holds its slot, in milliseconds. */
const trialTimeoutMs = 4000;

/**
 * One trial at a time for each suspected segment, since the sets change as evidence comes in.
 *
 * @example
 * const slots = new TrialSlots();
 * slots.acquire(requestId, [set], clock.now()); // false while another request tries one of the segments
 */
export class TrialSlots {
	readonly #trials = new Map<RequestId, {readonly segments: ReadonlySet<SegmentId>; readonly until: Instant}>();

	/** Number of trials under way. */
	get size(): number {
		return this.#trials.size;
	}

	/** Begins a trial of the sets, unless another request tries one of their segments. */
	acquire(requestId: RequestId, sets: readonly SegmentSet[], now: Instant): boolean {
		for (const [id, {until}] of this.#trials) {
			if (now >= until) {
				this.#trials.delete(id);
			}
		}

		const segments = new Set(sets.flat());
		if ([...this.#trials].some(([id, trial]) => id !== requestId && [...segments].some(segment => trial.segments.has(segment)))) {
			return false;
		}

		this.#trials.set(requestId, {segments, until: addMs(now, trialTimeoutMs)});
		return true;
	}

	/** Ends the trial of a request. */
	release(requestId: RequestId): void {
		this.#trials.delete(requestId);
	}
}
