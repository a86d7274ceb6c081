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
	#isStopped = false;

	/** `sources` are tried in this order. */
	constructor(private readonly sources: readonly InstanceId[], private readonly peers: Peers, private readonly applied: AppliedLog) {}

	/** The position that the source last reported; undefined while no source responds. */
	get position(): ControlPosition | undefined {
		return this.#position;
	}

	/** Follows until stopped. */
	async run(): Promise<void> {
		while (!this.#isStopped && this.sources.length > 0) {
			const source = this.sources[this.#source % this.sources.length]!;
			// eslint-disable-next-line no-await-in-loop
			const isGood = await this.#follow(source);
			if (!isGood) {
				this.#source += 1;
				// eslint-disable-next-line no-await-in-loop
				await sleep(retryDelayMs);
			}
		}
	}

	stop(): void {
		this.#isStopped = true;
	}

	/** Fetches once from an instance. Throws `RpcCallError`. */
	async fetch(source: InstanceId, waitMs: number): Promise<ControlPosition> {
		const {update, position} = await this.peers.get(source).call(CONTROL_FETCH, {after: this.applied.state.index, waitMs}, waitMs + fetchGraceMs);
		if (update.kind === 'capture') {
			this.applied.restore(update.capture);
		} else {
			this.applied.apply(update.entries);
		}

		return position;
	}

	async #follow(source: InstanceId): Promise<boolean> {
		try {
			this.#position = await this.fetch(source, fetchTimeoutMs);
			return this.#position.hearsQuorum;
		} catch (error) {
			if (this.#position !== undefined) {
				log('The source does not answer.', {source, error: (error as Error).message});
			}

			this.#position = undefined;
			return false;
		}
	}
}
