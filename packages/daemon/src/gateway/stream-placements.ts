/** Placements of streams on engines: by the pool's owner, or by this instance's local state while the owner is unavailable. */
import {
	countPieces, OwnerBackoff, POOL_RENEW, routerError, toId,
} from '@baobabpier/core';
import type {
	AttemptNumber, Clock, EngineAddress, EngineHold, EngineId, HeldPlacement, Instant, InstanceId, ModelService, PlaceResponse, Placement, PlaceParams, RandomSource, RouterError, ServiceName, SoftwareVersion,
} from '@baobabpier/core';
import {createLog} from '../log.js';
import type {PlacementClient, PoolAddress, ReleaseDetails} from '../pools/placement-client.js';
import type {PoolHost} from '../pools/pool-host.js';
import type {Peers} from '../rpc/peers.js';
import type {CallScope} from './call-scope.js';
import type {StreamProgress} from './stream-progress.js';
import {pieceTokens, poolDataCentre} from './model-services.js';
import {priorityOf} from './types.js';
import type {Call} from './types.js';

const log = createLog('places');
/** Time without a response after which the owner is pinged, in milliseconds. */
const pingAfterMs = 150;
/** Timeout of a ping to the owner, in milliseconds. */
const pingTimeoutMs = 250;
/** Fraction of the callers' wait for an event that may be spent waiting for a placement: the rest is for the read of the prompt. */
const waitFraction = 0.75;
/** Callers' timeout for a silent stream, in multiples of the first event's target latency; the platform's clients use this factor. */
const callerTimeoutTargets = 4;
/** Why a call is refused whose service has engines, none of which takes work. */
const allUnavailable = 'every engine leaves, asks for time or has used up its limit';
/** Attempt numbers of placements that the owner did not grant start after this one, far above the rounds of a call. */
const localAttemptBase = 1000;

/** Facts about the use of a placement, reported at its release. */
export type PlacementUsage = Omit<ReleaseDetails, 'outputTokens'> & {
	/** Number of events of a completed stream; undefined for an incomplete one. */
	readonly events: number | undefined;
};

/** A placement on engines, held until it is released. */
export type StreamPlacement = {
	readonly decode: EngineAddress;
	readonly prefill: EngineAddress;
	/** Whether the pool's owner granted it; the owner has the state of all placements in the pool. */
	readonly isFromOwner: boolean;
	/** Reports that the decode engine has leased memory for the stream. */
	leased(): void;
	/** Reports that the prefill engine is free for the next prefill. */
	prefillDone(): void;
	/** Reports that the KV cache has reached the decode engine. */
	transferDone(): void;
	/** Reports that the stream has moved to another decode engine. */
	moveTo(decode: EngineAddress): void;
	/** Releases the placement and reports the failures, successes and pace seen on its engines. */
	release(facts: PlacementUsage): void;
};

/** Result of a placement request. */
export type PlacementOutcome =
	| {readonly kind: 'placed'; readonly placement: StreamPlacement}
	| {readonly kind: 'refused'; readonly error: RouterError};

/** Dependencies of the stream placements. */
export type StreamPlacementsParts = {
	readonly self: InstanceId;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly peers: Peers;
	/** Sends placement requests to the pool's owner. */
	readonly client: PlacementClient;
	/** Decides on placements by this instance's local state only. */
	readonly localPool: PoolHost;
	readonly owner: () => InstanceId | undefined;
	readonly modelService: (name: ServiceName) => ModelService | undefined;
	/** Number of output tokens in one event of a service's streams. */
	readonly tokensPerEvent: (name: ServiceName) => number | undefined;
	/** Fraction of the maximum output tokens that running streams are expected to hold in memory. */
	readonly outputPart: number;
	readonly usableEngines: (service: ServiceName) => ReadonlySet<EngineId>;
	/** Time until a decode engine of a service gets new work, in milliseconds; 0 unless all of them leave, ask for time or have used up their limit. */
	readonly unavailableForMs: (service: ServiceName) => number;
};

/** A stream's request for a placement. */
export type StreamPlacementRequest = {
	readonly call: Call;
	readonly service: ServiceName;
	/** Number of this placement request within the call. */
	readonly round: number;
	readonly excluded: ReadonlySet<EngineId>;
	/** Further engines to avoid. */
	readonly avoided: readonly EngineId[];
	readonly scope: CallScope;
	/** The only software version whose engines may serve it; undefined for a new stream. */
	readonly softwareVersion: SoftwareVersion | undefined;
};

/** A placement request that waits for its response. */
type PendingRequest = {
	readonly service: ServiceName;
	readonly since: Instant;
	readonly isAtOwner: boolean;
};

type PlacementRequestParams = Omit<PlaceParams, 'dataCentre' | 'holder' | 'service'>;

/**
 * The place of a stream among those that wait. An urgent stream that can't begin in time is refused. Where teams compete, streams of all priorities may
 * begin late instead, in the order of their priorities.
 */
const rankOf = (call: Call): Pick<PlacementRequestParams, 'class' | 'priority' | 'team'> => {
	const {sender} = call;
	const priority = priorityOf(call);
	return sender === undefined
		? {class: priority === 0 ? 'urgent' : 'patient'}
		: {class: 'patient', priority, team: sender.team?.name};
};

/** Requests, records and releases placements on behalf of streams. */
export class StreamPlacements {
	readonly #pending = new Map<AbortController, PendingRequest>();
	#timer: NodeJS.Timeout | undefined;
	readonly #backoff: OwnerBackoff;
	#isPinging = false;
	#localAttempts = localAttemptBase;

	constructor(private readonly parts: StreamPlacementsParts) {
		this.#backoff = new OwnerBackoff(parts.random);
	}

	stop(): void {
		clearTimeout(this.#timer);
	}

	/** Reports the placements held to a new owner and sends requests to it from now on. */
	handleOwnerChange(): void {
		this.#backoff.reset();
		void this.parts.client.renew();
	}

	/** Ends the waits for a placement on services whose engines all leave, ask for time or have used up their limit: their callers are refused at once. */
	handleAvailabilityChange(): void {
		for (const [abort, {service}] of this.#pending) {
			if (this.parts.unavailableForMs(service) > 0) {
				abort.abort();
			}
		}
	}

	/** Time for which a call that has had no event may wait for a placement, in milliseconds. */
	maxWaitMs(call: Call, scope: CallScope): number {
		return Math.max(0, Math.min(scope.remainingMs(), (call.route.targetLatencyMs * callerTimeoutTargets * waitFraction) - (this.parts.clock.now() - call.arrivedAt)));
	}

	/** Requests a placement and waits until it is granted or refused. */
	async place(request: StreamPlacementRequest): Promise<PlacementOutcome> {
		return this.#place(request, this.#paramsOf(request));
	}

	/** Requests a placement at an engine that recomputes the prompt and the events already sent, without delaying its other streams too long. */
	async placeResumed(request: StreamPlacementRequest, {events, lastEventAt}: Pick<StreamProgress, 'events' | 'lastEventAt'>): Promise<PlacementOutcome> {
		const {call, scope} = request;
		const sentTokens = this.#tokensOf(request.service, events);
		const promptTokens = call.promptTokens + sentTokens;
		const maxTokens = Math.max(0, call.maxTokens - sentTokens);
		return this.#place(request, {
			...this.#paramsOf(request),
			promptTokens,
			maxTokens,
			pieces: this.#piecesOf(promptTokens, maxTokens),
			readsDirectly: true,
			waitMs: Math.max(0, Math.min(scope.remainingMs(), (call.route.targetLatencyMs * callerTimeoutTargets * waitFraction) - (this.parts.clock.now() - (lastEventAt ?? call.arrivedAt)))),
			firstOutputMs: undefined,
		});
	}

	/** Records a stream on an engine that granted a lease for it itself. */
	recordLeased({requestId, promptTokens, maxTokens}: Call, service: ServiceName, engine: EngineAddress): StreamPlacement {
		const pool = {service, dataCentre: poolDataCentre};
		const placement = this.#createPlacement(pool, {requestId, attempt: this.#nextLocalAttempt()}, {decode: engine, prefill: engine, pieces: this.#piecesOf(promptTokens, maxTokens)}, false);
		placement.moveTo(engine);
		return placement;
	}

	/** Returns the tokens that a stream is expected to hold while it runs, by what this instance's own streams have shown. */
	expectedTokens(service: ServiceName, {promptTokens, maxTokens}: Pick<Call, 'maxTokens' | 'promptTokens'>): number {
		return pieceTokens * this.parts.localPool.expectedPieces(service, {promptTokens, maxTokens, pieces: this.#piecesOf(promptTokens, maxTokens)});
	}

	/** Returns the expected number of memory pieces of a stream; the pool's owner, which sees more streams, may estimate another number. */
	#piecesOf(promptTokens: number, maxTokens: number): number {
		return countPieces(promptTokens + Math.ceil(maxTokens * this.parts.outputPart), pieceTokens);
	}

	#tokensOf(service: ServiceName, events: number): number {
		return events * (this.parts.tokensPerEvent(service) ?? 1);
	}

	async #place({service: name, scope}: StreamPlacementRequest, params: PlacementRequestParams): Promise<PlacementOutcome> {
		const service = this.parts.modelService(name);
		if (service === undefined) {
			return {kind: 'refused', error: routerError('noBackend', `no engine of ${name} is listed`)};
		}

		const refusal = this.#findRefusal(name);
		if (refusal !== undefined) {
			return refusal;
		}

		const isOwnerUnavailable = this.parts.owner() === undefined || this.#backoff.isActive(this.parts.clock.now());
		const outcome = isOwnerUnavailable ? undefined : await this.#placeAtOwner(service, params, scope);
		return outcome ?? this.#findRefusal(name) ?? this.#placeLocally(service, params, scope);
	}

	/** The refusal of a placement where every decode engine leaves, asks for time or has used up its limit; undefined otherwise. */
	#findRefusal(service: ServiceName): Extract<PlacementOutcome, {kind: 'refused'}> | undefined {
		return this.parts.unavailableForMs(service) > 0 ? {kind: 'refused', error: routerError('noBackend', allUnavailable)} : undefined;
	}

	/** Runs a request that ends when its call ends, or when every engine of its service leaves, asks for time or has used up its limit. */
	async #withAbort<Result>(pending: PendingRequest, scope: CallScope, send: (signal: AbortSignal) => Promise<Result>): Promise<Result> {
		const abort = new AbortController();
		const end = (): void => {
			abort.abort();
		};

		scope.signal.addEventListener('abort', end, {once: true});
		this.#pending.set(abort, pending);
		try {
			return await send(abort.signal);
		} finally {
			this.#pending.delete(abort);
			scope.signal.removeEventListener('abort', end);
		}
	}

	/** The engines to avoid; none where no other decode engine would be left. */
	#avoidable({service, excluded, avoided}: StreamPlacementRequest): readonly EngineId[] {
		if (avoided.length === 0) {
			return avoided;
		}

		const usable = this.parts.usableEngines(service);
		const others = (this.parts.modelService(service)?.engines ?? []).filter(({id, role}) => role === 'decode' && usable.has(id) && !excluded.has(id) && !avoided.includes(id));
		return others.length > 0 ? avoided : [];
	}

	#paramsOf(request: StreamPlacementRequest): PlacementRequestParams {
		const {
			call, round, excluded, scope, softwareVersion,
		} = request;
		const {clock} = this.parts;
		const dueMs = call.arrivedAt + call.route.targetLatencyMs - clock.now();
		return {
			requestId: call.requestId,
			attempt: toId<AttemptNumber>(round),
			...rankOf(call),
			promptTokens: call.promptTokens,
			maxTokens: call.maxTokens,
			pieces: this.#piecesOf(call.promptTokens, call.maxTokens),
			prefix: '',
			waitMs: this.maxWaitMs(call, scope),
			firstOutputMs: Math.max(0, dueMs),
			steadyGapMs: call.route.targetGapMs,
			softwareVersion,
			excluded: [...new Set([...excluded, ...this.#avoidable(request)])],
		};
	}

	/** Requests a placement from the owner; undefined when the owner does not respond or has no suitable engine. */
	async #placeAtOwner(service: ModelService, params: PlacementRequestParams, scope: CallScope): Promise<PlacementOutcome | undefined> {
		const {response: answer, pool} = await this.#withAbort({service: service.name, since: this.parts.clock.now(), isAtOwner: true}, scope, async signal => {
			this.#scheduleOwnerCheck();
			return this.parts.client.place(service, params, signal);
		});
		if (answer.kind === 'placed') {
			return {kind: 'placed', placement: this.#createOwnerPlacement(answer, pool!, params)};
		}

		return answer.error.kind === 'noBackend' && scope.reason === undefined ? undefined : {kind: 'refused', error: answer.error};
	}

	#createOwnerPlacement({placement}: Extract<PlaceResponse, {kind: 'placed'}>, pool: PoolAddress, {requestId, attempt}: PlacementRequestParams): StreamPlacement {
		const {client} = this.parts;
		const hold = {requestId, attempt};
		this.#recordLocally(pool, {...hold, decode: placement.decode, pieces: placement.pieces});
		return {
			...this.#createPlacement(pool, hold, placement, true),
			prefillDone() {
				void client.prefillDone(pool, hold);
			},
			transferDone() {
				void client.transferDone(pool, hold);
			},
		};
	}

	async #placeLocally(service: ModelService, params: PlacementRequestParams, scope: CallScope): Promise<PlacementOutcome> {
		const {localPool, self} = this.parts;
		const pool = {service: service.name, dataCentre: poolDataCentre};
		const usable = this.parts.usableEngines(service.name);
		const excluded = [...params.excluded, ...service.engines.map(({id}) => id).filter(id => !usable.has(id))];
		const hold = {requestId: params.requestId, attempt: this.#nextLocalAttempt()};
		const answer = await this.#withAbort({service: service.name, since: this.parts.clock.now(), isAtOwner: false}, scope, async signal => localPool.place({
			...params, ...hold, ...pool, excluded, holder: self,
		}, signal));
		log('A place was sought without the pool\'s owner.', {requestId: params.requestId, outcome: answer.kind});
		if (answer.kind === 'refused') {
			return answer;
		}

		return {kind: 'placed', placement: this.#createPlacement(pool, hold, answer.placement, false)};
	}

	/**
	 * Creates a placement. The owner learns of one that it did not grant once an engine has room for the stream: an owner that has fallen behind
	 * would otherwise get two notifications for each engine that has none.
	 */
	#createPlacement(pool: PoolAddress, hold: EngineHold, {decode, prefill, pieces}: Pick<Placement, 'decode' | 'prefill' | 'pieces'>, isFromOwner: boolean): StreamPlacement {
		const {localPool, client} = this.parts;
		const tokensOf = this.#tokensOf.bind(this);
		let isKnown = isFromOwner;
		const register = (to: EngineAddress): void => {
			isKnown = true;
			void client.registerHold(pool, {...hold, decode: to, pieces});
		};

		return {
			decode,
			prefill,
			leased() {
				if (!isKnown) {
					register(decode);
				}
			},
			prefillDone() {
				localPool.applyEvent(pool, {kind: 'prefillDone', hold});
			},
			transferDone() {
				localPool.applyEvent(pool, {kind: 'transferDone', hold});
			},
			moveTo: (to: EngineAddress) => {
				this.#recordLocally(pool, {...hold, decode: to, pieces});
				register(to);
			},
			release({events, ...facts}) {
				const {pace, rejectedBy, failed = [], unreachable = []} = facts;
				const outputTokens = events === undefined ? undefined : tokensOf(pool.service, events);
				localPool.applyEvent(pool, {
					kind: 'release', hold, pace, outputTokens, rejectedBy,
				});
				if (isKnown || failed.length > 0 || unreachable.length > 0) {
					void client.release(pool, {
						...hold, ...facts, outputTokens,
					});
				}
			},
			isFromOwner,
		};
	}

	/** Records a placement in the local pool, which decides while the owner is unavailable. */
	#recordLocally(pool: PoolAddress, placement: HeldPlacement): void {
		this.parts.localPool.applyEvent(pool, {kind: 'renew', holder: this.parts.self, places: [placement]});
	}

	/** Returns an attempt number for a placement that the owner did not grant: the owner may have granted one whose response was lost. */
	#nextLocalAttempt(): AttemptNumber {
		this.#localAttempts += 1;
		return toId<AttemptNumber>(this.#localAttempts);
	}

	/** Checks the owner periodically while requests to it are pending. */
	#scheduleOwnerCheck(): void {
		this.#timer ??= setTimeout(() => {
			this.#timer = undefined;
			void this.#checkOwner();
			if (this.#pendingAtOwner().length > 0) {
				this.#scheduleOwnerCheck();
			}
		}, pingAfterMs);
	}

	#pendingAtOwner(): ReadonlyArray<readonly [AbortController, PendingRequest]> {
		return [...this.#pending].filter(([, {isAtOwner}]) => isAtOwner);
	}

	/** Aborts the pending requests when the owner does not respond to a ping. */
	async #checkOwner(): Promise<void> {
		const {clock, peers} = this.parts;
		const owner = this.parts.owner();
		const pending = this.#pendingAtOwner();
		const oldest = Math.min(...pending.map(([, {since}]) => since));
		if (this.#isPinging || owner === undefined || clock.now() - oldest < pingAfterMs) {
			return;
		}

		this.#isPinging = true;
		try {
			// A renewal without placements serves as a ping
			await peers.get(owner).call(POOL_RENEW, {
				service: toId<ServiceName>(''), dataCentre: poolDataCentre, holder: this.parts.self, places: [],
			}, pingTimeoutMs);
		} catch (error) {
			const forMs = this.#backoff.recordFailure(clock.now());
			log('The pool\'s owner does not answer.', {
				owner, detail: (error as Error).message, waiting: pending.length, forMs: Math.round(forMs),
			});
			for (const [abort] of this.#pendingAtOwner()) {
				abort.abort();
			}
		} finally {
			this.#isPinging = false;
		}
	}
}
