/** Frees engine memory: repeats a cancel until the engine confirms it. */
import {setTimeout as sleep} from 'node:timers/promises';
import {holdKey} from '@baobabpier/core';
import type {
	Clock, EngineHold, EngineId, Instant,
} from '@baobabpier/core';
import {createLog} from '../log.js';
import type {EngineClients} from './engine-clients.js';

const firstRetryMs = 100;
const maxRetryMs = 5000;
/** By then the pool's owner has taken the hold over: it waits one lease, and a little more for a report. */
const handOverMs = 15_000;
const log = createLog('cancel');

type Drive = {
	readonly startedAt: Instant;
	/** Settles once the engine confirmed a cancel that was sent after the last wish. */
	readonly done: Promise<void>;
	/** A cancel was wished for while another was on its way: the next must be sent after it. */
	again: boolean;
};

/** Drives cancels to their end, each in its own task. */
export class EngineCanceller {
	readonly #drives = new Map<string, Drive>();
	readonly #stop = new AbortController();

	constructor(private readonly clients: EngineClients, private readonly clock: Clock) {}

	/** Cancels not yet confirmed. */
	get pending(): number {
		return this.#drives.size;
	}

	/** Cancels that a planned stop waits for; the pool's owner drives the older ones too. */
	get awaited(): number {
		const now = this.clock.now();
		return [...this.#drives.values()].filter(({startedAt}) => now - startedAt < handOverMs).length;
	}

	/** Cancels an attempt; resolves once its memory is free, or never after `close`. */
	async cancel(engine: EngineId, address: string, hold: EngineHold): Promise<void> {
		const key = `${engine}@${address}/${holdKey(hold)}`;
		const running = this.#drives.get(key);
		if (running !== undefined) {
			running.again = true;
			return running.done;
		}

		const drive: Drive = {
			startedAt: this.clock.now(),
			again: true,
			done: (async () => {
				// The drive must be known before its first look at `again`
				await Promise.resolve();
				await this.#run(engine, address, {hold, drive: () => this.#drives.get(key)!});
			})(),
		};
		this.#drives.set(key, drive);
		return drive.done;
	}

	/** Stops repeating. */
	close(): void {
		this.#stop.abort();
	}

	async #run(engine: EngineId, address: string, {hold, drive}: {hold: EngineHold; drive: () => Drive}): Promise<void> {
		let waitMs = firstRetryMs;
		/* eslint-disable no-await-in-loop -- one try after the other */
		while (drive().again) {
			drive().again = false;
			const answer = await this.clients.get(engine, address).cancel(hold);
			if (answer.ok) {
				continue;
			}

			drive().again = true;
			log('Cancel is not confirmed yet.', {
				engine, requestId: hold.requestId, attempt: hold.attempt, fault: answer.val.kind,
			});
			await this.#wait(waitMs);
			waitMs = Math.min(waitMs * 2, maxRetryMs);
		}

		/* eslint-enable no-await-in-loop */
		this.#drives.delete(`${engine}@${address}/${holdKey(hold)}`);
	}

	async #wait(ms: number): Promise<void> {
		try {
			await sleep(ms, undefined, {ref: false, signal: this.#stop.signal});
		} catch {
			await new Promise(() => {/* Closed: the memory falls to the pool's owner */});
		}
	}
}
