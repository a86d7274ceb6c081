/** Answers the entry instances that follow this control instance. */
import {CONTROL_WATCH, digestServerList} from '@baobabpier/core';
import type {
	Clock, DataCentreId, InstanceId, ListedServer, RoutingVersion, WatchResponse, WatchParams,
} from '@baobabpier/core';
import type {ReplicatedControlLog} from '../control/replicated-control-log.js';
import {createLog} from '../log.js';
import type {RpcServer} from '../rpc/rpc-server.js';

const log = createLog('desk');
/** An entry instance that did not ask for this long is gone, in milliseconds. */
const entryMs = 5000;
/** How often the open calls are looked through for news that no event tells of, in milliseconds. */
const checkMs = 50;
/** How often entry instances that went silent are looked for, in milliseconds: a small part of `entryMs`. */
const sweepMs = 500;

/** What the desk works with. */
export type WatchDeskParts = {
	readonly dataCentre: DataCentreId;
	readonly control: ReplicatedControlLog;
	readonly clock: Clock;
	readonly listAgeMs: () => number | undefined;
};

type Waiting = {
	readonly params: WatchParams;
	readonly until: number;
	readonly resolve: () => void;
};

/** Holds the calls of entry instances until there is news for them. */
export class WatchDesk {
	readonly #entries = new Map<InstanceId, number>();
	readonly #waiting = new Set<Waiting>();
	#list: readonly ListedServer[] | undefined;
	#listDigest: string | undefined;
	#sweptAt = 0;
	#timer: NodeJS.Timeout | undefined;
	#confirming: Promise<boolean> | undefined;

	constructor(private readonly parts: WatchDeskParts) {}

	start(server: RpcServer): void {
		server.registerMethod(CONTROL_WATCH, async params => this.#answer(params));
		this.parts.control.registerListener(() => {
			this.#wake();
		});
		this.#timer = setInterval(() => {
			this.#wake();
		}, checkMs);
	}

	stop(): void {
		clearInterval(this.#timer);
		for (const {resolve} of this.#waiting) {
			resolve();
		}

		this.#waiting.clear();
	}

	/** Takes a new list. */
	setList(servers: readonly ListedServer[]): void {
		this.#list = servers;
		const digest = digestServerList(servers);
		if (digest !== this.#listDigest) {
			log('The list of servers changed.', {servers: servers.length, leaving: servers.filter(({leaving}) => leaving).length});
			this.#listDigest = digest;
			this.#wake();
		}
	}

	/** Entry instances that asked lately. */
	get entries(): number {
		return this.#entries.size;
	}

	#forgetSilent(): void {
		const now = this.parts.clock.now();
		for (const [id, at] of this.#entries) {
			if (now - at > entryMs) {
				this.#entries.delete(id);
				log('An entry instance is gone.', {entry: id, silentMs: Math.round(now - at)});
			}
		}
	}

	async #answer(params: WatchParams): Promise<WatchResponse> {
		if (!this.#entries.has(params.instance)) {
			log('An entry instance follows.', {entry: params.instance, version: params.routingVersion});
		}

		this.#entries.set(params.instance, this.parts.clock.now());
		const confirmed = params.confirmed && await this.#confirm();
		if (!this.#hasNews(params) && params.waitMs > 0) {
			await this.#wait(params);
		}

		return this.#compose(params, confirmed);
	}

	#compose({routingVersion, listDigest, withContent}: WatchParams, confirmed: boolean): WatchResponse {
		const {control, dataCentre} = this.parts;
		const {current} = control.state.routing;
		const {leader, hearsQuorum} = control.position;
		const isNewer = current !== undefined && (routingVersion === undefined || current.version > routingVersion);
		return {
			dataCentre,
			routingVersion: current?.version,
			routing: isNewer && withContent ? current : undefined,
			hearsQuorum,
			confirmed,
			listDigest: this.#listDigest,
			list: withContent && listDigest !== this.#listDigest ? this.#list : undefined,
			listAgeMs: this.parts.listAgeMs(),
			leader,
			controls: control.replicas,
			entries: this.entries,
		};
	}

	#hasNews({routingVersion, listDigest, leader, withContent}: WatchParams): boolean {
		const {control} = this.parts;
		const version = control.state.routing.current?.version;
		const known: RoutingVersion | undefined = routingVersion;
		const now = control.position;
		return (version !== undefined && (known === undefined || version > known))
			|| (withContent && this.#listDigest !== undefined && listDigest !== this.#listDigest)
			|| (now.hearsQuorum && now.leader !== undefined && now.leader !== leader);
	}

	/** Whether a majority confirms that the state is the newest; calls at the same time share the question. */
	async #confirm(): Promise<boolean> {
		this.#confirming ??= (async () => {
			try {
				await this.parts.control.barrier();
				return true;
			} catch (error) {
				log('A read can\'t be confirmed.', {detail: (error as Error).message});
				return false;
			}
		})();
		const confirmed = await this.#confirming;
		this.#confirming = undefined;
		return confirmed;
	}

	async #wait(params: WatchParams): Promise<void> {
		await new Promise<void>(resolve => {
			this.#waiting.add({params, until: this.parts.clock.now() + params.waitMs, resolve});
		});
	}

	#wake(): void {
		const now = this.parts.clock.now();
		if (now - this.#sweptAt >= sweepMs) {
			this.#sweptAt = now;
			this.#forgetSilent();
		}

		for (const waiting of this.#waiting) {
			if (now >= waiting.until || this.#hasNews(waiting.params)) {
				this.#waiting.delete(waiting);
				waiting.resolve();
			}
		}
	}
}
