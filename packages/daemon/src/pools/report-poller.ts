/** Polls the engines of a pool for their holds, and suspects engines that don't respond. */
import type {
	Clock, EngineEntry, EngineId, EngineReport,
} from '@baobabpier/core';
import {createLog} from '../log.js';
import type {EngineSuspects} from './engine-suspects.js';
import type {PoolEngineClient} from './pool-host.js';

const log = createLog('reports');

/** Dependencies of a report poller. */
export type ReportPollerParts = {
	readonly clock: Clock;
	readonly engines: Pick<PoolEngineClient, 'fetchReport'>;
	readonly suspects: EngineSuspects;
	readonly onReport: (report: EngineReport) => void;
};

/** Polls the engines of one pool. */
export class ReportPoller {
	/** Engines with a report request in flight. */
	readonly #inFlight = new Set<EngineId>();
	/** Engines that didn't respond to the last report request. */
	readonly #unresponsive = new Set<EngineId>();

	constructor(private readonly parts: ReportPollerParts) {}

	/**
	 * Requests a report from some of the pool's `engineCount` engines. Each engine has at most one request in flight, so that an old report never arrives
	 * after a newer one.
	 */
	async poll(engines: readonly EngineEntry[], engineCount: number): Promise<void> {
		await Promise.all(engines.filter(({id}) => !this.#inFlight.has(id)).map(async engine => this.#pollOne(engine, engineCount)));
	}

	async #pollOne(engine: EngineEntry, engineCount: number): Promise<void> {
		const {clock, suspects, onReport} = this.parts;
		this.#inFlight.add(engine.id);
		const sentAt = clock.now();
		const report = await this.#fetch(engine);
		this.#inFlight.delete(engine.id);
		if (report === 'unreachable') {
			this.#unresponsive.add(engine.id);
			this.#handleUnreachable(engine.id, engineCount);
			return;
		}

		this.#unresponsive.delete(engine.id);
		if (report !== undefined) {
			suspects.recordResponse(engine.id, sentAt);
			onReport(report);
		}
	}

	/** One engine that can't be asked leaves the others' reports alone. */
	async #fetch(engine: EngineEntry): Promise<EngineReport | 'unreachable' | undefined> {
		try {
			return await this.parts.engines.fetchReport(engine);
		} catch (error) {
			log('A report could not be requested.', {engine: engine.id, address: engine.address, detail: (error as Error).message});
			return 'unreachable';
		}
	}

	/** Suspects an engine that didn't respond. When more than half of the engines don't respond, this instance is taken to be partitioned, and none is suspected. */
	#handleUnreachable(engine: EngineId, engineCount: number): void {
		if (this.#unresponsive.size <= engineCount / 2) {
			this.parts.suspects.markUnreachable([engine]);
		} else {
			this.parts.suspects.clearUnreachable(this.#unresponsive);
		}
	}
}
