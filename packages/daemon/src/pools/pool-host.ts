/** Runs the engine pools that this instance owns: answers peers, polls reports, frees orphaned memory. */
import {setTimeout as sleep} from 'node:timers/promises';
import {
	addMs, EnginePool, holdKey, POOL_PLACE, POOL_PREFILL_DONE, POOL_RELEASE, POOL_RENEW, POOL_TRANSFER_DONE,
} from '@baobabpier/core';
import type {
	CatalogueSnapshot,
	Clock,
	DataCentreId,
	EngineAddress,
	EngineEntry,
	EngineHold,
	EngineId,
	EngineReport,
	FencingToken,
	InstanceId,
	InstanceStatus,
	LatencyTargets,
	LearnedEstimates,
	ModelService,
	PlaceResponse,
	PlaceParams,
	PlacementPolicy,
	PoolEffect,
	PoolReleaseParams,
	PoolEvent,
	PoolTimings,
	ServiceName,
	ShareMap,
} from '@baobabpier/core';
import {createLog} from '../log.js';
import type {RpcServer} from '../rpc/rpc-server.js';
import {EngineSuspects} from './engine-suspects.js';
import {ReportPoller} from './report-poller.js';

const tickMs = 100;
/** How often waiting requests are looked at between events. */
const drainMs = 20;
/** How long askers wait for a new owner to give out places, in milliseconds: somewhat longer than it waits for holders. */
const grantWaitMs = 600;
const reportMs = 500;
const leaseMs = 5000;
const orphanMs = 6000;
const log = createLog('pool');

type HostedPool = {
	readonly service: ServiceName;
	readonly dataCentre: DataCentreId;
	readonly fencing: FencingToken;
	readonly pool: EnginePool;
	/** The service as the catalogue in force has it. */
	readonly current: {service: ModelService};
	engines: readonly EngineEntry[];
	readonly waiting: Map<string, (answer: PlaceResponse) => void>;
	/** Undefined where no engine is asked. */
	readonly reports: ReportPoller | undefined;
};

const poolKey = (service: ServiceName, dataCentre: DataCentreId): string => `${service}@${dataCentre}`;

const noOwner: PlaceResponse = {kind: 'refused', error: {kind: 'noBackend', detail: 'the pool has no owner here'}};

/** What a pool host needs. */
export type PoolHostParts = {
	readonly self: InstanceId;
	readonly clock: Clock;
	readonly shares: ShareMap;
	/** Makes the policy of one pool; the targets follow the catalogue in force. */
	readonly createPolicy: (targets: LatencyTargets, service: ServiceName) => PlacementPolicy;
	/** Undefined for pools that only count what their own instance does: no engine is asked, and no lease ends. */
	readonly engines: PoolEngineClient | undefined;
	/** Whether places may be given out, where an owner first lets holders of an earlier owner's places come forward. */
	readonly mayGrant?: () => boolean;
	/** Called with each place that is given out. */
	readonly onPlaced?: (service: ServiceName, promptTokens: number) => void;
	/** Leases of the places; those of a deployment whose engines report their holds by default. */
	readonly timings?: PoolTimings;
};

/** How a pool's owner reaches engines. */
export type PoolEngineClient = {
	/** An engine's account of its holds; undefined where engines give none or it can't be read. */
	fetchReport(engine: EngineEntry): Promise<EngineReport | 'unreachable' | undefined>;
	/** Frees a hold; resolves once it is free. */
	cancel(engine: EngineAddress, hold: EngineHold): Promise<void>;
};

/** The task that owns this instance's pools. */
export class PoolHost {
	readonly #pools = new Map<string, HostedPool>();
	readonly #timers: NodeJS.Timeout[] = [];
	#draining: NodeJS.Timeout | undefined;
	#leaving: ReadonlySet<EngineId> = new Set();
	readonly #suspects: EngineSuspects;
	#snapshot: CatalogueSnapshot | undefined;

	constructor(private readonly parts: PoolHostParts) {
		this.#suspects = new EngineSuspects(parts.clock, () => {
			this.#applyLeaving();
		});
	}

	/** Engines that get no new work. */
	get #unusable(): ReadonlySet<EngineId> {
		return new Set([...this.#leaving, ...this.#suspects.ids]);
	}

	/** Registers the pool methods and starts the timers. */
	start(server?: RpcServer): void {
		server?.registerMethod(POOL_PLACE, async (params, {signal}) => this.place(params, signal));
		server?.registerMethod(POOL_RELEASE, params => {
			this.#suspects.markUnreachable(params.unreachable ?? []);
			this.#judge(params);
			return this.#feed(params.service, params.dataCentre, {
				kind: 'release', hold: params, pace: params.pace, outputTokens: params.outputTokens,
			});
		});
		server?.registerMethod(POOL_PREFILL_DONE, params => this.#feed(params.service, params.dataCentre, {kind: 'prefillDone', hold: params}));
		server?.registerMethod(POOL_TRANSFER_DONE, params => this.#feed(params.service, params.dataCentre, {kind: 'transferDone', hold: params}));
		server?.registerMethod(POOL_RENEW, params => this.#feed(params.service, params.dataCentre, {kind: 'renew', holder: params.holder, places: params.places}));
		if (this.parts.engines === undefined) {
			return;
		}

		this.#timers.push(
			setInterval(() => {
				this.#tick();
			}, tickMs),
			setInterval(() => {
				for (const {reports, engines} of this.#pools.values()) {
					void reports?.poll(engines);
				}
			}, reportMs),
		);
	}

	stop(): void {
		clearTimeout(this.#draining);
		for (const timer of this.#timers) {
			clearInterval(timer);
		}
	}

	/** Brings the pools in line with a catalogue. */
	applyCatalogue(snapshot: CatalogueSnapshot): void {
		this.#snapshot = snapshot;
		for (const service of snapshot.services.values()) {
			if (service.kind === 'model') {
				this.#applyService(service);
			}
		}
	}

	/** Brings the pools in line with the shares that this instance holds now. */
	applyShares(): void {
		if (this.#snapshot !== undefined) {
			this.applyCatalogue(this.#snapshot);
		}
	}

	/** Takes the engines that the platform marks as leaving. */
	setLeaving(leaving: ReadonlySet<EngineId>): void {
		this.#leaving = leaving;
		this.#applyLeaving();
	}

	/** Waits for a place until there is one, the wait is over, or the asker goes. */
	async place(params: PlaceParams, signal: AbortSignal): Promise<PlaceResponse> {
		const mayGrant = await this.#mayGrantSoon(signal);
		const hosted = this.#pools.get(poolKey(params.service, params.dataCentre));
		if (hosted === undefined || !this.#holds(hosted) || !mayGrant) {
			return noOwner;
		}

		if (signal.aborted) {
			return {kind: 'refused', error: {kind: 'noBackend', detail: 'the asker is gone'}};
		}

		const now = this.parts.clock.now();
		return new Promise(resolve => {
			hosted.waiting.set(holdKey(params), answer => {
				if (answer.kind === 'placed') {
					this.parts.onPlaced?.(params.service, params.promptTokens);
				}

				resolve(answer);
			});
			signal.addEventListener('abort', () => {
				if (hosted.waiting.delete(holdKey(params))) {
					this.#perform(hosted, hosted.pool.step({kind: 'release', hold: params}, this.parts.clock.now()));
				}
			}, {once: true});
			this.#perform(hosted, hosted.pool.step({
				kind: 'place',
				req: {
					...params, deadline: addMs(now, params.waitMs), firstOutputDeadline: params.firstOutputMs === undefined ? undefined : addMs(now, params.firstOutputMs),
				},
			}, now));
		});
	}

	/** Feeds what became of a place that was asked for in this process. */
	applyEvent(pool: {readonly service: ServiceName; readonly dataCentre: DataCentreId}, event: PoolEvent): void {
		this.#feed(pool.service, pool.dataCentre, event);
	}

	/** What the pools of this instance learned, by service. */
	learnedEstimates(): ReadonlyMap<ServiceName, LearnedEstimates> {
		const held = [...this.#pools.values()].filter(hosted => this.#holds(hosted));
		return new Map(held.flatMap(({service, pool}) => pool.learned === undefined ? [] : [[service, pool.learned] as const]));
	}

	/** Learned rate at which a service's prefill engines read, in tokens per millisecond; undefined while it has no pool here. */
	prefillTokensPerMs(service: ServiceName): number | undefined {
		return [...this.#pools.values()].find(hosted => hosted.service === service)?.pool.prefillTokensPerMs;
	}

	/** The pools for the status report. */
	status(): InstanceStatus['pools'] {
		return [...this.#pools.values()].filter(hosted => this.#holds(hosted)).map(({service, dataCentre, pool}) => ({
			service,
			dataCentre,
			grants: pool.grants().length,
			engines: pool.views().map(({id, role, pieces, freePieces, leaving}) => ({
				id, role, pieces, freePieces, leaving,
			})),
		}));
	}

	/** Waits until places may be given out; false when that takes too long. Askers that decide alone meanwhile would collide. */
	async #mayGrantSoon(signal: AbortSignal): Promise<boolean> {
		const until = addMs(this.parts.clock.now(), grantWaitMs);
		while (this.parts.mayGrant?.() === false) {
			if (signal.aborted || this.parts.clock.now() >= until) {
				return false;
			}

			// eslint-disable-next-line no-await-in-loop
			await sleep(drainMs);
		}

		return true;
	}

	/** Judges engines by what holders met; where half of a pool would be out, the fault is taken to lie elsewhere. */
	#judge({service, dataCentre, failed = [], served = []}: PoolReleaseParams): void {
		for (const engine of served) {
			this.#suspects.recordSuccess(engine);
		}

		if (failed.length === 0) {
			return;
		}

		const suspects = this.#suspects.ids;
		const engines = this.#pools.get(poolKey(service, dataCentre))?.engines ?? [];
		if (engines.filter(({id}) => suspects.has(id)).length < engines.length / 2) {
			for (const engine of failed) {
				this.#suspects.recordFailure(engine);
			}
		}
	}

	#applyLeaving(): void {
		const leaving = this.#unusable;
		for (const hosted of this.#pools.values()) {
			this.#perform(hosted, hosted.pool.step({kind: 'engines', engines: hosted.engines, leaving}, this.parts.clock.now()));
		}
	}

	#applyService(service: ModelService): void {
		for (const dataCentre of new Set(service.engines.map(engine => engine.dataCentre))) {
			const key = poolKey(service.name, dataCentre);
			const fencing = this.#heldFencing(service.name, dataCentre);
			if (fencing === undefined) {
				this.#drop(key);
				continue;
			}

			if (this.#pools.get(key)?.fencing !== fencing) {
				this.#drop(key);
			}

			const engines = service.engines.filter(engine => engine.dataCentre === dataCentre);
			const hosted = this.#pools.get(key) ?? this.#createPool(service, dataCentre, fencing);
			hosted.current.service = service;
			hosted.engines = engines;
			this.#pools.set(key, hosted);
			this.#perform(hosted, hosted.pool.step({kind: 'engines', engines, leaving: this.#unusable}, this.parts.clock.now()));
			void hosted.reports?.poll(engines);
		}
	}

	#createPool(service: ModelService, dataCentre: DataCentreId, fencing: FencingToken): HostedPool {
		const current = {service};
		const policy = this.parts.createPolicy({
			get firstOutputMs() {
				return current.service.targets.firstOutputMs;
			},
			get betweenOutputsMs() {
				return current.service.targets.betweenOutputsMs;
			},
		}, service.name);
		const limits = {
			get queue() {
				return current.service.limits.queue;
			},
		};
		return {
			service: service.name,
			dataCentre,
			fencing,
			current,
			pool: new EnginePool(this.parts.self, policy, limits, this.parts.timings ?? {leaseMs, orphanTimeoutMs: orphanMs, adoptionGraceMs: leaseMs}),
			engines: [],
			waiting: new Map(),
			reports: this.#createPoller(poolKey(service.name, dataCentre)),
		};
	}

	#createPoller(key: string): ReportPoller | undefined {
		const {clock, engines} = this.parts;
		return engines === undefined
			? undefined
			: new ReportPoller({
				clock, engines, suspects: this.#suspects, onReport: report => {
					const hosted = this.#pools.get(key);
					if (hosted !== undefined) {
						this.#perform(hosted, hosted.pool.step({kind: 'report', report}, clock.now()));
					}
				},
			});
	}

	/** The number under which this instance holds a pool's engines now. */
	#heldFencing(service: ServiceName, dataCentre: DataCentreId): FencingToken | undefined {
		const id = {kind: 'engines', service, dataCentre} as const;
		const now = this.parts.clock.now();
		const {shares} = this.parts;
		// eslint-disable-next-line unicorn/no-array-callback-reference, unicorn/no-array-method-this-argument
		return shares.holds(id, now) ? shares.find(id, now)?.fencing : undefined;
	}

	#holds({service, dataCentre, fencing}: HostedPool): boolean {
		return this.#heldFencing(service, dataCentre) === fencing;
	}

	/** Forgets a pool that this instance no longer holds; those who wait ask its next owner. */
	#drop(key: string): void {
		const waiting = this.#pools.get(key)?.waiting.values() ?? [];
		this.#pools.delete(key);
		for (const resolve of waiting) {
			resolve(noOwner);
		}
	}

	#feed(service: ServiceName, dataCentre: DataCentreId, event: PoolEvent): Record<string, never> {
		const hosted = this.#pools.get(poolKey(service, dataCentre));
		if (hosted !== undefined) {
			this.#perform(hosted, hosted.pool.step(event, this.parts.clock.now()));
		}

		return {};
	}

	#tick(): void {
		this.#suspects.expire();
		for (const hosted of this.#pools.values()) {
			this.#perform(hosted, hosted.pool.step({kind: 'tick'}, this.parts.clock.now()));
		}
	}

	/** Looks at waiting requests again soon: time alone may let one start, or end its wait. */
	#drainSoon(): void {
		this.#draining ??= setTimeout(() => {
			this.#draining = undefined;
			for (const hosted of this.#pools.values()) {
				if (hosted.pool.waiting > 0) {
					// Where no timer ends waits, this does
					const kind = this.parts.engines === undefined ? 'tick' : 'drain';
					this.#perform(hosted, hosted.pool.step({kind}, this.parts.clock.now()));
				}
			}
		}, drainMs);
	}

	#perform(hosted: HostedPool, effects: readonly PoolEffect[]): void {
		if (hosted.pool.waiting > 0) {
			this.#drainSoon();
		}

		for (const effect of effects) {
			if (effect.kind === 'cancel') {
				void this.#cancel(hosted, effect.engine, effect.hold);
				continue;
			}

			const resolve = hosted.waiting.get(holdKey(effect.hold));
			hosted.waiting.delete(holdKey(effect.hold));
			if (effect.kind === 'refused') {
				resolve?.({kind: 'refused', error: effect.error});
				continue;
			}

			// The lease is checked right before the grant goes out
			resolve?.(this.#holds(hosted) ? {kind: 'placed', placement: effect.placement} : noOwner);
		}
	}

	async #cancel(hosted: HostedPool, engine: EngineAddress, hold: EngineHold): Promise<void> {
		log('Memory without a live holder is freed.', {engine: engine.id, requestId: hold.requestId, attempt: hold.attempt});
		await this.parts.engines?.cancel(engine, hold);
		this.#perform(hosted, hosted.pool.step({kind: 'freed', hold}, this.parts.clock.now()));
	}
}
