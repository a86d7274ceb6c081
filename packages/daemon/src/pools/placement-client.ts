/** Requests placements from the owners of engine pools, starting with the local data centre. */
import {setTimeout as sleep} from 'node:timers/promises';
import {holdKey, POOL_PLACE} from '@baobabpier/core';
import type {
	Clock,
	DataCentreId,
	EngineHold,
	HeldPlacement,
	EngineId,
	Instant,
	InstanceId,
	ModelService,
	PlaceResponse,
	PlaceParams,
	PoolReleaseParams,
	PoolStepParams,
	ShareMap,
} from '@baobabpier/core';
import {RpcCallError} from '../rpc/rpc-client.js';
import type {Peers} from '../rpc/peers.js';
import {PoolNotifier} from './pool-notifier.js';

const renewIntervalMs = 1000;
const responseMarginMs = 1000;
/** Fraction of the time to the first output that the first round accepts as a wait before it tries the next data centre. */
const shortWaitFraction = 0.05;

/** Identifies the pool that granted a placement. */
export type PoolAddress = {
	readonly service: ModelService['name'];
	readonly dataCentre: DataCentreId;
};

type PlaceRequest = Omit<PlaceParams, 'dataCentre' | 'holder' | 'service'>;

type PlacementResult = {
	readonly response: PlaceResponse;
	readonly pool: PoolAddress | undefined;
};

type HeldEntry = {
	readonly pool: PoolAddress;
	readonly place: HeldPlacement;
	readonly prefill: EngineId;
	/** When the owner's grant arrived; undefined for a placement that the owner did not grant. */
	readonly grantedAt: Instant | undefined;
};

const groupByPool = (held: ReadonlyMap<string, HeldEntry>): Map<string, {pool: PoolAddress; places: HeldPlacement[]}> => {
	const groups = new Map<string, {pool: PoolAddress; places: HeldPlacement[]}>();
	for (const {pool, place} of held.values()) {
		const key = `${pool.service}@${pool.dataCentre}`;
		const group = groups.get(key) ?? {pool, places: []};
		group.places.push(place);
		groups.set(key, group);
	}

	return groups;
};

/** Fields that a release reports besides its hold. */
export type ReleaseDetails = Pick<PoolReleaseParams, 'failed' | 'outputTokens' | 'pace' | 'rejectedBy' | 'served' | 'unreachable'>;

/** Dependencies of a placement client. */
export type PlacementClientParts = {
	readonly self: InstanceId;
	readonly dataCentre: DataCentreId;
	readonly shares: ShareMap;
	readonly peers: Peers;
	readonly clock: Clock;
	/** Engines that this instance has seen marked as leaving; they take no new requests. */
	readonly leaving: () => ReadonlySet<EngineId>;
};

/** Tracks the placements held by this instance and calls the owners of their pools. */
export class PlacementClient {
	readonly #held = new Map<string, HeldEntry>();
	readonly #notifier: PoolNotifier;
	#timer: NodeJS.Timeout | undefined;

	constructor(private readonly parts: PlacementClientParts) {
		this.#notifier = new PoolNotifier(parts.peers, parts.clock);
	}

	/** Starts renewing the leases of the held placements. */
	start(): void {
		this.#timer = setInterval(() => {
			this.#repeatRenewals();
		}, renewIntervalMs);
	}

	/** Stops renewing, and waits for at most `flushMs` until the owners have the last releases; they reclaim the others when the leases expire. */
	async stop(flushMs: number): Promise<void> {
		clearInterval(this.#timer);
		const timeout = new AbortController();
		const expired = sleep(flushMs, undefined, {signal: timeout.signal}).catch(() => {
			// The flush was over first
		});
		await Promise.race([this.#notifier.flush(), expired]);
		timeout.abort();
	}

	/** Returns the number of placements of this instance that use an engine. */
	countUses(engine: EngineId): number {
		return [...this.#held.values()].filter(({place, prefill}) => place.decode.id === engine || prefill === engine).length;
	}

	/** Requests a placement: first accepts only a short wait, the local data centre before the others; then any wait within the deadline, the shortest first. */
	async place(service: ModelService, params: PlaceRequest, signal: AbortSignal): Promise<PlacementResult> {
		const dataCentres = this.#sortByDistance(service);
		const waits = new Map<DataCentreId, number>();
		if (dataCentres.length > 1 && params.firstOutputMs !== undefined) {
			const shortWait = await this.#placeInOrder(service, dataCentres, {...params, acceptWaitMs: params.firstOutputMs * shortWaitFraction}, signal, waits);
			if (shortWait.response.kind === 'placed') {
				return shortWait;
			}
		}

		const expectedWait = (dataCentre: DataCentreId): number => waits.get(dataCentre) ?? Number.POSITIVE_INFINITY;
		const sortedByWait = dataCentres.toSorted((left, right) => expectedWait(left) === expectedWait(right) ? 0 : expectedWait(left) - expectedWait(right));
		return this.#placeInOrder(service, sortedByWait, params, signal, waits);
	}

	/** Registers a placement that its pool's owner didn't grant, or that moved to another engine, and reports it to the owner. */
	async registerHold(pool: PoolAddress, place: HeldPlacement): Promise<void> {
		const key = holdKey(place);
		this.#held.set(key, {
			pool, place, prefill: place.decode.id, grantedAt: this.#held.get(key)?.grantedAt,
		});
		await this.#renewPool(pool, [place]);
	}

	/** Reports all held placements to a new owner, which starts without any. */
	async renew(): Promise<void> {
		await Promise.all([...groupByPool(this.#held).values()].map(async ({pool, places}) => this.#renewPool(pool, places)));
	}

	/** Releases a placement. */
	async release(pool: PoolAddress, hold: EngineHold & ReleaseDetails): Promise<void> {
		this.#held.delete(holdKey(hold));
		await this.#notifyOwner('release', pool, hold);
	}

	/** Reports to the owner that a transfer has completed. */
	async transferDone(pool: PoolAddress, hold: EngineHold): Promise<void> {
		await this.#notifyOwner('transferDone', pool, {...hold, sinceGrantMs: this.#sinceGrantMs(hold)});
	}

	/** Reports to the owner that a prefill has completed. */
	async prefillDone(pool: PoolAddress, hold: EngineHold): Promise<void> {
		await this.#notifyOwner('prefillDone', pool, {...hold, sinceGrantMs: this.#sinceGrantMs(hold)});
	}

	#sinceGrantMs(hold: EngineHold): number | undefined {
		const grantedAt = this.#held.get(holdKey(hold))?.grantedAt;
		return grantedAt === undefined ? undefined : this.parts.clock.now() - grantedAt;
	}

	// eslint-disable-next-line max-params
	async #placeInOrder(service: ModelService, dataCentres: readonly DataCentreId[], params: PlaceRequest, signal: AbortSignal, waits: Map<DataCentreId, number>): Promise<PlacementResult> {
		let response: PlaceResponse = {kind: 'refused', error: {kind: 'noBackend'}};
		const excluded = [...new Set([...params.excluded, ...this.#leavingEngines(service)])];
		for (const dataCentre of dataCentres) {
			const pool = {service: service.name, dataCentre};
			// Data centres are tried sequentially
			// eslint-disable-next-line no-await-in-loop
			response = await this.#requestPlacement({
				...params, ...pool, excluded, holder: this.parts.self,
			}, signal);
			if (response.kind === 'placed') {
				const {requestId, attempt} = params;
				const {decode, prefill, pieces} = response.placement;
				this.#held.set(holdKey(params), {
					pool,
					place: {
						requestId, attempt, decode, pieces,
					},
					prefill: prefill.id,
					grantedAt: this.parts.clock.now(),
				});
				return {response, pool};
			}

			waits.set(dataCentre, response.error.retryAfterMs ?? Number.POSITIVE_INFINITY);
			if (response.error.kind !== 'noBackend' && response.error.kind !== 'overloaded') {
				break;
			}
		}

		return {response, pool: undefined};
	}

	async #requestPlacement(params: PlaceParams, signal: AbortSignal): Promise<PlaceResponse> {
		const owner = this.#findOwner(params);
		if (owner === undefined) {
			return {kind: 'refused', error: {kind: 'noBackend', detail: 'the pool has no owner'}};
		}

		try {
			return await this.parts.peers.get(owner).call(POOL_PLACE, params, params.waitMs + responseMarginMs, signal);
		} catch (error) {
			if (error instanceof RpcCallError && error.sent) {
				// The placement may have been granted even though the response was lost
				void this.#notifyOwner('release', params, params);
			}

			return {kind: 'refused', error: {kind: 'noBackend', detail: (error as Error).message}};
		}
	}

	async #notifyOwner(kind: 'prefillDone' | 'release' | 'transferDone', {service, dataCentre}: PoolAddress, hold: EngineHold & ReleaseDetails & Pick<PoolStepParams, 'sinceGrantMs'>): Promise<void> {
		const owner = this.#findOwner({service, dataCentre});
		const {requestId, attempt, sinceGrantMs, pace, outputTokens, unreachable, failed, served, rejectedBy} = hold;
		const params: PoolReleaseParams & PoolStepParams = {
			service, dataCentre, requestId, attempt, sinceGrantMs, pace, outputTokens, unreachable, failed, served, rejectedBy,
		};
		await (owner === undefined ? undefined : this.#notifier.notify(owner, {kind, params}));
	}

	/** Returns the leaving engines of a service. Requests exclude them, since this instance may learn of them before the pool's owner does. */
	#leavingEngines(service: ModelService): readonly EngineId[] {
		const leaving = this.parts.leaving();
		return service.engines.map(({id}) => id).filter(id => leaving.has(id));
	}

	#findOwner(pool: PoolAddress): InstanceId | undefined {
		return this.parts.shares.find({kind: 'engines', ...pool}, this.parts.clock.now())?.holder;
	}

	#sortByDistance(service: ModelService): readonly DataCentreId[] {
		const all = [...new Set(service.engines.map(engine => engine.dataCentre))];
		return [...all.filter(id => id === this.parts.dataCentre), ...all.filter(id => id !== this.parts.dataCentre)];
	}

	/** Renews the leases of all held placements with their owners. */
	#repeatRenewals(): void {
		for (const {pool, places} of groupByPool(this.#held).values()) {
			const owner = this.#findOwner(pool);
			if (owner !== undefined) {
				this.#notifier.repeatRenewal(owner, {...pool, holder: this.parts.self, places});
			}
		}
	}

	async #renewPool(pool: PoolAddress, places: readonly HeldPlacement[]): Promise<void> {
		const owner = this.#findOwner(pool);
		await (owner === undefined ? undefined : this.#notifier.notify(owner, {kind: 'renew', params: {...pool, holder: this.parts.self, places}}));
	}
}
