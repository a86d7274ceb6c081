/** Polls the platform's list of live and leaving instances, engines and backend servers. */
import type {ServerListEntry} from '@baobabpier/core';
import {Pool} from 'undici';
import {z} from 'zod';

const pollMs = 500;
const callMs = 800;

const listSchema = z.array(z.object({id: z.string(), state: z.enum(['live', 'leaving']), mark: z.number().optional()}));

/** Where the readings of the list go. */
export type ListListener = {
	onList(entries: readonly ServerListEntry[]): void;
	onListFailed(): void;
};

/** Reads the list, one poll at a time, so that an old answer never follows a newer one. */
export class PlatformWatcher {
	readonly #pool: Pool | undefined;
	#timer: NodeJS.Timeout | undefined;
	#polling = false;

	constructor(list: string | undefined, private readonly listener: ListListener) {
		this.#pool = list === undefined ? undefined : new Pool(`http://${list}`, {connections: 1});
	}

	/** Starts polling, at once and then by the timer. */
	start(): void {
		const pool = this.#pool;
		if (pool !== undefined) {
			void this.#poll(pool);
			this.#timer = setInterval(() => {
				void this.#poll(pool);
			}, pollMs);
		}
	}

	async stop(): Promise<void> {
		clearInterval(this.#timer);
		await this.#pool?.destroy();
	}

	async #poll(pool: Pool): Promise<void> {
		if (this.#polling) {
			return;
		}

		this.#polling = true;
		try {
			const answer = await pool.request({path: '/instances', method: 'GET', signal: AbortSignal.timeout(callMs)});
			const entries = listSchema.parse(await answer.body.json());
			this.listener.onList(entries.map(({id, state, mark}) => ({id, state, mark})));
		} catch {
			// The list is out of reach or malformed; what is known stays
			this.listener.onListFailed();
		} finally {
			this.#polling = false;
		}
	}
}
