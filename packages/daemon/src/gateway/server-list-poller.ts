/** Reads the platform's list of servers page by page, again and again. */
import type {Clock, ListedServer} from '@baobabpier/core';
import {createLog} from '../log.js';
import type {ServerTransport} from './server-transport.js';
import type {ListDialect} from './types.js';

const log = createLog('list');
/** Longest time for one page, in milliseconds. */
const pageMs = 1000;
/** Pages of one reading at most: the target's 10,000 servers at 50 a page. */
const maxPages = 200;

/** What a list reader works with. */
export type ServerListPollerOptions = {
	readonly address: string;
	readonly dialect: ListDialect;
	readonly transport: ServerTransport;
	readonly clock: Clock;
	/** Pause between two readings, in milliseconds. */
	readonly intervalMs: number;
	/** Whether this instance is to read now. */
	readonly shouldPoll: () => boolean;
	readonly onList: (servers: readonly ListedServer[]) => void;
};

/** Polls the list while it is wanted. */
export class ServerListPoller {
	#timer: NodeJS.Timeout | undefined;
	#readAt: number | undefined;
	#isGood = true;
	#isReading = false;

	constructor(private readonly parts: ServerListPollerOptions) {}

	/** Age of the newest whole reading, in milliseconds; undefined before the first. */
	get ageMs(): number | undefined {
		return this.#readAt === undefined ? undefined : this.parts.clock.now() - this.#readAt;
	}

	start(): void {
		this.#timer = setInterval(() => {
			void this.poll();
		}, this.parts.intervalMs);
		void this.poll();
	}

	stop(): void {
		clearInterval(this.#timer);
	}

	/** Reads the list once, if it is wanted and no reading is under way. */
	async poll(): Promise<void> {
		if (this.#isReading || !this.parts.shouldPoll()) {
			return;
		}

		this.#isReading = true;
		const startedAt = this.parts.clock.now();
		const outcome = await this.#readAll();
		this.#isReading = false;
		if (typeof outcome === 'string') {
			this.#note(false, outcome);
			return;
		}

		this.#readAt = startedAt;
		this.#note(true, '');
		this.parts.onList(outcome);
	}

	#note(isGood: boolean, detail: string): void {
		if (isGood !== this.#isGood) {
			this.#isGood = isGood;
			log(isGood ? 'The platform\'s list is read again.' : 'The platform\'s list can\'t be read.', {address: this.parts.address, detail: detail === '' ? undefined : detail, ageMs: this.ageMs});
		}
	}

	async #readAll(): Promise<readonly ListedServer[] | string> {
		const servers: ListedServer[] = [];
		let token: string | undefined;
		for (let page = 0; page < maxPages; page++) {
			// One page after the other
			// eslint-disable-next-line no-await-in-loop
			const read = await this.#readPage(token);
			if (typeof read === 'string') {
				return read;
			}

			servers.push(...read.servers);
			if (read.unreadable > 0) {
				log('Entries of the platform\'s list can\'t be read; the others hold.', {unreadable: read.unreadable, read: read.servers.length});
			}

			if (read.next === undefined) {
				return servers;
			}

			token = read.next;
		}

		return `the list has over ${maxPages} pages`;
	}

	async #readPage(token: string | undefined) {
		const {address, dialect, transport} = this.parts;
		const answer = await transport.sendRequest({
			address, method: 'GET', target: dialect.pagePath(token), headers: [], body: undefined, signal: AbortSignal.timeout(pageMs),
		});
		if (answer.kind !== 'head') {
			return answer.detail;
		}

		const body = await transport.readBody(answer);
		if ('kind' in body) {
			return body.detail;
		}

		if (answer.status !== 200) {
			return `status ${answer.status}`;
		}

		const page = dialect.readPage(body);
		return page.err ? page.val : page.val;
	}
}
