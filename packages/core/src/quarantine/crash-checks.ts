/** Decides when an engine whose connections broke is checked. */
import type {EngineId} from '../ids.js';
import {addMs} from '../time.js';
import type {Instant} from '../time.js';

/** Time for which the result of a check holds, in milliseconds. */
const resultTtlMs = 200;

/**
 * Shares the checks of engines among reports: each instance reports the crash of an engine for itself, and again for each run that breaks off.
 * A check tells of all crashes before it began.
 *
 * @example
 * const checks = new CrashChecks();
 * checks.tryBegin(engine, crashedAt, clock.now()); // true; false for the other reports of the same crash
 * checks.end(engine);
 */
export class CrashChecks {
	readonly #checks = new Map<EngineId, {readonly beganAt: Instant; isOver: boolean}>();

	/** Begins a check for a crash at `crashedAt`, unless one that tells of it is in progress or has just been made; returns whether it has begun. */
	tryBegin(engine: EngineId, crashedAt: Instant, now: Instant): boolean {
		const last = this.#checks.get(engine);
		if (last !== undefined && crashedAt <= last.beganAt && (!last.isOver || now < addMs(last.beganAt, resultTtlMs))) {
			return false;
		}

		this.#checks.set(engine, {beganAt: now, isOver: false});
		return true;
	}

	/** Ends the newest check of an engine. */
	end(engine: EngineId): void {
		const check = this.#checks.get(engine);
		if (check !== undefined) {
			check.isOver = true;
		}
	}

	/** Forgets the checks whose results hold no longer. */
	expire(now: Instant): void {
		for (const [engine, {beganAt, isOver}] of this.#checks) {
			if (isOver && now >= addMs(beganAt, resultTtlMs)) {
				this.#checks.delete(engine);
			}
		}
	}
}
