/** Places on engines for streams: from the pool's owner, or by own knowledge while the owner does not answer. */
import {
	countPieces, POOL_RENEW, routerError, toId,
} from '@baobabpier/core';
import type {
	AttemptNumber, Clock, EngineAddress, EngineHold, EngineId, HeldPlacement, InstanceId, ModelService, PlaceResponse, Placement, PlaceParams, RouterError, ServiceName,
} from '@baobabpier/core';
import {createLog} from '../log.js';
import type {PlacementClient, PoolAddress, ReleaseDetails} from '../pools/placement-client.js';
import type {PoolHost} from '../pools/pool-host.js';
import type {Peers} from '../rpc/peers.js';
import type {CallScope} from './call-scope.js';
import {pieceTokens, poolDataCentre} from './model-services.js';
import type {Call} from './types.js';

const log = createLog('places');
/** An owner that has not answered for this long is asked whether it is there, in milliseconds. */
const patienceMs = 150;
/** How long the owner may take to say that it is there, in milliseconds. */
const pingMs = 250;
/** An owner that was silent is not asked for this long, in milliseconds. */
const downMs = 1000;
/** Part of the time that callers wait for the first event that may be spent on the wait for a place. */
const waitPart = 0.6;
/** Part of the same time that a broken stream may wait for a place: the rest is for noticing the break and reading again. */
const resumeWaitPart = 0.25;
/** Callers leave a stream that is silent for this many times its target to the first event, as the platform's clients do. */
const patienceTargets = 4;
/** Attempts of places that the owner did not give are counted from here, far above the rounds of a call. */
const firstOwnAttempt = 1000;

/** What a place's use showed. */
export type PlaceUse = Omit<ReleaseDetails, 'outputTokens'> & {
	/** Events of a stream that completed. */
	readonly events: number | undefined;
};

/** A place on engines that is held until it is released. */
export type Place = {
	readonly decode: EngineAddress;
	readonly prefill: EngineAddress;
	/** Whether the pool's owner gave it: it knows of all other places. */
	readonly isOwned: boolean;
	/** Tells that the prefill's engine has room for the next one. */
	prefillDone(): void;
	/** Tells that the memory has reached the decode engine. */
	transferDone(): void;
	/** Tells that the stream is at another decode engine now. */
	moveTo(decode: EngineAddress): void;
	/** Gives the place back, with what was met on its engines. */
	release(facts: PlaceUse): void;
};

/** Whether there is a place. */
export type PlaceOutcome =
	| {readonly kind: 'placed'; readonly place: Place}
	| {readonly kind: 'refused'; readonly error: RouterError};

/** What the places work with. */
export type PlacesParts = {
	readonly self: InstanceId;
	readonly clock: Clock;
	readonly peers: Peers;
	/** Asks the pool's owner. */
	readonly client: PlacementClient;
	/** Decides by what this instance knows alone. */
	readonly alone: PoolHost;
	readonly owner: () => InstanceId | undefined;
	readonly modelService: (name: ServiceName) => ModelService | undefined;
	/** Output tokens in one event of a service's streams. */
	readonly tokensPerEvent: (name: ServiceName) => number | undefined;
	/** Part of the most output tokens that running streams are expected to hold. */
	readonly outputPart: number;
	readonly usableEngines: (service: ServiceName) => ReadonlySet<EngineId>;
};

/** What a stream asks a place for. */
export type PlaceAsk = {
	readonly call: Call;
	readonly service: ServiceName;
	/** Counts the places that the call asked for. */
	readonly round: number;
	readonly excluded: ReadonlySet<EngineId>;
	readonly scope: CallScope;
};

type Wish = Omit<PlaceParams, 'dataCentre' | 'holder' | 'service'>;

/** Asks for places on behalf of streams. */
export class Places {
	readonly #asking = new Map<AbortController, number>();
	#timer: NodeJS.Timeout | undefined;
	#downUntil = 0;
	#isPinging = false;
	#ownAttempts = firstOwnAttempt;

	constructor(private readonly parts: PlacesParts) {}

	stop(): void {
		clearTimeout(this.#timer);
	}

	/** Tells a new owner of the places held, and asks it from now on. */
	ownerChanged(): void {
		this.#downUntil = 0;
		void this.parts.client.renew();
	}

	/** Waits for a place. */
	async place(ask: PlaceAsk): Promise<PlaceOutcome> {
		return this.#place(ask, this.#wish(ask));
	}

	/** Waits for a place at an engine that reads the prompt and the events that the caller has, without delaying its other streams too long. */
	async placeResumed(ask: PlaceAsk, events: number): Promise<PlaceOutcome> {
		const {call, scope} = ask;
		const sentTokens = this.#tokensOf(ask.service, events);
		const promptTokens = call.promptTokens + sentTokens;
		const maxTokens = Math.max(0, call.maxTokens - sentTokens);
		return this.#place(ask, {
			...this.#wish(ask),
			promptTokens,
			maxTokens,
			pieces: this.#piecesOf(promptTokens, maxTokens),
			readsDirectly: true,
			waitMs: Math.min(scope.remainingMs(), call.route.targetLatencyMs * patienceTargets * resumeWaitPart),
			firstOutputMs: undefined,
		});
	}

	/** Takes note of a stream on an engine that leased room for it itself. */
	take({requestId, promptTokens, maxTokens}: Call, service: ServiceName, engine: EngineAddress): Place {
		const pool = {service, dataCentre: poolDataCentre};
		const place = this.#placeOf(pool, {requestId, attempt: this.#ownAttempt()}, {decode: engine, prefill: engine, pieces: this.#piecesOf(promptTokens, maxTokens)});
		place.moveTo(engine);
		return place;
	}

	/** Memory pieces that a stream is expected to need; the pool's owner, which sees more streams, may count others. */
	#piecesOf(promptTokens: number, maxTokens: number): number {
		return countPieces(promptTokens + Math.ceil(maxTokens * this.parts.outputPart), pieceTokens);
	}

	#tokensOf(service: ServiceName, events: number): number {
		return events * (this.parts.tokensPerEvent(service) ?? 1);
	}

	async #place({service: name, scope}: PlaceAsk, wish: Wish): Promise<PlaceOutcome> {
		const service = this.parts.modelService(name);
		if (service === undefined) {
			return {kind: 'refused', error: routerError('noBackend', `no engine of ${name} is listed`)};
		}

		const isDown = this.parts.owner() === undefined || this.parts.clock.now() < this.#downUntil;
		const asked = isDown ? undefined : await this.#askOwner(service, wish, scope);
		return asked ?? this.#placeAlone(service, wish, scope);
	}

	#wish({call, round, excluded, scope}: PlaceAsk): Wish {
		const {clock} = this.parts;
		const dueMs = call.arrivedAt + call.route.targetLatencyMs - clock.now();
		return {
			requestId: call.requestId,
			attempt: toId<AttemptNumber>(round),
			class: call.route.priority === 0 ? 'urgent' : 'patient',
			promptTokens: call.promptTokens,
			maxTokens: call.maxTokens,
			pieces: this.#piecesOf(call.promptTokens, call.maxTokens),
			prefix: '',
			waitMs: Math.max(0, Math.min(scope.remainingMs(), (call.route.targetLatencyMs * patienceTargets * waitPart) - (clock.now() - call.arrivedAt))),
			firstOutputMs: Math.max(0, dueMs),
			steadyGapMs: call.route.targetGapMs,
			excluded: [...excluded],
		};
	}

	/** Undefined when the owner does not answer, or has no engine that would do. */
	async #askOwner(service: ModelService, wish: Wish, scope: CallScope): Promise<PlaceOutcome | undefined> {
		const abort = new AbortController();
		const end = (): void => {
			abort.abort();
		};

		scope.signal.addEventListener('abort', end, {once: true});
		this.#asking.set(abort, this.parts.clock.now());
		this.#watchOwnerSoon();
		const {response: answer, pool} = await this.parts.client.place(service, wish, abort.signal);
		this.#asking.delete(abort);
		scope.signal.removeEventListener('abort', end);
		if (answer.kind === 'placed') {
			return {kind: 'placed', place: this.#ownedPlace(answer, pool!, wish)};
		}

		return answer.error.kind === 'noBackend' && scope.reason === undefined ? undefined : {kind: 'refused', error: answer.error};
	}

	#ownedPlace({placement}: Extract<PlaceResponse, {kind: 'placed'}>, pool: PoolAddress, {requestId, attempt}: Wish): Place {
		const {client} = this.parts;
		const hold = {requestId, attempt};
		this.#noteAlone(pool, {...hold, decode: placement.decode, pieces: placement.pieces});
		return {
			...this.#placeOf(pool, hold, placement),
			prefillDone() {
				void client.prefillDone(pool, hold);
			},
			transferDone() {
				void client.transferDone(pool, hold);
			},
			isOwned: true,
		};
	}

	async #placeAlone(service: ModelService, wish: Wish, scope: CallScope): Promise<PlaceOutcome> {
		const {alone, self, client} = this.parts;
		const pool = {service: service.name, dataCentre: poolDataCentre};
		const usable = this.parts.usableEngines(service.name);
		const excluded = [...wish.excluded, ...service.engines.map(({id}) => id).filter(id => !usable.has(id))];
		const hold = {requestId: wish.requestId, attempt: this.#ownAttempt()};
		const answer = await alone.place({
			...wish, ...hold, ...pool, excluded, holder: self,
		}, scope.signal);
		log('A place was sought without the pool\'s owner.', {requestId: wish.requestId, outcome: answer.kind});
		if (answer.kind === 'refused') {
			return answer;
		}

		const {placement} = answer;
		void client.registerHold(pool, {...hold, decode: placement.decode, pieces: placement.pieces});
		return {kind: 'placed', place: this.#placeOf(pool, hold, placement)};
	}

	/** A place that the owner hears of only by renewals. */
	#placeOf(pool: PoolAddress, hold: EngineHold, {decode, prefill, pieces}: Pick<Placement, 'decode' | 'prefill' | 'pieces'>): Place {
		const {alone, client} = this.parts;
		const tokensOf = this.#tokensOf.bind(this);
		return {
			decode,
			prefill,
			prefillDone() {
				alone.applyEvent(pool, {kind: 'prefillDone', hold});
			},
			transferDone() {
				alone.applyEvent(pool, {kind: 'transferDone', hold});
			},
			moveTo: (to: EngineAddress) => {
				const place = {...hold, decode: to, pieces};
				this.#noteAlone(pool, place);
				void client.registerHold(pool, place);
			},
			release({events, ...met}) {
				const {pace} = met;
				const outputTokens = events === undefined ? undefined : tokensOf(pool.service, events);
				alone.applyEvent(pool, {
					kind: 'release', hold, pace, outputTokens,
				});
				void client.release(pool, {
					...hold, ...met, outputTokens,
				});
			},
			isOwned: false,
		};
	}

	/** Counts a place in the pool that decides while the owner is silent. */
	#noteAlone(pool: PoolAddress, place: HeldPlacement): void {
		this.parts.alone.applyEvent(pool, {kind: 'renew', holder: this.parts.self, places: [place]});
	}

	/** Places that the owner did not give have attempts of their own: the owner may have given one whose answer was lost. */
	#ownAttempt(): AttemptNumber {
		this.#ownAttempts += 1;
		return toId<AttemptNumber>(this.#ownAttempts);
	}

	/** Looks after the owner as long as it is asked. */
	#watchOwnerSoon(): void {
		this.#timer ??= setTimeout(() => {
			this.#timer = undefined;
			void this.#watchOwner();
			if (this.#asking.size > 0) {
				this.#watchOwnerSoon();
			}
		}, patienceMs);
	}

	/** Gives up the wishes at an owner that went silent. */
	async #watchOwner(): Promise<void> {
		const {clock, peers} = this.parts;
		const owner = this.parts.owner();
		const oldest = Math.min(...this.#asking.values());
		if (this.#isPinging || owner === undefined || clock.now() - oldest < patienceMs) {
			return;
		}

		this.#isPinging = true;
		try {
			// A renewal of no place only asks whether the owner is there
			await peers.get(owner).call(POOL_RENEW, {
				service: toId<ServiceName>(''), dataCentre: poolDataCentre, holder: this.parts.self, places: [],
			}, pingMs);
		} catch (error) {
			this.#downUntil = clock.now() + downMs;
			log('The pool\'s owner does not answer.', {owner, detail: (error as Error).message, waiting: this.#asking.size});
			for (const abort of this.#asking.keys()) {
				abort.abort();
			}
		} finally {
			this.#isPinging = false;
		}
	}
}
