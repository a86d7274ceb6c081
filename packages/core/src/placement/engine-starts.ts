/** Tells a restarted engine, or another engine at its address, from the listed one. */
import type {EngineId} from '../ids.js';
import {addMs} from '../time.js';
import type {Instant} from '../time.js';

/** How long an engine is not trusted after another start was reported at its address, in milliseconds: a list drops a lost engine within seconds. */
const distrustMs = 3000;

/** Start of an engine in the engine's own clock; only compared for equality. */
export type EngineStart = number;

/**
 * Answers the loss of an engine whose address is taken over within seconds: the new engine's report makes the lost one look
 * idle while the list still names it, and each request that is placed there is misdirected after its prompt was read.
 * An engine that starts again under its own id is trusted once the list has had the time to drop it.
 *
 * @example
 * const starts = new EngineStarts();
 * starts.isTrusted(engine, 1000, now); // true: the first report
 * starts.isTrusted(engine, 2000, now); // false for 3 s
 */
export class EngineStarts {
	readonly #starts = new Map<EngineId, {readonly start: EngineStart; readonly trustedAt: Instant}>();

	/** Whether a report with this start comes from the listed engine. */
	isTrusted(engine: EngineId, start: EngineStart, now: Instant): boolean {
		const known = this.#starts.get(engine);
		if (known?.start !== start) {
			this.#starts.set(engine, {start, trustedAt: known === undefined ? now : addMs(now, distrustMs)});
		}

		return now >= this.#starts.get(engine)!.trustedAt;
	}

	/** Forgets the engines that are no longer listed. */
	retain(engines: ReadonlySet<EngineId>): void {
		for (const id of this.#starts.keys()) {
			if (!engines.has(id)) {
				this.#starts.delete(id);
			}
		}
	}
}
