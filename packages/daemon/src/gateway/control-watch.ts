/** Follows the control instances: routing configuration, list of servers, members and leader. */
import {setTimeout as sleep} from 'node:timers/promises';
import {CONTROL_WATCH} from '@baobabpier/core';
import type {
	Clock, DataCentreId, InstanceId, ListedServer, RoutingDocument, RoutingVersion, WatchResponse,
} from '@baobabpier/core';
import {createLog} from '../log.js';
import type {Peers} from '../rpc/peers.js';

const log = createLog('watch');
/** How long a control instance waits for news before it answers, in milliseconds. */
const waitMs = 1000;
/** How long an answer may take beyond that, in milliseconds. */
const graceMs = 500;
/** Pause after a call without an answer, in milliseconds. */
const retryMs = 200;
/** Pause between two calls at one source, in milliseconds. */
const paceMs = 30;
/** How long news are left to the source that sends content, in milliseconds. */
const contentGraceMs = 150;
/** A list older than this is taken from any source, in milliseconds. */
const staleListMs = 2000;
/** Control instances that are followed at a time: one near by, the leader, and one more. */
const followed = 3;
/** A source that answered within this time counts as good, in milliseconds. */
const goodMs = waitMs + graceMs + retryMs;

/** What a watch works with. */
export type ControlWatchParts = {
	readonly self: InstanceId;
	readonly dataCentre: DataCentreId;
	/** Control instances by the settings, which may change. */
	readonly seeds: () => readonly InstanceId[];
	readonly peers: Peers;
	readonly clock: Clock;
	readonly onRouting: (document: RoutingDocument) => boolean;
	readonly onList: (servers: readonly ListedServer[]) => void;
	/** Called after the control log got another leader. */
	readonly onLeader: () => void;
};

type Source = {
	readonly id: InstanceId;
	isStopped: boolean;
	answeredAt: number;
	answer: WatchResponse | undefined;
};

/** Keeps a few long calls open at control instances. */
export class ControlWatch {
	readonly #sources = new Map<InstanceId, Source>();
	#known: readonly InstanceId[] = [];
	#version: RoutingVersion | undefined;
	#listDigest: string | undefined;
	#listAt = Number.NEGATIVE_INFINITY;
	#leader: InstanceId | undefined;
	#entries = 1;
	#isStopped = false;
	#turn = 0;
	#timer: NodeJS.Timeout | undefined;
	#isFetching = false;

	constructor(private readonly parts: ControlWatchParts) {}

	/** The version of the routing configuration in force; undefined before the first. */
	get version(): RoutingVersion | undefined {
		return this.#version;
	}

	/** Leader of the control log; undefined while none is known. */
	get leader(): InstanceId | undefined {
		return this.#leader;
	}

	/** Entry instances, as the control instances count them. */
	get entryInstanceCount(): number {
		return this.#entries;
	}

	/** Age of the list in force, in milliseconds; infinite before the first. */
	get listAgeMs(): number {
		return this.parts.clock.now() - this.#listAt;
	}

	start(): void {
		this.#choose();
		this.#timer = setInterval(() => {
			this.#choose();
		}, retryMs);
	}

	stop(): void {
		this.#isStopped = true;
		clearInterval(this.#timer);
		for (const source of this.#sources.values()) {
			source.isStopped = true;
		}
	}

	/** Notes a list that came from elsewhere. */
	recordList(digest: string): void {
		this.#listDigest = digest;
		this.#listAt = this.parts.clock.now();
	}

	/** Opens calls at the instances to follow, and leaves those that others replaced. */
	#choose(): void {
		const wanted = this.#wanted();
		for (const [id, source] of this.#sources) {
			if (!wanted.includes(id)) {
				source.isStopped = true;
				this.#sources.delete(id);
			}
		}

		for (const id of wanted) {
			if (!this.#sources.has(id)) {
				const source: Source = {
					id, isStopped: false, answeredAt: this.parts.clock.now(), answer: undefined,
				};
				this.#sources.set(id, source);
				void this.#follow(source);
			}
		}
	}

	/** The leader, the good sources, and others in turn for those that do not answer. */
	#wanted(): readonly InstanceId[] {
		const all = [...new Set([...this.#known, ...this.parts.seeds()])];
		if (all.length <= followed) {
			return all;
		}

		const good = [...this.#sources.values()].filter(source => this.#isGood(source));
		const near = good.find(({answer}) => answer?.dataCentre === this.parts.dataCentre);
		const leader = this.#leader !== undefined && all.includes(this.#leader) ? [this.#leader] : [];
		const kept = [...new Set([...leader, ...(near === undefined ? [] : [near.id]), ...good.map(({id}) => id)])].filter(id => all.includes(id)).slice(0, followed);
		const others = all.filter(id => !kept.includes(id));
		const missing = followed - kept.length;
		if (missing > 0) {
			this.#turn += 1;
		}

		return [...kept, ...Array.from({length: Math.min(missing, others.length)}, (_, index) => others[(this.#turn + index) % others.length]!)];
	}

	#isGood(source: Source): boolean {
		return source.answer !== undefined && this.parts.clock.now() - source.answeredAt <= goodMs;
	}

	/** The source that sends content: near by if it hears a majority, else any that does. */
	#contentSource(): InstanceId | undefined {
		const good = [...this.#sources.values()].filter(source => this.#isGood(source));
		const hearing = good.filter(({answer}) => answer!.hearsQuorum);
		const candidates = (hearing.length > 0 ? hearing : good).toSorted((a, b) => a.id < b.id ? -1 : 1);
		return (candidates.find(({answer}) => answer!.dataCentre === this.parts.dataCentre) ?? candidates[0])?.id;
	}

	async #follow(source: Source): Promise<void> {
		while (!this.#isStopped && !source.isStopped) {
			const contentSource = this.#contentSource();
			// eslint-disable-next-line no-await-in-loop
			const isAnswered = await this.#ask(source, contentSource === undefined || contentSource === source.id, source.answer === undefined ? 0 : waitMs);
			// News that can't be taken yet must not turn into a busy loop
			// eslint-disable-next-line no-await-in-loop
			await sleep(isAnswered ? paceMs : retryMs);
		}
	}

	async #ask(source: Source, withContent: boolean, wait: number): Promise<boolean> {
		const {self, peers, clock} = this.parts;
		try {
			const answer = await peers.get(source.id).call(CONTROL_WATCH, {
				instance: self, routingVersion: this.#version, listDigest: this.#listDigest, leader: this.#leader, waitMs: wait, withContent, confirmed: this.#version === undefined,
			}, wait + graceMs + (this.#version === undefined ? waitMs : 0));
			if (!this.#isGood(source)) {
				log('A control instance answers.', {
					control: source.id, hearsQuorum: answer.hearsQuorum, version: answer.routingVersion, leader: answer.leader,
				});
			}

			source.answeredAt = clock.now();
			source.answer = answer;
			this.#take(source, answer, withContent);
			return true;
		} catch (error) {
			if (source.answer !== undefined) {
				log('A control instance does not answer.', {control: source.id, detail: (error as Error).message});
			}

			source.answer = undefined;
			return false;
		}
	}

	#take(source: Source, answer: WatchResponse, withContent: boolean): void {
		if (answer.hearsQuorum) {
			this.#known = answer.controls;
			this.#entries = Math.max(1, answer.entries);
			if (answer.leader !== this.#leader && answer.leader !== undefined) {
				log('The control log has another leader.', {leader: answer.leader, before: this.#leader, source: source.id});
				this.#leader = answer.leader;
				this.parts.onLeader();
			}
		}

		this.#takeRouting(source, answer, withContent);
		this.#takeList(answer);
	}

	#takeRouting(source: Source, answer: WatchResponse, withContent: boolean): void {
		const {routing, routingVersion} = answer;
		const isNewer = routingVersion !== undefined && (this.#version === undefined || routingVersion > this.#version);
		if (!isNewer) {
			return;
		}

		if (routing !== undefined && (this.#version !== undefined || answer.confirmed)) {
			if (this.parts.onRouting(routing)) {
				log('A routing configuration is in force.', {
					version: routing.version, before: this.#version, source: source.id, confirmed: answer.confirmed,
				});
				this.#version = routing.version;
			}

			return;
		}

		if (!withContent && this.#version !== undefined && !this.#isFetching) {
			this.#isFetching = true;
			void this.#fetchLater(source, routingVersion);
		}
	}

	/** Fetches a version from the source that told of it, unless it came from elsewhere in the meantime. */
	async #fetchLater(source: Source, version: RoutingVersion): Promise<void> {
		await sleep(contentGraceMs);
		if (this.#version !== undefined && this.#version < version) {
			await this.#ask(source, true, 0);
		}

		this.#isFetching = false;
	}

	#takeList({list, listDigest, listAgeMs}: WatchResponse): void {
		if (listDigest === undefined || listAgeMs === undefined) {
			return;
		}

		const readAt = this.parts.clock.now() - listAgeMs;
		if (list !== undefined && readAt > this.#listAt) {
			this.#listDigest = listDigest;
			this.#listAt = readAt;
			this.parts.onList(list);
		} else if (listDigest === this.#listDigest) {
			this.#listAt = Math.max(this.#listAt, readAt);
		}
	}
}

/** Whether a list is so old that it should be read directly. */
export const isListStale = (ageMs: number): boolean => ageMs > staleListMs;
