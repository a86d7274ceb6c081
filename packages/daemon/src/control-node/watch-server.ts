/** Serves the long polls of the entry instances that watch this control instance. */
import {choosePartners, CONTROL_WATCH, digestServerList} from '@baobabpier/core';
import type {
	Clock, ControlPosition, DataCentreId, InstanceId, ListedServer, RelayPartner, RoutingDocument, RoutingVersion, RateLimitsSnapshot, SuspectsSnapshot, WatchResponse, WatchParams,
} from '@baobabpier/core';
import type {ReplicatedControlLog} from '../control/replicated-control-log.js';
import {createLog} from '../log.js';
import type {RpcServer} from '../rpc/rpc-server.js';

const log = createLog('desk');
/** An entry instance counts as gone when it has not polled for this long, in milliseconds. */
const entryTimeoutMs = 5000;
/** Interval at which open polls are checked for changes that cause no event, in milliseconds. */
const checkIntervalMs = 50;
/** Interval at which silent entry instances are removed, in milliseconds: a small fraction of `entryTimeoutMs`. */
const sweepIntervalMs = 500;

/** Dependencies of a watch server. */
export type WatchServerParts = {
	readonly dataCentre: DataCentreId;
	readonly control: ReplicatedControlLog;
	readonly clock: Clock;
	readonly listAgeMs: () => number | undefined;
	/** Whether the routing configuration in force has teams. */
	readonly hasTeams: () => boolean;
	/** The suspected segment sets; undefined unless this instance leads. */
	readonly suspects: () => SuspectsSnapshot | undefined;
	/** The limits that servers name; undefined unless this instance leads. */
	readonly limits: () => RateLimitsSnapshot | undefined;
};

/** An entry instance that polls. */
type EntryInstance = {
	/** When it last did. */
	readonly at: number;
	readonly relay: WatchParams['relay'];
};

type Waiting = {
	readonly params: WatchParams;
	readonly until: number;
	readonly resolve: () => void;
};

/** What the entry instances may not know yet, read once for all that wait. */
type Offer = {
	readonly position: ControlPosition;
	/** The routing configuration for an instance. */
	readonly routingFor: (params: WatchParams) => RoutingDocument | undefined;
	readonly quarantineRevision: number;
	readonly suspects: SuspectsSnapshot | undefined;
	readonly limits: RateLimitsSnapshot | undefined;
};

/** Delays the responses to entry instances until a change that they don't know. */
export class WatchServer {
	readonly #entries = new Map<InstanceId, EntryInstance>();
	/** Partners by instance, until another instance takes relayed calls or ceases to. */
	readonly #partners = new Map<InstanceId, readonly RelayPartner[]>();
	readonly #waiting = new Set<Waiting>();
	#list: readonly ListedServer[] | undefined;
	#listDigest: string | undefined;
	#sweptAt = 0;
	#timer: NodeJS.Timeout | undefined;
	#confirming: Promise<boolean> | undefined;

	constructor(private readonly parts: WatchServerParts) {}

	start(server: RpcServer): void {
		server.registerMethod(CONTROL_WATCH, async params => this.#answer(params));
		this.parts.control.registerListener(() => {
			this.#wake();
		});
		this.#timer = setInterval(() => {
			this.#wake();
		}, checkIntervalMs);
	}

	stop(): void {
		clearInterval(this.#timer);
		for (const {resolve} of this.#waiting) {
			resolve();
		}

		this.#waiting.clear();
	}

	/** Replaces the server list. */
	setList(servers: readonly ListedServer[]): void {
		this.#list = servers;
		const digest = digestServerList(servers);
		if (digest !== this.#listDigest) {
			log('The list of servers changed.', {servers: servers.length, leaving: servers.filter(({leaving}) => leaving).length});
			this.#listDigest = digest;
			this.#wake();
		}
	}

	/** Number of entry instances that polled recently. */
	get entries(): number {
		return this.#entries.size;
	}

	/** Responds to the entry instances that do not know a change yet. */
	wake(): void {
		this.#wake();
	}

	#forgetSilent(): void {
		const now = this.parts.clock.now();
		for (const [id, {at}] of this.#entries) {
			if (now - at > entryTimeoutMs) {
				this.#entries.delete(id);
				this.#partners.clear();
				log('An entry instance is gone.', {entry: id, silentMs: Math.round(now - at)});
			}
		}
	}

	#recordEntry({instance, relay}: WatchParams): void {
		const before = this.#entries.get(instance)?.relay;
		if (before?.isTaking !== relay?.isTaking || before?.address !== relay?.address || before?.knowsTeams !== relay?.knowsTeams) {
			this.#partners.clear();
		}

		this.#entries.set(instance, {at: this.parts.clock.now(), relay});
	}

	/** The partners of an entry instance; undefined where it takes no relayed calls itself. */
	#partnersOf({instance, relay}: WatchParams): readonly RelayPartner[] | undefined {
		if (relay === undefined) {
			return undefined;
		}

		const known = this.#partners.get(instance);
		if (known !== undefined) {
			return known;
		}

		const candidates = [...this.#entries].flatMap(([id, entry]) => entry.relay?.isTaking === true
			? [{
				id, address: entry.relay.address, dataCentre: entry.relay.dataCentre, knowsTeams: entry.relay.knowsTeams,
			}]
			: []);
		const partners = choosePartners({id: instance, dataCentre: relay.dataCentre}, candidates);
		this.#partners.set(instance, partners);
		return partners;
	}

	async #answer(params: WatchParams): Promise<WatchResponse> {
		if (!this.#entries.has(params.instance)) {
			log('An entry instance follows.', {entry: params.instance, version: params.routingVersion});
		}

		this.#recordEntry(params);
		const confirmed = params.confirmed && await this.#confirm();
		if (params.waitMs > 0 && !this.#hasNews(params, this.#readOffer())) {
			await this.#wait(params);
		}

		return this.#compose(params, confirmed);
	}

	#compose(params: WatchParams, confirmed: boolean): WatchResponse {
		const {routingVersion, listDigest, withContent, quarantineRevision, suspectsVersion, limitsVersion} = params;
		const {control, dataCentre} = this.parts;
		const {revision, entries} = control.state.quarantine;
		const {position: {leader, hearsQuorum}, routingFor, suspects, limits} = this.#readOffer();
		const current = routingFor(params);
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
			quarantine: quarantineRevision === undefined || revision > quarantineRevision ? {revision, sets: entries.map(({segments}) => segments)} : undefined,
			suspects: suspects?.version === suspectsVersion ? undefined : suspects,
			limits: limits?.version === limitsVersion ? undefined : limits,
			controls: control.replicas,
			entries: this.entries,
			partners: this.#partnersOf(params),
		};
	}

	#readOffer(): Offer {
		const {control, hasTeams, suspects, limits} = this.parts;
		const {current} = control.state.routing;
		// An instance that can't identify teams would serve requests of any caller, so that it gets no configuration with teams
		const openDocument = hasTeams() ? undefined : current;
		return {
			position: control.position,
			routingFor: ({knowsTeams}) => knowsTeams === true ? current : openDocument,
			quarantineRevision: control.state.quarantine.revision,
			suspects: suspects(),
			limits: limits(),
		};
	}

	#hasNews(params: WatchParams, {position, routingFor, quarantineRevision, suspects, limits}: Offer): boolean {
		const {routingVersion, listDigest, leader, withContent, suspectsVersion, limitsVersion} = params;
		const version = routingFor(params)?.version;
		const known: RoutingVersion | undefined = routingVersion;
		return (version !== undefined && (known === undefined || version > known))
			|| (withContent && this.#listDigest !== undefined && listDigest !== this.#listDigest)
			|| (params.quarantineRevision !== undefined && quarantineRevision > params.quarantineRevision)
			|| (suspects !== undefined && suspects.version !== suspectsVersion)
			|| (limits !== undefined && limits.version !== limitsVersion)
			|| (position.hearsQuorum && position.leader !== undefined && position.leader !== leader);
	}

	/** Returns whether a majority confirms that the state is the newest; concurrent calls share one confirmation. */
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
		if (now - this.#sweptAt >= sweepIntervalMs) {
			this.#sweptAt = now;
			this.#forgetSilent();
		}

		if (this.#waiting.size === 0) {
			return;
		}

		const offer = this.#readOffer();
		for (const waiting of this.#waiting) {
			if (now >= waiting.until || this.#hasNews(waiting.params, offer)) {
				this.#waiting.delete(waiting);
				waiting.resolve();
			}
		}
	}
}
