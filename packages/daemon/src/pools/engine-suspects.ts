/** The engines that get no work for a while, since they could not be reached. */
import {after} from '@baobabpier/core';
import type {Clock, EngineId, Instant} from '@baobabpier/core';
import {createLog} from '../log.js';

const log = createLog('pool');
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
	readonly #suspects = new Map<EngineId, {readonly since: Instant; readonly until: Instant}>();

	/** `onChange` is called when the engines under suspicion are others than before. */
	constructor(private readonly clock: Clock, private readonly onChange: () => void) {}

	get ids(): ReadonlySet<EngineId> {
		return new Set(this.#suspects.keys());
	}

	/** Suspects engines that could not be reached now. */
	add(engines: readonly EngineId[]): void {
		const since = this.clock.now();
		const fresh = [...new Set(engines)].filter(id => !this.#suspects.has(id));
		for (const id of engines) {
			this.#suspects.set(id, {since, until: after(since, suspectMs)});
		}

		if (fresh.length > 0) {
			log('Engines can\'t be reached; they get no work for a while.', {engines: fresh.join(' '), forMs: suspectMs});
			this.onChange();
		}
	}

	/** Ends the suspicion of an engine that answered a question asked at `askedAt`, unless it came later. */
	trust(engine: EngineId, askedAt: Instant): void {
		const suspect = this.#suspects.get(engine);
		if (suspect !== undefined && askedAt > suspect.since) {
			this.#end([engine]);
		}
	}

	/** Ends the suspicion of engines that were silent for another reason. */
	acquit(engines: ReadonlySet<EngineId>): void {
		this.#end([...this.#suspects.keys()].filter(id => engines.has(id)));
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

		log('Engines get work again after they could not be reached.', {engines: engines.join(' ')});
		this.onChange();
	}
}
