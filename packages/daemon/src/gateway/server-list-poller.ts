/** Polls the platform's paginated list of servers. */
import type {Clock, ListedServer} from '@baobabpier/core';
import {createPolledSignal} from '../polled-timeout.js';
import {createLog} from '../log.js';
import type {ServerTransport} from '../transport/server-transport.js';
import type {ListDialect} from './types.js';

const log = createLog('list');
/** Timeout of one page request, in milliseconds. */
const pageTimeoutMs = 1000;
/** Maximum number of pages in one poll: enough for the target of 10,000 servers at 50 per page. */
const maxPages = 200;

/** Settings and dependencies of a server list poller. */
export type ServerListPollerOptions = {
	readonly address: string;
	readonly dialect: ListDialect;
	readonly transport: ServerTransport;
	readonly clock: Clock;
	/** Interval between polls, in milliseconds. */
	readonly intervalMs: number;
	/** Whether this instance polls the list at the moment. */
	readonly shouldPoll: () => boolean;
	readonly onList: (servers: readonly ListedServer[]) => void;
};

/** Polls the list while `shouldPoll` returns true. */
export class ServerListPoller {
	#timer: NodeJS.Timeout | undefined;
	#lastPollAt: number | undefined;
	#isReadable = true;
	#isPolling = false;

	constructor(private readonly options: ServerListPollerOptions) {}

	/** Age of the newest complete list, counted from the start of its poll, in milliseconds; undefined before the first. */
	get ageMs(): number | undefined {
		return this.#lastPollAt === undefined ? undefined : this.options.clock.now() - this.#lastPollAt;
	}

	start(): void {
		this.#timer = setInterval(() => {
			void this.poll();
		}, this.options.intervalMs);
		void this.poll();
	}

	stop(): void {
		clearInterval(this.#timer);
	}

	/** Polls the list once, unless polling is not wanted at the moment or a poll is in progress. */
	async poll(): Promise<void> {
		if (this.#isPolling || !this.options.shouldPoll()) {
			return;
		}

		this.#isPolling = true;
		const startedAt = this.options.clock.now();
		const result = await this.#readPages();
		this.#isPolling = false;
		if (typeof result === 'string') {
			this.#recordResult(false, result);
			return;
		}

		this.#lastPollAt = startedAt;
		this.#recordResult(true, '');
		this.options.onList(result);
	}

	#recordResult(isReadable: boolean, detail: string): void {
		if (isReadable !== this.#isReadable) {
			this.#isReadable = isReadable;
			log(isReadable ? 'The platform\'s list can be read again.' : 'The platform\'s list can\'t be read.', {address: this.options.address, detail: detail === '' ? undefined : detail, ageMs: this.ageMs});
		}
	}

	async #readPages(): Promise<readonly ListedServer[] | string> {
		const servers: ListedServer[] = [];
		let pageToken: string | undefined;
		for (let pageNumber = 0; pageNumber < maxPages; pageNumber++) {
			// Each page names the token of the next
			// eslint-disable-next-line no-await-in-loop
			const page = await this.#readPage(pageToken);
			if (typeof page === 'string') {
				return page;
			}

			servers.push(...page.servers);
			if (page.unreadable > 0) {
				log('Entries of the platform\'s list can\'t be read; the other entries are used.', {unreadable: page.unreadable, read: page.servers.length});
			}

			if (page.next === undefined) {
				return servers;
			}

			pageToken = page.next;
		}

		return `the list has more than ${maxPages} pages`;
	}

	async #readPage(pageToken: string | undefined) {
		const {address, dialect, transport} = this.options;
		const response = await transport.sendRequest({
			kind: 'list', binding: {kind: 'ownConnection'}, address, method: 'GET', target: dialect.pagePath(pageToken), headers: [], body: undefined, signal: createPolledSignal(pageTimeoutMs),
		});
		if (response.kind !== 'head') {
			return response.detail;
		}

		const body = await transport.readBody(response);
		if ('kind' in body) {
			return body.detail;
		}

		if (response.status !== 200) {
			return `status ${response.status}`;
		}

		const page = dialect.readPage(body);
		return page.err ? page.val : page.val;
	}
}
