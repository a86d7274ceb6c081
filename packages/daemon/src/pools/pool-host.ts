/** Runs the engine pools that this instance owns: serves placement calls, polls engine reports and frees orphaned holds. */
import {setTimeout as sleep} from 'node:timers/promises';
import {
	addMs, EnginePool, holdKey, POOL_PLACE, POOL_PREFILL_DONE, POOL_RELEASE, POOL_RENEW, POOL_TRANSFER_DONE, reportIntervalMs, ReportRounds, softwareVersionOf,
} from '@baobabpier/core';
import type {
	CatalogueSnapshot,
	Clock,
	DataCentreId,
	EngineAddress,
	EngineAdmission,
	EngineEntry,
	EngineHold,
	EngineId,
	EngineReport,
	FencingToken,
	InstanceId,
	InstanceStatus,
	LatencyTargets,
	LearnedEstimates,
	MemoryDemand,
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
	SoftwareVersion,
} from '@baobabpier/core';
import {CountedLog} from '../counted-log.js';
import {createLog} from '../log.js';
import type {RpcServer} from '../rpc/rpc-server.js';
import {EngineSuspects} from './engine-suspects.js';
import {ReportPoller} from './report-poller.js';

const tickIntervalMs = 100;
/** Lateness of a tick from which it is logged, in milliseconds: callers ping an owner that has been silent for 150 ms. */
const lateTickMs = 100;
/** Interval in which a late tick is logged once, in milliseconds. */
const lateTickLogMs = 1000;
/** Interval at which queued requests are rechecked between events, in milliseconds. */
const drainIntervalMs = 20;
/** How long requests wait for a new owner to start granting, in milliseconds: somewhat longer than the owner waits for existing holders. */
const grantTimeoutMs = 600;
/** Interval at which some of the engines are asked for their reports, in milliseconds. */
const reportTurnMs = 50;
const leaseMs = 5000;
const orphanTimeoutMs = 6000;
const log = createLog('pool');

type HostedPool = {
	readonly service: ServiceName;
	readonly dataCentre: DataCentreId;
	readonly fencing: FencingToken;
	readonly pool: EnginePool;
	/** The service as defined by the current catalogue. */
	readonly current: {service: ModelService};
	engines: readonly EngineEntry[];
	readonly pending: Map<string, (response: PlaceResponse) => void>;
	/** Undefined for pools whose engines aren't polled. */
	readonly poller: ReportPoller | undefined;
	readonly reportRounds: ReportRounds<EngineEntry>;
};

const poolKey = (service: ServiceName, dataCentre: DataCentreId): string => `${service}@${dataCentre}`;

const notOwnerResponse: PlaceResponse = {kind: 'refused', error: {kind: 'noBackend', detail: 'this instance is not the owner of the pool'}};

/** Dependencies of a pool host. */
export type PoolHostParts = {
	readonly self: InstanceId;
	readonly clock: Clock;
	readonly shares: ShareMap;
	/** Creates the policy of one pool; the targets follow the current catalogue. */
	readonly createPolicy: (targets: LatencyTargets, service: ServiceName) => PlacementPolicy;
	/** Undefined for pools that track only the load of their own instance: engines aren't polled and leases don't expire. */
	readonly engines: PoolEngineClient | undefined;
	/** Engines that take a limited number of requests; all take any number without it. */
	readonly admission?: EngineAdmission;
	/** Whether placements may be granted; a new owner first waits until holders have renewed the placements of its predecessor. */
	readonly mayGrant?: () => boolean;
	/** Called for each granted placement. */
	readonly onPlaced?: (service: ServiceName, promptTokens: number, version: SoftwareVersion) => void;
	/** Lease timings of the placements; the default suits engines that report their holds. */
	readonly timings?: PoolTimings;
};

/** Calls that a pool's owner makes to engines. */
export type PoolEngineClient = {
	/** Fetches an engine's report of its holds; resolves to undefined when the engine has no report or it can't be parsed. */
	fetchReport(engine: EngineEntry): Promise<EngineReport | 'unreachable' | undefined>;
	/** Cancels a hold; resolves once its memory is free. */
	cancel(engine: EngineAddress, hold: EngineHold): Promise<void>;
};

/** Hosts the pools that this instance owns. */
export class PoolHost {
	readonly #pools = new Map<string, HostedPool>();
	readonly #timers: NodeJS.Timeout[] = [];
	#drainTimer: NodeJS.Timeout | undefined;
	#leaving: ReadonlySet<EngineId> = new Set();
	readonly #suspects: EngineSuspects;
	#snapshot: CatalogueSnapshot | undefined;
	#tickDueAt = Number.POSITIVE_INFINITY;
	readonly #lateTicks: CountedLog;

	constructor(private readonly parts: PoolHostParts) {
		this.#lateTicks = new CountedLog(log, 'The event loop is late.', () => parts.clock.now(), lateTickLogMs);
		this.#suspects = new EngineSuspects(parts.clock, () => {
			this.#applyExclusions();
		});
	}

	/** Engines that get no new requests: leaving or suspected. */
	get #excludedEngines(): ReadonlySet<EngineId> {
		return new Set([...this.#leaving, ...this.#suspects.ids]);
	}

	/** Registers the pool methods and starts the timers. */
	start(server?: RpcServer): void {
		server?.registerMethod(POOL_PLACE, async (params, {signal}) => this.place(params, signal));
		server?.registerMethod(POOL_RELEASE, params => {
			this.#suspects.markUnreachable(params.unreachable ?? []);
			this.#recordCallResults(params);
			this.parts.admission?.release(params.requestId);
			return this.#dispatchEvent(params.service, params.dataCentre, {
				kind: 'release', hold: params, pace: params.pace, outputTokens: params.outputTokens, rejectedBy: params.rejectedBy,
			});
		});
		server?.registerMethod(POOL_PREFILL_DONE, params => this.#dispatchEvent(params.service, params.dataCentre, {kind: 'prefillDone', hold: params, sinceGrantMs: params.sinceGrantMs}));
		server?.registerMethod(POOL_TRANSFER_DONE, params => this.#dispatchEvent(params.service, params.dataCentre, {kind: 'transferDone', hold: params, sinceGrantMs: params.sinceGrantMs}));
		server?.registerMethod(POOL_RENEW, params => this.#dispatchEvent(params.service, params.dataCentre, {kind: 'renew', holder: params.holder, places: params.places}));
		if (this.parts.engines === undefined) {
			return;
		}

		this.#timers.push(
			setInterval(() => {
				this.#tick();
			}, tickIntervalMs),
			setInterval(() => {
				this.#requestReports();
			}, reportTurnMs),
		);
	}

	stop(): void {
		clearTimeout(this.#drainTimer);
		for (const timer of this.#timers) {
			clearInterval(timer);
		}
	}

	/** Creates, updates and removes pools to match a catalogue. */
	applyCatalogue(snapshot: CatalogueSnapshot): void {
		this.#snapshot = snapshot;
		for (const service of snapshot.services.values()) {
			if (service.kind === 'model') {
				this.#applyService(service);
			}
		}
	}

	/** Creates, updates and removes pools to match the shares that this instance holds now. */
	applyShares(): void {
		if (this.#snapshot !== undefined) {
			this.applyCatalogue(this.#snapshot);
		}
	}

	/** Sets the engines that the platform marks as leaving. */
	setLeaving(leaving: ReadonlySet<EngineId>): void {
		this.#leaving = leaving;
		this.#applyExclusions();
	}

	/** Requests a placement; waits until it is granted or refused, or the request is aborted. */
	async place(params: PlaceParams, signal: AbortSignal): Promise<PlaceResponse> {
		const mayGrant = await this.#waitUntilGrantable(signal);
		const hosted = this.#pools.get(poolKey(params.service, params.dataCentre));
		if (hosted === undefined || !this.#isOwner(hosted) || !mayGrant) {
			return notOwnerResponse;
		}

		if (signal.aborted) {
			return {kind: 'refused', error: {kind: 'noBackend', detail: 'the request was aborted'}};
		}

		const now = this.parts.clock.now();
		return new Promise(resolve => {
			const abandon = (): void => {
				if (hosted.pending.delete(holdKey(params))) {
					this.#applyEffects(hosted, hosted.pool.step({kind: 'release', hold: params}, this.parts.clock.now()));
				}
			};

			hosted.pending.set(holdKey(params), response => {
				// A call may ask for many placements under one signal
				signal.removeEventListener('abort', abandon);
				if (response.kind === 'placed') {
					this.parts.onPlaced?.(params.service, params.promptTokens, softwareVersionOf(response.placement));
				}

				resolve(response);
			});
			signal.addEventListener('abort', abandon, {once: true});
			this.#applyEffects(hosted, hosted.pool.step({
				kind: 'place',
				req: {
					...params, deadline: addMs(now, params.waitMs), firstOutputDeadline: params.firstOutputMs === undefined ? undefined : addMs(now, params.firstOutputMs),
				},
			}, now));
		});
	}

	/** Applies an event of a placement that was requested in this process. */
	applyEvent(pool: {readonly service: ServiceName; readonly dataCentre: DataCentreId}, event: PoolEvent): void {
		this.#dispatchEvent(pool.service, pool.dataCentre, event);
	}

	/** Returns the estimates that the pools of this instance have learned, by service. */
	learnedEstimates(): ReadonlyMap<ServiceName, LearnedEstimates> {
		const owned = [...this.#pools.values()].filter(hosted => this.#isOwner(hosted));
		return new Map(owned.flatMap(({service, pool}) => pool.learned === undefined ? [] : [[service, pool.learned] as const]));
	}

	/** Returns the learned prefill rate of a service's engines, in tokens per millisecond; undefined while this instance has no pool of it. */
	prefillTokensPerMs(service: ServiceName): number | undefined {
		return [...this.#pools.values()].find(hosted => hosted.service === service)?.pool.prefillTokensPerMs;
	}

	/** Returns the memory pieces that a stream of a service is expected to need; `pieces` of the demand while this instance has no pool of it. */
	expectedPieces(service: ServiceName, demand: MemoryDemand): number {
		return [...this.#pools.values()].find(hosted => hosted.service === service)?.pool.expectedPieces(demand) ?? demand.pieces;
	}

	/** Returns the pools for the status report. */
	status(): InstanceStatus['pools'] {
		return [...this.#pools.values()].filter(hosted => this.#isOwner(hosted)).map(({service, dataCentre, pool}) => ({
			service,
			dataCentre,
			grants: pool.grants().length,
			engines: pool.views().map(({id, role, pieces, freePieces, leaving, softwareVersion}) => ({
				id, role, pieces, freePieces, leaving, softwareVersion,
			})),
		}));
	}

	/** Waits until placements may be granted; resolves to false on a timeout. If callers chose engines on their own meanwhile, their choices would conflict. */
	async #waitUntilGrantable(signal: AbortSignal): Promise<boolean> {
		const deadline = addMs(this.parts.clock.now(), grantTimeoutMs);
		while (this.parts.mayGrant?.() === false) {
			if (signal.aborted || this.parts.clock.now() >= deadline) {
				return false;
			}

			// eslint-disable-next-line no-await-in-loop
			await sleep(drainIntervalMs);
		}

		return true;
	}

	/** Records call results that holders report. When at least half of a pool is already suspected, further failures are attributed to another cause and ignored. */
	#recordCallResults({service, dataCentre, failed = [], served = []}: PoolReleaseParams): void {
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

	#applyExclusions(): void {
		const leaving = this.#excludedEngines;
		for (const hosted of this.#pools.values()) {
			this.#applyEffects(hosted, hosted.pool.step({kind: 'engines', engines: hosted.engines, leaving}, this.parts.clock.now()));
		}
	}

	#applyService(service: ModelService): void {
		for (const dataCentre of new Set(service.engines.map(engine => engine.dataCentre))) {
			const key = poolKey(service.name, dataCentre);
			const fencing = this.#findOwnedFencingToken(service.name, dataCentre);
			if (fencing === undefined) {
				this.#removePool(key);
				continue;
			}

			if (this.#pools.get(key)?.fencing !== fencing) {
				this.#removePool(key);
			}

			const engines = service.engines.filter(engine => engine.dataCentre === dataCentre);
			const hosted = this.#pools.get(key) ?? this.#createPool(service, dataCentre, fencing);
			const known = new Map(hosted.engines.map(({id, address}) => [id, address]));
			hosted.current.service = service;
			hosted.engines = engines;
			this.#pools.set(key, hosted);
			this.#applyEffects(hosted, hosted.pool.step({kind: 'engines', engines, leaving: this.#excludedEngines}, this.parts.clock.now()));
			void hosted.poller?.poll(engines.filter(({id, address}) => known.get(id) !== address), engines.length);
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
			pool: new EnginePool(this.parts.self, policy, limits, this.parts.timings ?? {leaseMs, orphanTimeoutMs, adoptionGraceMs: leaseMs}, this.parts.admission),
			engines: [],
			pending: new Map(),
			poller: this.#createPoller(poolKey(service.name, dataCentre)),
			reportRounds: new ReportRounds(),
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
						this.#applyEffects(hosted, hosted.pool.step({kind: 'report', report}, clock.now()));
					}
				},
			});
	}

	/** Returns the fencing token under which this instance owns a pool now. */
	#findOwnedFencingToken(service: ServiceName, dataCentre: DataCentreId): FencingToken | undefined {
		const id = {kind: 'engines', service, dataCentre} as const;
		const now = this.parts.clock.now();
		const {shares} = this.parts;
		// eslint-disable-next-line unicorn/no-array-callback-reference, unicorn/no-array-method-this-argument
		return shares.holds(id, now) ? shares.find(id, now)?.fencing : undefined;
	}

	#isOwner({service, dataCentre, fencing}: HostedPool): boolean {
		return this.#findOwnedFencingToken(service, dataCentre) === fencing;
	}

	/** Removes a pool that this instance no longer owns and refuses its queued requests, which are then sent to the next owner. */
	#removePool(key: string): void {
		const pending = this.#pools.get(key)?.pending.values() ?? [];
		this.#pools.delete(key);
		for (const resolve of pending) {
			resolve(notOwnerResponse);
		}
	}

	#dispatchEvent(service: ServiceName, dataCentre: DataCentreId, event: PoolEvent): Record<string, never> {
		const hosted = this.#pools.get(poolKey(service, dataCentre));
		if (hosted !== undefined) {
			this.#applyEffects(hosted, hosted.pool.step(event, this.parts.clock.now()));
			if (event.kind === 'release') {
				this.#endReleased(hosted, event.hold);
			}
		}

		return {};
	}

	/** Responds to a request that its holder has released before it was granted: its call is aborted, and the connection is kept until the response. */
	#endReleased({pending}: HostedPool, hold: EngineHold): void {
		const resolve = pending.get(holdKey(hold));
		pending.delete(holdKey(hold));
		resolve?.({kind: 'refused', error: {kind: 'noBackend', detail: 'the request was released'}});
	}

	/** Requests the reports of the engines whose turn it is. */
	#requestReports(): void {
		const pools = [...this.#pools.values()];
		const intervalMs = reportIntervalMs(pools.reduce((sum, {engines}) => sum + engines.length, 0));
		for (const {poller, reportRounds, engines} of pools) {
			void poller?.poll(reportRounds.next(engines, reportTurnMs, intervalMs), engines.length);
		}
	}

	#tick(): void {
		this.#recordLateness();
		this.#suspects.expire();
		for (const hosted of this.#pools.values()) {
			this.#applyEffects(hosted, hosted.pool.step({kind: 'tick'}, this.parts.clock.now()));
		}
	}

	/** Logs that this process could not answer calls in time, which looks like a lost owner to its callers. */
	#recordLateness(): void {
		const now = this.parts.clock.now();
		const lateMs = now - this.#tickDueAt;
		this.#tickDueAt = now + tickIntervalMs;
		if (lateMs >= lateTickMs) {
			this.#lateTicks.add({lateMs: Math.round(lateMs), pools: this.#pools.size});
		}
	}

	/** Schedules a recheck of queued requests: one may become placeable or time out without any event. */
	#scheduleDrain(): void {
		this.#drainTimer ??= setTimeout(() => {
			this.#drainTimer = undefined;
			for (const hosted of this.#pools.values()) {
				if (hosted.pool.waiting > 0) {
					// Without engines no tick timer runs, so this ends expired waits
					const kind = this.parts.engines === undefined ? 'tick' : 'drain';
					this.#applyEffects(hosted, hosted.pool.step({kind}, this.parts.clock.now()));
				}
			}
		}, drainIntervalMs);
	}

	#applyEffects(hosted: HostedPool, effects: readonly PoolEffect[]): void {
		if (hosted.pool.waiting > 0) {
			this.#scheduleDrain();
		}

		for (const effect of effects) {
			if (effect.kind === 'cancel') {
				void this.#cancel(hosted, effect.engine, effect.hold);
				continue;
			}

			const resolve = hosted.pending.get(holdKey(effect.hold));
			hosted.pending.delete(holdKey(effect.hold));
			if (effect.kind === 'refused') {
				resolve?.({kind: 'refused', error: effect.error});
				continue;
			}

			// Ownership is checked immediately before the grant is sent
			resolve?.(this.#isOwner(hosted) ? {kind: 'placed', placement: effect.placement} : notOwnerResponse);
		}
	}

	async #cancel(hosted: HostedPool, engine: EngineAddress, hold: EngineHold): Promise<void> {
		log('Memory without a live holder is freed.', {engine: engine.id, requestId: hold.requestId, attempt: hold.attempt});
		await this.parts.engines?.cancel(engine, hold);
		this.#applyEffects(hosted, hosted.pool.step({kind: 'freed', hold}, this.parts.clock.now()));
	}
}
