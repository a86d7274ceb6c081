/** Asks the owners of engine pools for places, the nearest data centre first. */
import {
	holdKey, POOL_PLACE, POOL_PREFILL_DONE, POOL_RELEASE, POOL_RENEW, POOL_TRANSFER_DONE,
} from '@baobabpier/core';
import type {
	Clock,
	DataCentreId,
	EngineHold,
	HeldPlacement,
	EngineId,
	InstanceId,
	ModelService,
	PlaceResponse,
	PlaceParams,
	PoolReleaseParams,
	RpcMethod,
	ShareMap,
} from '@baobabpier/core';
import {RpcCallError} from '../rpc/rpc-client.js';
import type {Peers} from '../rpc/peers.js';

const callMs = 2000;
const renewMs = 1000;
const answerSlackMs = 1000;
/** The part of the time to the first output that may be waited near by before other data centres are asked. */
const shortWaitPart = 0.05;

/** The pool that granted a place. */
export type PoolAddress = {
	readonly service: ModelService['name'];
	readonly dataCentre: DataCentreId;
};

type PlaceWish = Omit<PlaceParams, 'dataCentre' | 'holder' | 'service'>;

type PlaceOutcome = {
	readonly answer: PlaceResponse;
	readonly pool: PoolAddress | undefined;
};

type Held = {
	readonly pool: PoolAddress;
	readonly place: HeldPlacement;
	readonly prefill: EngineId;
};

const groupHeld = (held: ReadonlyMap<string, Held>): Map<string, {pool: PoolAddress; places: HeldPlacement[]}> => {
	const groups = new Map<string, {pool: PoolAddress; places: HeldPlacement[]}>();
	for (const {pool, place} of held.values()) {
		const key = `${pool.service}@${pool.dataCentre}`;
		const group = groups.get(key) ?? {pool, places: []};
		group.places.push(place);
		groups.set(key, group);
	}

	return groups;
};

/** What a release tells besides its hold. */
export type ReleaseDetails = Pick<PoolReleaseParams, 'failed' | 'outputTokens' | 'pace' | 'served' | 'unreachable'>;

/** What a place client needs. */
export type PlacementClientParts = {
	readonly self: InstanceId;
	readonly dataCentre: DataCentreId;
	readonly shares: ShareMap;
	readonly peers: Peers;
	readonly clock: Clock;
	/** Engines that take no new work, as far as this instance knows. */
	readonly leaving: () => ReadonlySet<EngineId>;
};

/** Places held by this instance, and the calls to their owners. */
export class PlacementClient {
	readonly #held = new Map<string, Held>();
	#timer: NodeJS.Timeout | undefined;

	constructor(private readonly parts: PlacementClientParts) {}

	/** Starts renewing the places held. */
	start(): void {
		this.#timer = setInterval(() => {
			void this.renew();
		}, renewMs);
	}

	stop(): void {
		clearInterval(this.#timer);
	}

	/** Places of this instance that need an engine. */
	countUses(engine: EngineId): number {
		return [...this.#held.values()].filter(({place, prefill}) => place.decode.id === engine || prefill === engine).length;
	}

	/** Asks for a place soon in this data centre, then in the others; then for any in time, where the wait is shortest. */
	async place(service: ModelService, params: PlaceWish, signal: AbortSignal): Promise<PlaceOutcome> {
		const dataCentres = this.#nearestFirst(service);
		const waits = new Map<DataCentreId, number>();
		if (dataCentres.length > 1 && params.firstOutputMs !== undefined) {
			const soon = await this.#placeIn(service, dataCentres, {...params, acceptWaitMs: params.firstOutputMs * shortWaitPart}, signal, waits);
			if (soon.answer.kind === 'placed') {
				return soon;
			}
		}

		const waitOf = (dataCentre: DataCentreId): number => waits.get(dataCentre) ?? Number.POSITIVE_INFINITY;
		const shortestFirst = dataCentres.toSorted((left, right) => waitOf(left) === waitOf(right) ? 0 : waitOf(left) - waitOf(right));
		return this.#placeIn(service, shortestFirst, params, signal, waits);
	}

	/** Takes note of a place that its pool's owner did not give, or that is now on another engine, and tells the owner. */
	async registerHold(pool: PoolAddress, place: HeldPlacement): Promise<void> {
		this.#held.set(holdKey(place), {pool, place, prefill: place.decode.id});
		await this.#renewIn(pool, [place]);
	}

	/** Tells the owners of all places held; at once after a change of owner, whose count begins empty. */
	async renew(): Promise<void> {
		await Promise.all([...groupHeld(this.#held).values()].map(async ({pool, places}) => this.#renewIn(pool, places)));
	}

	/** Gives a place back. */
	async release(pool: PoolAddress, hold: EngineHold & ReleaseDetails): Promise<void> {
		this.#held.delete(holdKey(hold));
		await this.#tell(POOL_RELEASE, pool, hold);
	}

	/** Tells the owner that a transfer is over. */
	async transferDone(pool: PoolAddress, hold: EngineHold): Promise<void> {
		await this.#tell(POOL_TRANSFER_DONE, pool, hold);
	}

	/** Tells the owner that a prefill is over. */
	async prefillDone(pool: PoolAddress, hold: EngineHold): Promise<void> {
		await this.#tell(POOL_PREFILL_DONE, pool, hold);
	}

	// eslint-disable-next-line max-params
	async #placeIn(service: ModelService, dataCentres: readonly DataCentreId[], params: PlaceWish, signal: AbortSignal, waits: Map<DataCentreId, number>): Promise<PlaceOutcome> {
		let last: PlaceResponse = {kind: 'refused', error: {kind: 'noBackend'}};
		const excluded = [...new Set([...params.excluded, ...this.#leavingOf(service)])];
		for (const dataCentre of dataCentres) {
			const pool = {service: service.name, dataCentre};
			// One data centre after the other
			// eslint-disable-next-line no-await-in-loop
			last = await this.#ask({
				...params, ...pool, excluded, holder: this.parts.self,
			}, signal);
			if (last.kind === 'placed') {
				const {requestId, attempt} = params;
				const {decode, prefill, pieces} = last.placement;
				this.#held.set(holdKey(params), {
					pool,
					place: {
						requestId, attempt, decode, pieces,
					},
					prefill: prefill.id,
				});
				return {answer: last, pool};
			}

			waits.set(dataCentre, last.error.retryAfterMs ?? Number.POSITIVE_INFINITY);
			if (last.error.kind !== 'noBackend' && last.error.kind !== 'overloaded') {
				break;
			}
		}

		return {answer: last, pool: undefined};
	}

	async #ask(params: PlaceParams, signal: AbortSignal): Promise<PlaceResponse> {
		const owner = this.#owner(params);
		if (owner === undefined) {
			return {kind: 'refused', error: {kind: 'noBackend', detail: 'the pool has no owner'}};
		}

		try {
			return await this.parts.peers.get(owner).call(POOL_PLACE, params, params.waitMs + answerSlackMs, signal);
		} catch (error) {
			if (error instanceof RpcCallError && error.sent) {
				// The place may have been granted though its answer was lost
				void this.#tell(POOL_RELEASE, params, params);
			}

			return {kind: 'refused', error: {kind: 'noBackend', detail: (error as Error).message}};
		}
	}

	async #tell<Result>(command: RpcMethod<EngineHold & PoolAddress, Result>, pool: PoolAddress, hold: EngineHold & ReleaseDetails): Promise<void> {
		const owner = this.#owner(pool);
		if (owner === undefined) {
			return;
		}

		try {
			await this.parts.peers.get(owner).call(command, {
				service: pool.service,
				dataCentre: pool.dataCentre,
				requestId: hold.requestId,
				attempt: hold.attempt,
				pace: hold.pace,
				outputTokens: hold.outputTokens,
				unreachable: hold.unreachable,
				failed: hold.failed,
				served: hold.served,
			}, callMs);
		} catch {
			// The owner takes the place back when its lease ends
		}
	}

	/** This instance may know of a leaving engine before the pool's owner does. */
	#leavingOf(service: ModelService): readonly EngineId[] {
		return service.engines.map(({id}) => id).filter(id => this.parts.leaving().has(id));
	}

	#owner(pool: PoolAddress): InstanceId | undefined {
		return this.parts.shares.find({kind: 'engines', ...pool}, this.parts.clock.now())?.holder;
	}

	#nearestFirst(service: ModelService): readonly DataCentreId[] {
		const all = [...new Set(service.engines.map(engine => engine.dataCentre))];
		return [...all.filter(id => id === this.parts.dataCentre), ...all.filter(id => id !== this.parts.dataCentre)];
	}

	async #renewIn(pool: PoolAddress, places: readonly HeldPlacement[]): Promise<void> {
		const owner = this.#owner(pool);
		try {
			await (owner === undefined ? undefined : this.parts.peers.get(owner).call(POOL_RENEW, {...pool, holder: this.parts.self, places}, callMs));
		} catch {
			// The next renewal comes before the lease ends
		}
	}
}
