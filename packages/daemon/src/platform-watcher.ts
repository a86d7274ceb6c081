/** Polls the platform's list of live and leaving instances, engines and backend servers. */
import {readJsonList} from '@baobabpier/core';
import type {ServerListEntry} from '@baobabpier/core';
import {z} from 'zod';
import {createLog} from './log.js';
import {readIssuedId} from './transport/request-id.js';
import {ServerTransport} from './transport/server-transport.js';
import type {ForeignResponseListener} from './transport/types.js';

const pollMs = 500;
const callMs = 800;

const log = createLog('platform');
const entrySchema = z.object({id: z.string(), state: z.enum(['live', 'leaving']), mark: z.number().optional()});

const isEntry = (value: unknown): boolean => entrySchema.safeParse(value).success;

/** Where the readings of the list go. */
export type ListListener = {
	onList(entries: readonly ServerListEntry[]): void;
	onListFailed(): void;
};

/** Reads the list, one poll at a time, so that an old answer never follows a newer one. */
export class PlatformWatcher {
	readonly #transport: ServerTransport;
	#timer: NodeJS.Timeout | undefined;
	#polling = false;
	#unreadable = 0;

	constructor(private readonly list: string | undefined, private readonly listener: ListListener, onForeignResponse?: ForeignResponseListener) {
		this.#transport = new ServerTransport({
			maxConnectionsTo: () => 1, readResponseId: readIssuedId, connectTimeoutMs: callMs, onForeignResponse,
		});
	}

	/** Starts polling, at once and then by the timer. */
	start(): void {
		const {list} = this;
		if (list !== undefined) {
			void this.#poll(list);
			this.#timer = setInterval(() => {
				void this.#poll(list);
			}, pollMs);
		}
	}

	async stop(): Promise<void> {
		clearInterval(this.#timer);
		await this.#transport.close();
	}

	async #poll(address: string): Promise<void> {
		if (this.#polling) {
			return;
		}

		this.#polling = true;
		try {
			const response = await this.#transport.sendRequest({
				// A list names no request, and an old one would undo marks
				kind: 'list', binding: {kind: 'ownConnection'}, address, method: 'GET', target: '/instances', headers: [], body: undefined, signal: AbortSignal.timeout(callMs),
			});
			if (response.kind !== 'head') {
				this.listener.onListFailed();
				return;
			}

			const body = await this.#transport.readBody(response);
			if ('kind' in body) {
				throw new Error(body.detail);
			}

			const list = readJsonList(body, {member: undefined, isEntry});
			if (list?.isWhole !== true) {
				throw new Error('the end of the list can\'t be read');
			}

			const read = list.entries.map(entry => entrySchema.safeParse(entry));
			const entries = read.filter(entry => entry.success).map(({data: {id, state, mark}}) => ({id, state, mark}));
			this.#logUnreadable(list.unreadable + read.length - entries.length, entries.length);
			this.listener.onList(entries);
		} catch (error) {
			// What is known stays
			log('The platform\'s list can\'t be read.', {address, detail: (error as Error).message});
			this.listener.onListFailed();
		} finally {
			this.#polling = false;
		}
	}

	/** Logs how many entries are passed over, when that changes. */
	#logUnreadable(unreadable: number, read: number): void {
		if (unreadable !== this.#unreadable) {
			this.#unreadable = unreadable;
			log('Entries of the platform\'s list can\'t be read; the other entries are used.', {unreadable, read});
		}
	}
}
