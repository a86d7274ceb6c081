/** Remembers the prompt segments of complete runs. */
import type {SegmentId} from '../ids.js';
import {addMs} from '../time.js';
import type {Instant} from '../time.js';

/** Age up to which a complete run counts as proof, in milliseconds. */
const proofTtlMs = 600_000;
/** Maximum number of segments; the one proven longest ago gives way. */
const maxSegments = 8192;

/**
 * Segments that engines completed runs with, and so do not crash on.
 *
 * @example
 * const proven = new ProvenSegments();
 * proven.add(call.sharedSegments, clock.now());
 * proven.has(segment, clock.now());
 */
export class ProvenSegments {
	readonly #provenAt = new Map<SegmentId, Instant>();

	add(segments: readonly SegmentId[], now: Instant): void {
		for (const segment of segments) {
			// Deleted first, so that the map stays ordered by time
			this.#provenAt.delete(segment);
			this.#provenAt.set(segment, now);
		}

		for (const segment of this.#provenAt.keys()) {
			if (this.#provenAt.size <= maxSegments) {
				break;
			}

			this.#provenAt.delete(segment);
		}
	}

	has(segment: SegmentId, now: Instant): boolean {
		const at = this.#provenAt.get(segment);
		return at !== undefined && now < addMs(at, proofTtlMs);
	}
}
