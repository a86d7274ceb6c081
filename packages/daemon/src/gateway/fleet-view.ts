/** The servers that this instance may call, with what its own calls say of them. */
import type {
	BackendId, Clock, ListedServer, ServerLoad, ServiceName,
} from '@baobabpier/core';
import {createLog} from '../log.js';

const log = createLog('fleet');
/** Weight of the newest call in the share of failing calls and in the usual time. */
const newestWeight = 0.2;
/** A server whose calls failed is tried again after this long, in milliseconds. */
const failureMemoryMs = 3000;
/** A server that could not be reached, or is not the listed one, gets no calls for this long at first, in milliseconds. */
const suspectMs = 1000;
/** Longest such time, in milliseconds; the list drops a lost server after some seconds. */
const maxSuspectMs = 5000;

type Record = {
	inFlight: number;
	told: ServerLoad['reportedLoad'];
	failing: number;
	failedAt: number;
	usualMs: number | undefined;
	unreachableUntil: number;
	/** Failures to reach it in a row. */
	misses: number;
};

/** How a call to a server went, as far as it tells of the server. */
export type CallResult = 'good' | 'failed' | 'unreachable' | 'misplaced' | 'none';

/** Holds the newest list and the records of own calls. */
export class FleetView {
	readonly #records = new Map<BackendId, Record>();
	#servers: readonly ListedServer[] = [];
	#byService = new Map<ServiceName, readonly ListedServer[]>();
	#isInformed = false;

	constructor(private readonly clock: Clock) {}

	/** Whether a list was read at all. */
	get hasList(): boolean {
		return this.#isInformed;
	}

	get servers(): readonly ListedServer[] {
		return this.#servers;
	}

	/** Replaces the list. */
	replace(servers: readonly ListedServer[]): void {
		this.#isInformed = true;
		const before = new Map(this.#servers.map(server => [server.id, server]));
		const byService = new Map<ServiceName, ListedServer[]>();
		for (const server of servers) {
			const known = before.get(server.id);
			if (known?.leaving !== server.leaving || known.role !== server.role) {
				log('A server is listed.', {
					server: server.id, address: server.address, service: server.service, leaving: server.leaving, role: server.role,
				});
			}

			before.delete(server.id);
			const list = byService.get(server.service) ?? [];
			list.push(server);
			byService.set(server.service, list);
		}

		for (const id of before.keys()) {
			log('A server is no longer listed.', {server: id});
			this.#records.delete(id);
		}

		this.#servers = servers;
		this.#byService = byService;
	}

	/** The servers of a service that may get new work. */
	usable(service: ServiceName): readonly ListedServer[] {
		return (this.#byService.get(service) ?? []).filter(({leaving}) => !leaving);
	}

	get(id: BackendId): ListedServer | undefined {
		return this.#servers.find(server => server.id === id);
	}

	/** Whether a server could not be reached a moment ago. */
	isUnreachable(id: BackendId): boolean {
		return (this.#records.get(id)?.unreachableUntil ?? 0) > this.clock.now();
	}

	/** What is known of a service's usable servers. */
	loads(service: ServiceName): readonly ServerLoad[] {
		const servers = this.usable(service);
		const reachable = servers.filter(({id}) => !this.isUnreachable(id));
		return (reachable.length > 0 ? reachable : servers).map(server => this.#load(server));
	}

	/** Counts a call as in progress; returns what ends it. */
	begin(id: BackendId): (result: CallResult, load?: number) => void {
		const record = this.#record(id);
		const startedAt = this.clock.now();
		record.inFlight += 1;
		let isOpen = true;
		return (result, load) => {
			if (!isOpen) {
				return;
			}

			isOpen = false;
			record.inFlight -= 1;
			this.#note(id, record, result, startedAt);
			if (load !== undefined) {
				record.told = {requests: load, at: this.clock.now()};
			}
		};
	}

	#note(id: BackendId, record: Record, result: CallResult, startedAt: number): void {
		const now = this.clock.now();
		if (result === 'none') {
			return;
		}

		const isMiss = result === 'unreachable' || result === 'misplaced';
		const wasFailing = record.failing > 0.5;
		record.failing += newestWeight * ((result === 'good' ? 0 : 1) - record.failing);
		if (result === 'good') {
			record.usualMs = record.usualMs === undefined ? now - startedAt : record.usualMs + (newestWeight * (now - startedAt - record.usualMs));
		} else {
			record.failedAt = now;
		}

		if (isMiss) {
			record.unreachableUntil = now + Math.min(maxSuspectMs, suspectMs * (2 ** record.misses));
			record.misses += 1;
		} else if (result === 'good') {
			record.misses = 0;
		}

		if (isMiss || (record.failing > 0.5) !== wasFailing) {
			log('A server is judged anew.', {
				server: id, result, failing: Number(record.failing.toFixed(2)), usualMs: record.usualMs === undefined ? undefined : Math.round(record.usualMs),
			});
		}
	}

	#load(server: ListedServer): ServerLoad {
		const record = this.#record(server.id);
		const age = this.clock.now() - record.failedAt;
		return {
			id: server.id,
			dataCentre: server.dataCentre,
			slots: server.slots,
			inFlight: record.inFlight,
			reportedLoad: record.told,
			failing: record.failing * Math.exp(-age / failureMemoryMs),
			usualMs: record.usualMs,
		};
	}

	#record(id: BackendId): Record {
		let record = this.#records.get(id);
		if (record === undefined) {
			record = {
				inFlight: 0, told: undefined, failing: 0, failedAt: Number.NEGATIVE_INFINITY, usualMs: undefined, unreachableUntil: 0, misses: 0,
			};
			this.#records.set(id, record);
		}

		return record;
	}
}
