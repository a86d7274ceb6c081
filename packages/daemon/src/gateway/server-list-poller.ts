/** Polls the platform's paginated list of servers. */
import type {Clock, ServerListReading} from '@baobabpier/core';
import {createPolledSignal} from '../polled-timeout.js';
import {createLog} from '../log.js';
import type {ServerTransport} from '../transport/server-transport.js';
import type {ListDialect, ListPage} from './types.js';

const log = createLog('list');
/** Timeout of one page request, in milliseconds. */
const pageTimeoutMs = 1000;
/** Maximum number of pages in one poll: enough for the target of 10,000 servers at 50 per page. */
const maxPages = 200;

/** Settings and dependencies of a server list poller. */
export type ServerListPollerOptions = {
	readonly address: string;
	readonly dialect: ListDialect;
	readonly transport: Pick<ServerTransport, 'readBody' | 'sendRequest'>;
	readonly clock: Clock;
	/** Interval between polls, in milliseconds. */
	readonly intervalMs: number;
	/** Whether this instance polls the list at the moment. */
	readonly shouldPoll: () => boolean;
	/** Called with each reading that has servers or is whole. */
	readonly onList: (reading: ServerListReading) => void;
};

/** What the polls met so far. */
export type ServerListCounts = {
	/** Entries of the newest poll that could not be read. */
	readonly unreadableEntries: number;
	/** Pages with such entries, or whose end could not be read, since the start. */
	readonly faultyPages: number;
	/** Polls that did not get to the end of the list, since the start. */
	readonly partialPolls: number;
};

/** Why a poll ended before the end of the list. */
type PollFault = {readonly page: number; readonly detail: string};

/**
 * Polls the list while `shouldPoll` returns true. Where a page can't be had or read to its end, the servers read so far are
 * passed on as a reading that is not whole.
 *
 * @example
 * const poller = new ServerListPoller({address, dialect, transport, clock, intervalMs: 700, shouldPoll: () => true, onList: ({servers}) => fleet.replace(servers)});
 * poller.start();
 */
export class ServerListPoller {
	#timer: NodeJS.Timeout | undefined;
	#lastPollAt: number | undefined;
	#isReadable = true;
	#isPolling = false;
	#counts: ServerListCounts = {unreadableEntries: 0, faultyPages: 0, partialPolls: 0};

	constructor(private readonly options: ServerListPollerOptions) {}

	/** Age of the newest whole list, counted from the start of its poll, in milliseconds; undefined before the first. */
	get ageMs(): number | undefined {
		return this.#lastPollAt === undefined ? undefined : this.options.clock.now() - this.#lastPollAt;
	}

	get counts(): ServerListCounts {
		return this.#counts;
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
		const pages: ListPage[] = [];
		const fault = await this.#readPages(pages);
		this.#isPolling = false;
		const servers = pages.flatMap(page => page.servers);
		this.#recordEntries(pages, servers.length);
		if (fault === undefined) {
			this.#lastPollAt = startedAt;
		}

		this.#recordFault(fault, servers.length);
		if (fault === undefined || servers.length > 0) {
			this.options.onList({servers, isWhole: fault === undefined});
		}
	}

	#recordEntries(pages: readonly ListPage[], read: number): void {
		const unreadable = pages.reduce((sum, page) => sum + page.unreadable, 0);
		if (unreadable !== this.#counts.unreadableEntries) {
			log('Entries of the platform\'s list can\'t be read; the other entries are used.', {
				unreadable, read, pages: pages.flatMap((page, index) => page.unreadable > 0 ? [index + 1] : []).join(' '),
			});
		}

		const faultyPages = pages.filter(page => page.unreadable > 0 || !page.isWhole).length;
		this.#counts = {...this.#counts, unreadableEntries: unreadable, faultyPages: this.#counts.faultyPages + faultyPages};
	}

	#recordFault(fault: PollFault | undefined, read: number): void {
		const isReadable = fault === undefined;
		this.#counts = {...this.#counts, partialPolls: this.#counts.partialPolls + (isReadable ? 0 : 1)};
		if (isReadable !== this.#isReadable) {
			this.#isReadable = isReadable;
			log(isReadable ? 'The platform\'s list can be read again.' : 'The platform\'s list can\'t be read.', {
				address: this.options.address, ...fault, read, ageMs: this.ageMs,
			});
		}
	}

	/** Reads the pages into `pages`; returns why the list could not be read to its end. */
	async #readPages(pages: ListPage[]): Promise<PollFault | undefined> {
		let pageToken: string | undefined;
		let fault: PollFault | undefined;
		while (pages.length < maxPages) {
			// Each page names the token of the next
			// eslint-disable-next-line no-await-in-loop
			const page = await this.#readPage(pageToken);
			if (typeof page === 'string') {
				return {page: pages.length + 1, detail: page};
			}

			pages.push(page);
			fault ??= page.isWhole ? undefined : {page: pages.length, detail: 'the end of the page can\'t be read'};
			if (page.next === undefined) {
				return fault;
			}

			pageToken = page.next;
		}

		return {page: maxPages, detail: `the list has more than ${maxPages} pages`};
	}

	async #readPage(pageToken: string | undefined): Promise<ListPage | string> {
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
