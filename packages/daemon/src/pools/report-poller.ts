/** Asks the engines of a pool what they hold, and suspects those that do not answer. */
import type {
	Clock, EngineEntry, EngineId, EngineReport,
} from '@baobabpier/core';
import type {EngineSuspects} from './engine-suspects.js';
import type {PoolEngineClient} from './pool-host.js';

/** What a poller works with. */
export type ReportPollerParts = {
	readonly clock: Clock;
	readonly engines: Pick<PoolEngineClient, 'fetchReport'>;
	readonly suspects: EngineSuspects;
	readonly onReport: (report: EngineReport) => void;
};

/** Polls the engines of one pool. */
export class ReportPoller {
	/** Engines whose report is on its way. */
	readonly #polling = new Set<EngineId>();
	/** Engines that did not answer the last time. */
	readonly #silent = new Set<EngineId>();

	constructor(private readonly parts: ReportPollerParts) {}

	/** Asks every engine once, one report at a time, so that an old one never follows a newer one. */
	async poll(engines: readonly EngineEntry[]): Promise<void> {
		await Promise.all(engines.filter(({id}) => !this.#polling.has(id)).map(async engine => this.#pollOne(engine, engines.length)));
	}

	async #pollOne(engine: EngineEntry, engines: number): Promise<void> {
		const {clock, suspects, onReport} = this.parts;
		this.#polling.add(engine.id);
		const askedAt = clock.now();
		const report = await this.parts.engines.fetchReport(engine);
		this.#polling.delete(engine.id);
		if (report === 'unreachable') {
			this.#silent.add(engine.id);
			this.#weighSilence(engine.id, engines);
			return;
		}

		this.#silent.delete(engine.id);
		if (report !== undefined) {
			suspects.recordResponse(engine.id, askedAt);
			onReport(report);
		}
	}

	/** Suspects an engine that did not answer; where most are silent, this instance is the one that is cut off. */
	#weighSilence(engine: EngineId, engines: number): void {
		if (this.#silent.size <= engines / 2) {
			this.parts.suspects.markUnreachable([engine]);
		} else {
			this.parts.suspects.clearUnreachable(this.#silent);
		}
	}
}
