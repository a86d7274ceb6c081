/** Watches control instances for the routing configuration, the server list, the members and the leader, by long polling. */
import {setTimeout as sleep} from 'node:timers/promises';
import {CONTROL_WATCH, digestServerList} from '@baobabpier/core';
import type {
	Clock, DataCentreId, InstanceId, ListedServer, RelayPartner, RoutingDocument, RoutingVersion, RateLimitsSnapshot, WatchParams, WatchResponse,
} from '@baobabpier/core';
import {createLog} from '../log.js';
import type {Peers} from '../rpc/peers.js';

const log = createLog('watch');
/** Maximum time that a control instance delays its response to a watch request until a change, in milliseconds. */
const watchTimeoutMs = 1000;
/** Response time allowed beyond that, in milliseconds. */
const responseGraceMs = 500;
/** Retry delay after a failed watch request, in milliseconds; also the interval at which sources are selected. */
const retryDelayMs = 200;
/** Minimum delay between two watch requests to one source, in milliseconds. */
const minPollDelayMs = 30;
/** Time that the content source has to deliver a new version before it is requested from the source that announced it, in milliseconds. */
const contentGraceMs = 150;
/** Age above which a server list counts as stale and is read directly from the platform, in milliseconds. */
const maxListAgeMs = 2000;
/** Number of control instances that are watched at a time: one in the same data centre, the leader and one more. */
const maxSources = 3;
/** Time for which a newly selected source is kept without a response, in milliseconds: a longer round trip than between any two data centres, and the confirmation of a read. */
const trialMs = 600;
/** Time for which the largest number of entry instances that a control instance reported is kept, in milliseconds: each one knows only those that poll it. */
const entryCountHoldMs = 5000;
/** Maximum number of control instances that are tried because one without contact to a majority named them. */
const maxReferrals = 64;
/** A source whose last response is not older than this counts as healthy, in milliseconds. */
const healthyAgeMs = watchTimeoutMs + responseGraceMs + retryDelayMs;

/** Dependencies of a control watch. */
export type ControlWatchParts = {
	readonly self: InstanceId;
	readonly dataCentre: DataCentreId;
	/** Control instances from the settings, which may change. */
	readonly seeds: () => readonly InstanceId[];
	readonly peers: Peers;
	readonly clock: Clock;
	readonly onRouting: (document: RoutingDocument) => boolean;
	readonly onList: (servers: readonly ListedServer[]) => void;
	/** Versions of the quarantine, the suspects and the servers' limits that are applied. */
	readonly versions: () => Pick<WatchParams, 'limitsVersion' | 'quarantineRevision' | 'suspectsVersion'>;
	readonly onQuarantine: (response: Pick<WatchResponse, 'quarantine' | 'suspects'>) => void;
	readonly onLimits: (limits: RateLimitsSnapshot) => void;
	/** Where this instance takes relayed calls, and whether it does now. */
	readonly relay: () => WatchParams['relay'];
	/** Called after the leader of the control log changed. */
	readonly onLeader: () => void;
};

type Source = {
	readonly id: InstanceId;
	readonly selectedAt: number;
	isStopped: boolean;
	respondedAt: number;
	response: WatchResponse | undefined;
	/** Digest of the source's list while it is older than the list in force; the source need not send it again. */
	olderListDigest: string | undefined;
};

/** Keeps long-poll requests open at a few control instances. */
export class ControlWatch {
	readonly #sources = new Map<InstanceId, Source>();
	/** Control instances that one in contact with a majority named. */
	#controls: readonly InstanceId[] = [];
	/** Control instances that one without that contact named: only addresses to try. */
	readonly #referrals = new Set<InstanceId>();
	#version: RoutingVersion | undefined;
	/** Newest version that could not be put in force; the sources need not send it again. */
	#rejectedVersion: RoutingVersion | undefined;
	#listDigest: string | undefined;
	/** The newest whole list. */
	#list: readonly ListedServer[] | undefined;
	/** When a reading that is not whole was last merged into the list in force; undefined while that is the newest whole list. */
	#mergedAt: number | undefined;
	#listReadAt = Number.NEGATIVE_INFINITY;
	#leader: InstanceId | undefined;
	#entryCount = {value: 1, at: Number.NEGATIVE_INFINITY};
	#isStopped = false;
	#rotation = 0;
	#timer: NodeJS.Timeout | undefined;
	#isFetching = false;

	constructor(private readonly parts: ControlWatchParts) {}

	/** Version of the routing configuration in force; undefined before the first. */
	get version(): RoutingVersion | undefined {
		return this.#version;
	}

	/** Newest version that is in force or was rejected. */
	get #knownVersion(): RoutingVersion | undefined {
		return this.#rejectedVersion !== undefined && (this.#version === undefined || this.#rejectedVersion > this.#version) ? this.#rejectedVersion : this.#version;
	}

	/** Leader of the control log; undefined while none is known. */
	get leader(): InstanceId | undefined {
		return this.#leader;
	}

	/** The control instances that are known: those of one in contact with a majority, or the seeds before the first. */
	get controls(): readonly InstanceId[] {
		return this.#controls.length > 0 ? this.#controls : this.parts.seeds();
	}

	/** Entry instances that may serve for this one, as the sources name them. */
	get partners(): readonly RelayPartner[] {
		const named = [...this.#sources.values()].flatMap(({response}) => response?.partners ?? []);
		return [...new Map(named.map(partner => [partner.id, partner])).values()].filter(({id}) => id !== this.parts.self);
	}

	/** Largest number of entry instances that a control instance reported lately; at least 1. */
	get entryInstanceCount(): number {
		return this.#entryCount.value;
	}

	/** Age of the server list in force, in milliseconds; infinite before the first. */
	get listAgeMs(): number {
		return this.parts.clock.now() - this.#listReadAt;
	}

	start(): void {
		this.#updateSources();
		this.#timer = setInterval(() => {
			this.#updateSources();
		}, retryDelayMs);
	}

	stop(): void {
		this.#isStopped = true;
		clearInterval(this.#timer);
		for (const source of this.#sources.values()) {
			source.isStopped = true;
		}
	}

	/** Records a whole server list that was read directly from the platform. */
	recordList(servers: readonly ListedServer[]): void {
		this.#setList(servers, digestServerList(servers), this.parts.clock.now());
	}

	/** Records that the list in force has servers of a reading that is not whole. */
	recordMergedList(): void {
		this.#mergedAt = this.parts.clock.now();
	}

	/** Starts watching newly selected control instances and stops watching those that are no longer selected. */
	#updateSources(): void {
		const selected = this.#selectSources();
		for (const [id, source] of this.#sources) {
			if (!selected.includes(id)) {
				source.isStopped = true;
				this.#sources.delete(id);
			}
		}

		for (const id of selected) {
			if (!this.#sources.has(id)) {
				const now = this.parts.clock.now();
				const source: Source = {
					id, selectedAt: now, isStopped: false, respondedAt: now, response: undefined, olderListDigest: undefined,
				};
				this.#sources.set(id, source);
				void this.#pollSource(source);
			}
		}
	}

	/**
	 * Selects the leader and healthy sources in contact with a majority, and fills up with other control instances in rotation.
	 * The seeds may all have lost that contact; while no source has it, one of them is kept and the others make room.
	 */
	#selectSources(): readonly InstanceId[] {
		const healthy = [...this.#sources.values()].filter(source => this.#isHealthy(source));
		const withQuorum = healthy.filter(({response}) => response!.hearsQuorum);
		const candidates = withQuorum.length > 0 ? withQuorum : healthy.slice(0, 1);
		const all = [...new Set([...this.#controls, ...this.parts.seeds(), ...(withQuorum.length > 0 ? [] : this.#referrals)])];
		if (all.length <= maxSources) {
			return all;
		}

		const now = this.parts.clock.now();
		const local = candidates.find(({response}) => response!.dataCentre === this.parts.dataCentre);
		const leader = this.#leader === undefined ? [] : [this.#leader];
		const onTrial = [...this.#sources.values()].filter(({response, selectedAt}) => response === undefined && now - selectedAt <= trialMs);
		const kept = [...new Set([...leader, ...(local === undefined ? [] : [local.id]), ...[...candidates, ...onTrial].map(({id}) => id)])].filter(id => all.includes(id)).slice(0, maxSources);
		const others = all.filter(id => !kept.includes(id));
		const missing = maxSources - kept.length;
		if (missing > 0) {
			this.#rotation += 1;
		}

		return [...kept, ...Array.from({length: Math.min(missing, others.length)}, (_, index) => others[(this.#rotation + index) % others.length]!)];
	}

	#isHealthy(source: Source): boolean {
		return source.response !== undefined && this.parts.clock.now() - source.respondedAt <= healthyAgeMs;
	}

	/**
	 * Selects the source that sends content. Prefers sources in contact with a majority of the control instances,
	 * and among them one in the same data centre.
	 */
	#selectContentSource(): InstanceId | undefined {
		const healthy = [...this.#sources.values()].filter(source => this.#isHealthy(source));
		const withQuorum = healthy.filter(({response}) => response!.hearsQuorum);
		const candidates = (withQuorum.length > 0 ? withQuorum : healthy).toSorted((a, b) => a.id < b.id ? -1 : 1);
		return (candidates.find(({response}) => response!.dataCentre === this.parts.dataCentre) ?? candidates[0])?.id;
	}

	async #pollSource(source: Source): Promise<void> {
		while (!this.#isStopped && !source.isStopped) {
			const contentSource = this.#selectContentSource();
			// eslint-disable-next-line no-await-in-loop
			const isSuccessful = await this.#poll(source, contentSource === undefined || contentSource === source.id, source.response === undefined ? 0 : watchTimeoutMs);
			// Without the delay, a change that this instance does not take would cause a busy loop
			// eslint-disable-next-line no-await-in-loop
			await sleep(isSuccessful ? minPollDelayMs : retryDelayMs);
		}
	}

	async #poll(source: Source, withContent: boolean, pollTimeoutMs: number): Promise<boolean> {
		const {self, peers, clock} = this.parts;
		try {
			const response = await peers.get(source.id).call(CONTROL_WATCH, {
				instance: self, routingVersion: this.#knownVersion, listDigest: source.olderListDigest ?? this.#listDigest, leader: this.#leader, waitMs: pollTimeoutMs, withContent, confirmed: this.#version === undefined, knowsTeams: true, relay: this.parts.relay(), ...this.parts.versions(),
			}, pollTimeoutMs + responseGraceMs + (this.#version === undefined ? watchTimeoutMs : 0));
			if (!this.#isHealthy(source)) {
				log('A control instance answers.', {
					control: source.id, hearsQuorum: response.hearsQuorum, version: response.routingVersion, leader: response.leader,
				});
			}

			source.respondedAt = clock.now();
			source.response = response;
			this.#applyResponse(source, response, withContent);
			return true;
		} catch (error) {
			if (source.response !== undefined) {
				log('A control instance does not answer.', {control: source.id, detail: (error as Error).message});
			}

			source.response = undefined;
			return false;
		}
	}

	#applyResponse(source: Source, response: WatchResponse, withContent: boolean): void {
		if (response.hearsQuorum) {
			this.#controls = response.controls;
			this.#referrals.clear();
			this.#recordEntryCount(response.entries);
			if (response.leader !== this.#leader && response.leader !== undefined) {
				log('The control log has another leader.', {leader: response.leader, before: this.#leader, source: source.id});
				this.#leader = response.leader;
				this.parts.onLeader();
			}
		} else {
			for (const control of response.controls.slice(0, maxReferrals - this.#referrals.size)) {
				this.#referrals.add(control);
			}
		}

		// Before the first routing configuration, so that no call is served without the quarantine
		this.parts.onQuarantine({quarantine: response.quarantine, suspects: source.id === this.#leader ? response.suspects : undefined});
		if (source.id === this.#leader && response.limits !== undefined) {
			this.parts.onLimits(response.limits);
		}

		this.#applyRouting(source, response, withContent);
		this.#applyList(source, response);
	}

	/** Budgets and connections are divided by this number, so one that is too low would let all instances together use too many. */
	#recordEntryCount(count: number): void {
		const now = this.parts.clock.now();
		if (count >= this.#entryCount.value || now - this.#entryCount.at > entryCountHoldMs) {
			this.#entryCount = {value: Math.max(1, count), at: now};
		}
	}

	#applyRouting(source: Source, response: WatchResponse, withContent: boolean): void {
		const {routing, routingVersion} = response;
		const known = this.#knownVersion;
		const isNewer = routingVersion !== undefined && (known === undefined || routingVersion > known);
		if (!isNewer) {
			return;
		}

		if (routing !== undefined && (this.#version !== undefined || response.confirmed)) {
			if (this.parts.onRouting(routing)) {
				log('A routing configuration is in force.', {
					version: routing.version, before: this.#version, source: source.id, confirmed: response.confirmed,
				});
				this.#version = routing.version;
			} else {
				this.#rejectedVersion = routing.version;
			}

			return;
		}

		if (!withContent && this.#version !== undefined && !this.#isFetching) {
			this.#isFetching = true;
			void this.#fetchAfterGrace(source, routingVersion);
		}
	}

	/** Fetches a version from the source that announced it, unless another source delivers it first. */
	async #fetchAfterGrace(source: Source, version: RoutingVersion): Promise<void> {
		await sleep(contentGraceMs);
		if (this.#knownVersion !== undefined && this.#knownVersion < version) {
			await this.#poll(source, true, 0);
		}

		this.#isFetching = false;
	}

	#applyList(source: Source, {list, listDigest, listAgeMs}: WatchResponse): void {
		source.olderListDigest = undefined;
		if (listDigest === undefined || listAgeMs === undefined) {
			return;
		}

		const readAt = this.parts.clock.now() - listAgeMs;
		if (list !== undefined && readAt > this.#listReadAt) {
			this.#setList(list, listDigest, readAt);
			this.parts.onList(list);
		} else if (listDigest === this.#listDigest) {
			this.#listReadAt = Math.max(this.#listReadAt, readAt);
			if (this.#list !== undefined && this.#mergedAt !== undefined && readAt > this.#mergedAt) {
				this.#mergedAt = undefined;
				this.parts.onList(this.#list);
			}
		} else if (readAt <= this.#listReadAt) {
			source.olderListDigest = listDigest;
		}
	}

	#setList(servers: readonly ListedServer[], digest: string, readAt: number): void {
		this.#list = servers;
		this.#listDigest = digest;
		this.#listReadAt = readAt;
		this.#mergedAt = undefined;
	}
}

/** Whether a server list is so old that it should be read directly from the platform. */
export const isListStale = (ageMs: number): boolean => ageMs > maxListAgeMs;
