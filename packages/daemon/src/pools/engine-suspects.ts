/** The engines that get no work for a while, since they could not be reached or fail their calls. */
import {addMs} from '@baobabpier/core';
import type {Clock, EngineId, Instant} from '@baobabpier/core';
import {createLog} from '../log.js';

const log = createLog('pool');
/** Failures, each success halving them, from which an engine gets no work. */
const failuresToSuspect = 2;
/** Below this many failures an engine counts as sound again. */
const successForgets = 0.3;
/** How long an engine that fails its calls gets no work at first and at most, in milliseconds; doubled each time. */
const failedMs = {first: 1000, most: 8000} as const;
/** How long an engine that could not be reached gets no work, in milliseconds: some requests for reports that it may answer. */
const suspectMs = 1500;

/**
 * Keeps suspicions, which end by themselves or once the engine answers.
 *
 * @example
 * const suspects = new EngineSuspects(clock, () => applyLeaving());
 * suspects.add([engine]);
 * suspects.ids.has(engine); // true for 1.5 s
 */
export class EngineSuspects {
	readonly #suspects = new Map<EngineId, {readonly since: Instant; readonly until: Instant; readonly isFailing: boolean}>();
	readonly #failures = new Map<EngineId, {count: number; times: number}>();

	/** `onChange` is called when the engines under suspicion are others than before. */
	constructor(private readonly clock: Clock, private readonly onChange: () => void) {}

	get ids(): ReadonlySet<EngineId> {
		return new Set(this.#suspects.keys());
	}

	/** Suspects engines that could not be reached now. */
	markUnreachable(engines: readonly EngineId[]): void {
		const since = this.clock.now();
		const fresh = [...new Set(engines)].filter(id => !this.#suspects.has(id));
		for (const id of engines) {
			const known = this.#suspects.get(id);
			this.#suspects.set(id, known?.isFailing === true ? known : {since, until: addMs(since, suspectMs), isFailing: false});
		}

		if (fresh.length > 0) {
			log('Engines can\'t be reached; they get no work for a while.', {engines: fresh.join(' '), forMs: suspectMs});
			this.onChange();
		}
	}

	/**
	 * Counts a call that an engine failed. It answers fast and looks idle, so that it would be given ever more of them;
	 * that it still answers questions about itself says nothing.
	 */
	recordFailure(engine: EngineId): void {
		const record = this.#failures.get(engine) ?? {count: 0, times: 0};
		record.count += 1;
		this.#failures.set(engine, record);
		if (record.count < failuresToSuspect || this.#suspects.get(engine)?.isFailing === true) {
			return;
		}

		const since = this.clock.now();
		const forMs = Math.min(failedMs.most, failedMs.first * (2 ** record.times));
		record.times += 1;
		this.#suspects.set(engine, {since, until: addMs(since, forMs), isFailing: true});
		log('An engine fails its calls; it gets no work for a while.', {engine, failures: record.count, forMs});
		this.onChange();
	}

	/** Counts a call that an engine served. */
	recordSuccess(engine: EngineId): void {
		const record = this.#failures.get(engine);
		if (record === undefined) {
			return;
		}

		record.count /= 2;
		if (record.count < successForgets) {
			this.#failures.delete(engine);
		}
	}

	/** Ends the suspicion of an engine that answered a question asked at `askedAt`, unless it came later. */
	recordResponse(engine: EngineId, askedAt: Instant): void {
		const suspect = this.#suspects.get(engine);
		if (suspect?.isFailing === false && askedAt > suspect.since) {
			this.#end([engine]);
		}
	}

	/** Ends the suspicion of engines that were silent for another reason. */
	clearUnreachable(engines: ReadonlySet<EngineId>): void {
		this.#end([...this.#suspects].filter(([id, {isFailing}]) => !isFailing && engines.has(id)).map(([id]) => id));
	}

	/** Ends the suspicions whose time is over. */
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
