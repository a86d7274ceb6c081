/** Follows the control log from another instance, for instances without a replica of their own. */
import {setTimeout as sleep} from 'node:timers/promises';
import {CONTROL_FETCH} from '@baobabpier/core';
import type {ControlPosition, InstanceId} from '@baobabpier/core';
import {createLog} from '../log.js';
import type {Peers} from '../rpc/peers.js';
import type {AppliedLog} from './applied-log.js';
import {fetchTimeoutMs, retryDelayMs} from './control-timings.js';

const log = createLog('learner');
const fetchGraceMs = 500;

/** Fetches from one source at a time; moves to the next one when a source doesn't respond or has no contact with a majority. */
export class LearnerTask {
	#position: ControlPosition | undefined;
	#source = 0;
	/** Counts the starts and stops, so that a fetch that was pending at one of them ends its loop. */
	#generation = 0;
	#isRunning = false;

	/** `sources` are tried in this order; they may change. */
	constructor(private readonly sources: () => readonly InstanceId[], private readonly peers: Peers, private readonly applied: AppliedLog) {}

	/** The position that the source last reported; undefined while no source responds. */
	get position(): ControlPosition | undefined {
		return this.#position;
	}

	/** Follows until stopped; may be started again. */
	start(): void {
		if (!this.#isRunning) {
			this.#isRunning = true;
			this.#generation += 1;
			void this.#run(this.#generation);
		}
	}

	/** Stops following; what a pending fetch brings is ignored. */
	stop(): void {
		this.#isRunning = false;
		this.#generation += 1;
		this.#position = undefined;
	}

	/** Fetches once from an instance. Throws `RpcCallError`. */
	async fetch(source: InstanceId, waitMs: number): Promise<ControlPosition> {
		return this.#fetch(source, waitMs, () => true);
	}

	async #run(generation: number): Promise<void> {
		while (generation === this.#generation) {
			const sources = this.sources();
			const source = sources[this.#source % Math.max(1, sources.length)];
			// eslint-disable-next-line no-await-in-loop
			const isGood = source !== undefined && await this.#follow(source, generation);
			if (!isGood) {
				this.#source += 1;
				// eslint-disable-next-line no-await-in-loop
				await sleep(retryDelayMs);
			}
		}
	}

	async #fetch(source: InstanceId, waitMs: number, isWanted: () => boolean): Promise<ControlPosition> {
		const {update, position} = await this.peers.get(source).call(CONTROL_FETCH, {after: this.applied.state.index, waitMs}, waitMs + fetchGraceMs);
		if (!isWanted()) {
			return position;
		}

		if (update.kind === 'capture') {
			this.applied.restore(update.capture);
		} else {
			this.applied.apply(update.entries);
		}

		return position;
	}

	async #follow(source: InstanceId, generation: number): Promise<boolean> {
		const isCurrent = (): boolean => generation === this.#generation;
		try {
			const position = await this.#fetch(source, fetchTimeoutMs, isCurrent);
			this.#position = isCurrent() ? position : this.#position;
			return position.hearsQuorum;
		} catch (error) {
			if (!isCurrent()) {
				return false;
			}

			if (this.#position !== undefined) {
				log('The source does not answer.', {source, error: (error as Error).message});
			}

			this.#position = undefined;
			return false;
		}
	}
}
