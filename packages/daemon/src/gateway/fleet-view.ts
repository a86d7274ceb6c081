/** The servers that this instance may call, with statistics of its own calls to them. */
import {softwareVersionOf, withResponse, withUnfinished} from '@baobabpier/core';
import type {
	BackendId, Clock, EngineRole, Instant, ListedServer, RequestId, ServerLoad, ServiceName, SoftwareVersion,
} from '@baobabpier/core';
import {createLog} from '../log.js';
import type {AvailabilityGate} from './availability-gate.js';
import type {ResponseHead} from './types.js';

const log = createLog('fleet');
/** Weight of the newest call in the moving average of the failure rate. */
const ewmaWeight = 0.2;
/** Time constant with which the failure rate of a server decays after its last failure, in milliseconds, so that it is tried again. */
const failureDecayMs = 3000;
/** Initial backoff during which a server that is unreachable, or is not the listed one, gets no calls, in milliseconds. */
const initialBackoffMs = 1000;
/** Maximum backoff, in milliseconds; the list drops a lost server after some seconds. */
const maxBackoffMs = 5000;

/** Time for which a software version is remembered after its last engine left the list, in milliseconds: longer than a stream can go on. */
const versionMemoryMs = 60_000;

/** Statistics of the calls to one server. */
type ServerStats = {
	inFlight: number;
	reportedLoad: ServerLoad['reportedLoad'];
	slowdown: ServerLoad['slowdown'];
	failing: number;
	lastFailureAt: number;
	responseTime: ServerLoad['responseTime'];
	unreachableUntil: number;
	/** Consecutive failures to reach the server. */
	consecutiveMisses: number;
};

/** Result of a call as evidence of the server's health; `slow` is a call that another server answered first, and `none` is no evidence. */
export type CallResult = 'good' | 'failed' | 'slow' | 'unreachable' | 'misplaced' | 'none';

/** What a server says of its load in a response. */
export type ServerReport = Pick<ResponseHead, 'slowdown'> & {readonly load?: number | undefined};

/** Whether servers take work, by what they say of themselves. */
export type AvailabilityView = Pick<AvailabilityGate, 'availableInMs' | 'isAvailable' | 'retain'>;

const alwaysAvailable: AvailabilityView = {
	isAvailable: () => true,
	availableInMs: () => 0,
	retain() {
		// Nothing is remembered
	},
};

/** The result that a request which was not sent means for its server. */
export const resultOfUnsent = ({isUnreachable = false, isHeldBack = false}: {readonly isUnreachable?: boolean; readonly isHeldBack?: boolean}): CallResult => {
	if (isUnreachable) {
		return 'unreachable';
	}

	// A server whose connections are all in use for too long is slow
	return isHeldBack ? 'none' : 'failed';
};

/** Settings and listeners of a fleet view. */
export type FleetViewOptions = {
	/** Whether no engine can have served before this instance started. */
	readonly isFirstStart?: boolean;
	/** Whether the list is not older than a few seconds. */
	readonly isListFresh?: () => boolean;
	/** Called when no connection to a server could be opened. */
	readonly onUnreachable?: (id: BackendId) => void;
};

/** Holds the newest server list and the statistics of this instance's own calls. */
export class FleetView {
	readonly #statsById = new Map<BackendId, ServerStats>();
	#servers: readonly ListedServer[] = [];
	#byService = new Map<ServiceName, readonly ListedServer[]>();
	#hasList = false;

	readonly #formerVersions = new Map<ServiceName, Map<SoftwareVersion, Instant>>();
	#listedSince = Number.POSITIVE_INFINITY;

	constructor(private readonly clock: Clock, private readonly availability: AvailabilityView = alwaysAvailable, private readonly options: FleetViewOptions = {}) {}

	/** Whether a list has been read since the start. */
	get hasList(): boolean {
		return this.#hasList;
	}

	get servers(): readonly ListedServer[] {
		return this.#servers;
	}

	/** Replaces the list. */
	replace(servers: readonly ListedServer[]): void {
		this.#hasList = true;
		this.#recordVersions(servers);
		const missing = new Map(this.#servers.map(server => [server.id, server]));
		const byService = new Map<ServiceName, ListedServer[]>();
		for (const server of servers) {
			const previous = missing.get(server.id);
			if (previous?.leaving !== server.leaving || previous.role !== server.role || previous.softwareVersion !== server.softwareVersion) {
				log('A server is listed.', {
					server: server.id, address: server.address, service: server.service, leaving: server.leaving, role: server.role, softwareVersion: server.softwareVersion,
				});
			}

			missing.delete(server.id);
			const list = byService.get(server.service) ?? [];
			list.push(server);
			byService.set(server.service, list);
		}

		for (const id of missing.keys()) {
			log('A server is no longer listed.', {server: id});
			this.#statsById.delete(id);
		}

		this.#servers = servers;
		this.#byService = byService;
		this.availability.retain(new Set(servers.map(({id}) => id)));
	}

	/**
	 * The one software version of a service's engines, as long as no other one was listed for so long that no stream of it can go on;
	 * undefined otherwise, and while the list is too old or too short a time known to tell.
	 */
	soleVersion(service: ServiceName): SoftwareVersion | undefined {
		const now = this.clock.now();
		if (now - this.#listedSince < versionMemoryMs || this.options.isListFresh?.() === false) {
			return undefined;
		}

		const former = [...this.#formerVersions.get(service) ?? []].filter(([, goneAt]) => now - goneAt < versionMemoryMs).map(([version]) => version);
		const versions = new Set([...this.#versionsOf(service), ...former]);
		return versions.size === 1 ? [...versions][0] : undefined;
	}

	/** The servers of a service that may get new work. */
	usable(service: ServiceName, isUrgent = true): readonly ListedServer[] {
		return (this.#byService.get(service) ?? []).filter(server => this.#isUsable(server, isUrgent));
	}

	/** The entry of a server that may get new work; undefined when it is not listed, leaves, asked for time or has used up its limit. */
	findUsable(id: BackendId): ListedServer | undefined {
		const server = this.get(id);
		return server !== undefined && this.#isUsable(server) ? server : undefined;
	}

	/**
	 * Time until a server of a service gets new work, in milliseconds, where all those listed, of one role if given, say that they leave,
	 * ask for time or have used up their limit; 0 otherwise.
	 */
	unavailableForMs(service: ServiceName, role?: EngineRole, isUrgent = true): number {
		const servers = (this.#byService.get(service) ?? []).filter(server => !server.leaving && (role === undefined || server.role === role));
		return servers.length === 0 ? 0 : this.availability.availableInMs(servers.map(({id}) => id), isUrgent);
	}

	get(id: BackendId): ListedServer | undefined {
		return this.#servers.find(server => server.id === id);
	}

	/** Whether a server was unreachable and its backoff has not passed. */
	isUnreachable(id: BackendId): boolean {
		return (this.#statsById.get(id)?.unreachableUntil ?? 0) > this.clock.now();
	}

	/** Loads of a service's usable servers: the reachable ones, or all when none is reachable. */
	loads(service: ServiceName, isUrgent = true): readonly ServerLoad[] {
		const servers = this.usable(service, isUrgent);
		const reachable = servers.filter(({id}) => !this.isUnreachable(id));
		return (reachable.length > 0 ? reachable : servers).map(server => this.#loadOf(server));
	}

	/** Counts a call as in progress; returns a function that records its end. */
	begin(id: BackendId): (result: CallResult, report?: ServerReport) => void {
		const stats = this.#statsOf(id);
		const startedAt = this.clock.now();
		stats.inFlight += 1;
		let isInProgress = true;
		return (result, {load, slowdown} = {}) => {
			if (!isInProgress) {
				return;
			}

			isInProgress = false;
			stats.inFlight -= 1;
			this.#recordResult(id, stats, result, startedAt);
			if (load !== undefined) {
				stats.reportedLoad = {requests: load, at: this.clock.now()};
			}

			if (slowdown !== undefined) {
				stats.slowdown = {factor: slowdown, at: this.clock.now()};
			}
		};
	}

	/** Logs that a call finds every server of its service leaving or asking for time, if that is so. */
	logUnavailable(requestId: RequestId, service: ServiceName, role?: EngineRole, isUrgent = true): void {
		const availableInMs = this.unavailableForMs(service, role, isUrgent);
		if (availableInMs > 0) {
			log('Every server of a service leaves, asks for time or has used up its limit.', {requestId, service, availableInMs: Math.round(availableInMs)});
		}
	}

	#versionsOf(service: ServiceName): ReadonlySet<SoftwareVersion> {
		return new Set((this.#byService.get(service) ?? []).filter(({role}) => role !== undefined).map(server => softwareVersionOf(server)));
	}

	/** Remembers which versions were listed until now. */
	#recordVersions(servers: readonly ListedServer[]): void {
		const now = this.clock.now();
		this.#listedSince = Math.min(this.#listedSince, this.options.isFirstStart === true ? Number.NEGATIVE_INFINITY : now);
		for (const service of new Set([...this.#byService.keys(), ...servers.map(server => server.service)])) {
			const former = this.#formerVersions.get(service) ?? new Map<SoftwareVersion, Instant>();
			for (const version of this.#versionsOf(service)) {
				former.set(version, now);
			}

			for (const [version, goneAt] of former) {
				if (now - goneAt >= versionMemoryMs) {
					former.delete(version);
				}
			}

			this.#formerVersions.set(service, former);
		}
	}

	#isUsable({id, leaving}: ListedServer, isUrgent = true): boolean {
		return !leaving && this.availability.isAvailable(id, isUrgent);
	}

	#recordResult(id: BackendId, stats: ServerStats, result: CallResult, startedAt: number): void {
		const now = this.clock.now();
		if (result === 'none') {
			return;
		}

		if (result === 'slow') {
			stats.responseTime = withUnfinished(stats.responseTime, now - startedAt, now);
			return;
		}

		if (result === 'unreachable') {
			this.options.onUnreachable?.(id);
		}

		const isMiss = result === 'unreachable' || result === 'misplaced';
		const wasFailing = stats.failing > 0.5;
		stats.failing += ewmaWeight * ((result === 'good' ? 0 : 1) - stats.failing);
		if (result === 'good') {
			stats.responseTime = withResponse(stats.responseTime, now - startedAt, now);
		} else {
			stats.lastFailureAt = now;
		}

		if (isMiss) {
			stats.unreachableUntil = now + Math.min(maxBackoffMs, initialBackoffMs * (2 ** stats.consecutiveMisses));
			stats.consecutiveMisses += 1;
		} else if (result === 'good') {
			stats.consecutiveMisses = 0;
		}

		if (isMiss || (stats.failing > 0.5) !== wasFailing) {
			log('A server is judged anew.', {
				server: id, result, failing: Number(stats.failing.toFixed(2)), meanMs: stats.responseTime === undefined ? undefined : Math.round(stats.responseTime.meanMs),
			});
		}
	}

	#loadOf(server: ListedServer): ServerLoad {
		const stats = this.#statsOf(server.id);
		const age = this.clock.now() - stats.lastFailureAt;
		return {
			id: server.id,
			dataCentre: server.dataCentre,
			slots: server.slots,
			inFlight: stats.inFlight,
			reportedLoad: stats.reportedLoad,
			slowdown: stats.slowdown,
			failing: stats.failing * Math.exp(-age / failureDecayMs),
			responseTime: stats.responseTime,
		};
	}

	#statsOf(id: BackendId): ServerStats {
		let stats = this.#statsById.get(id);
		if (stats === undefined) {
			stats = {
				inFlight: 0, reportedLoad: undefined, slowdown: undefined, failing: 0, lastFailureAt: Number.NEGATIVE_INFINITY, responseTime: undefined, unreachableUntil: 0, consecutiveMisses: 0,
			};
			this.#statsById.set(id, stats);
		}

		return stats;
	}
}
