/** Excludes engines from placement for a limited time after they are unreachable or fail calls. */
import {addMs} from '@baobabpier/core';
import type {Clock, EngineId, Instant} from '@baobabpier/core';
import {createLog} from '../log.js';

const log = createLog('pool');
/** Failure count from which an engine is excluded; each success halves the count. */
const failureThreshold = 2;
/** Failure count below which an engine's failure record is deleted, and with it the exponential backoff. */
const resetThreshold = 0.3;
/** Initial and maximum exclusion time of an engine that fails calls, in milliseconds; it doubles with each exclusion. */
const failureExclusionMs = {initial: 1000, max: 8000} as const;
/** Exclusion time of an unreachable engine, in milliseconds: long enough for a few report requests that can end it early. */
const unreachableExclusionMs = 1500;

/**
 * Tracks suspected engines. A suspicion expires on its own, or ends early when an unreachable engine responds.
 *
 * @example
 * const suspects = new EngineSuspects(clock, () => applyExclusions());
 * suspects.markUnreachable([engine]);
 * suspects.ids.has(engine); // true for 1.5 s
 */
export class EngineSuspects {
	readonly #suspects = new Map<EngineId, {readonly since: Instant; readonly until: Instant; readonly isFailing: boolean}>();
	readonly #failures = new Map<EngineId, {count: number; exclusions: number}>();

	/** `onChange` is called when the set of suspected engines changes. */
	constructor(private readonly clock: Clock, private readonly onChange: () => void) {}

	get ids(): ReadonlySet<EngineId> {
		return new Set(this.#suspects.keys());
	}

	/** Suspects engines that are unreachable now; an engine that is suspected for failed calls keeps that suspicion. */
	markUnreachable(engines: readonly EngineId[]): void {
		const since = this.clock.now();
		const added = [...new Set(engines)].filter(id => !this.#suspects.has(id));
		for (const id of engines) {
			const previous = this.#suspects.get(id);
			this.#suspects.set(id, previous?.isFailing === true ? previous : {since, until: addMs(since, unreachableExclusionMs), isFailing: false});
		}

		if (added.length > 0) {
			log('Engines can\'t be reached; they get no work for a while.', {engines: added.join(' '), forMs: unreachableExclusionMs});
			this.onChange();
		}
	}

	/**
	 * Counts a call that an engine failed. An engine that fails calls responds fast and looks idle, so it would attract
	 * more and more requests; a successful status report doesn't show that it is healthy.
	 */
	recordFailure(engine: EngineId): void {
		const record = this.#failures.get(engine) ?? {count: 0, exclusions: 0};
		record.count += 1;
		this.#failures.set(engine, record);
		if (record.count < failureThreshold || this.#suspects.get(engine)?.isFailing === true) {
			return;
		}

		const since = this.clock.now();
		const forMs = Math.min(failureExclusionMs.max, failureExclusionMs.initial * (2 ** record.exclusions));
		record.exclusions += 1;
		this.#suspects.set(engine, {since, until: addMs(since, forMs), isFailing: true});
		log('An engine fails its calls; it gets no work for a while.', {engine, failures: record.count, forMs});
		this.onChange();
	}

	/** Counts a call that an engine completed. */
	recordSuccess(engine: EngineId): void {
		const record = this.#failures.get(engine);
		if (record === undefined) {
			return;
		}

		record.count /= 2;
		if (record.count < resetThreshold) {
			this.#failures.delete(engine);
		}
	}

	/** Ends the suspicion of an unreachable engine that responded to a request sent at `sentAt`, unless the suspicion began later. */
	recordResponse(engine: EngineId, sentAt: Instant): void {
		const suspect = this.#suspects.get(engine);
		if (suspect?.isFailing === false && sentAt > suspect.since) {
			this.#end([engine]);
		}
	}

	/** Ends the suspicion of unreachable engines whose missing responses have another cause. */
	clearUnreachable(engines: ReadonlySet<EngineId>): void {
		this.#end([...this.#suspects].filter(([id, {isFailing}]) => !isFailing && engines.has(id)).map(([id]) => id));
	}

	/** Ends the suspicions that have expired. */
	expire(): void {
		const now = this.clock.now();
		this.#end([...this.#suspects].filter(([, {until}]) => until <= now).map(([id]) => id));
	}

	#end(engines: readonly EngineId[]): void {
		if (engines.length === 0) {
			return;
		}

		for (const id of engines) {
			this.#suspects.delete(id);
		}

		log('Engines get work again.', {engines: engines.join(' ')});
		this.onChange();
	}
}
