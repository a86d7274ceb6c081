/** Entry instances that ask the owners of engine pools for places: drives the real `EnginePool`. */
import {
	addMs, EnginePool, holdKey, toHold, toId,
} from '@baobabpier/core';
import type {
	AttemptNumber,
	DataCentreId,
	EngineEntry,
	EngineHold,
	EngineId,
	HeldPlacement,
	InstanceId,
	Placement,
	PlacementPolicy,
	PlacementRequest,
	PoolEffect,
	PoolEvent,
	RequestId,
	RouterError,
	ServiceName,
} from '@baobabpier/core';
import {createReport} from './engine-report.js';
import type {FakeDecodeEngine, FakePrefillEngine} from './fake-engines.js';
import type {
	Entry, Flight, Router, World,
} from './world.js';

const leaseMs = 5000;
const orphanMs = 6000;
const adoptMs = 2500;
const renewMs = 1000;
const reportMs = 500;
const tickMs = 100;
const drainMs = 20;
const maxAttempts = 3;
/** The part of the time to the first output that may be waited near by before the other data centres are asked. */
const shortWaitPart = 0.05;

/** The engines that one owner hands out. */
export type PoolPlan = {
	readonly dataCentre: number;
	/** Index of the owning instance. */
	readonly owner: number;
	/** Whether the order of pools starts here for this entry instance. */
	readonly isHome: (entry: Entry) => boolean;
	/** Part of each decode engine's pieces that this pool may hand out. */
	readonly part: number;
	readonly prefills: readonly FakePrefillEngine[];
	readonly decodes: readonly FakeDecodeEngine[];
};

type Answer = {readonly kind: 'placed'; readonly placement: Placement} | {readonly kind: 'refused'; readonly error: RouterError};

type Pool = {
	readonly plan: PoolPlan;
	owner: Entry;
	pool: EnginePool;
	readonly unlisted: Set<string>;
	readonly waiting: Map<string, (answer: Answer) => void>;
};

/** One round of asking the pools in turn. */
type Round = {
	readonly pools: readonly Pool[];
	readonly excluded: readonly EngineId[];
	readonly acceptWaitMs: number | undefined;
	readonly refused: (pool: Pool, error: RouterError) => void;
	readonly exhausted: () => void;
};

type Attempt = {
	readonly flight: Flight;
	readonly entry: Entry;
	readonly hold: EngineHold;
	readonly excluded: readonly EngineId[];
	readonly pool: Pool;
	readonly placement: Placement;
	readonly outputsBefore: number;
	startedAt: number | undefined;
};

const service = toId<ServiceName>('model');

/** Routes flights through pools with owners. */
export class OwnedRouter implements Router {
	readonly #pools: Pool[];
	readonly #held = new Map<string, Attempt>();

	constructor(private readonly world: World, plans: readonly PoolPlan[], private readonly createPolicy: () => PlacementPolicy) {
		this.#pools = plans.map(plan => ({
			plan, owner: world.entries[plan.owner]!, pool: this.#createPool(plan, undefined), unlisted: new Set(), waiting: new Map(),
		}));
		for (const pool of this.#pools) {
			this.#setEngines(pool);
			world.events.repeat(tickMs, world.endMs, () => {
				this.#step(pool, {kind: 'tick'});
			});
			world.events.repeat(drainMs, world.endMs, () => {
				this.#step(pool, {kind: 'drain'});
			});
			world.events.repeat(reportMs, world.endMs, () => {
				this.#report(pool);
			});
		}

		world.events.repeat(renewMs, world.endMs, () => {
			this.#renew();
		});
	}

	/** Engines looked at by all decisions so far. */
	get examinedEngines(): number {
		return this.#pools.reduce((sum, {pool}) => sum + pool.examinedEngines, 0);
	}

	arrive(flight: Flight, entry: Entry): void {
		this.#place(flight, entry, 1, []);
	}

	engineUnlisted(engine: string): void {
		for (const pool of this.#pools) {
			pool.unlisted.add(engine);
			this.#setEngines(pool);
		}
	}

	instanceLost(entry: Entry, takeoverMs: number): void {
		const lost = this.#pools.filter(({owner}) => owner === entry);
		for (const pool of lost) {
			const waiting = [...pool.waiting.values()];
			pool.waiting.clear();
			for (const answer of waiting) {
				answer({kind: 'refused', error: {kind: 'noBackend'}});
			}

			this.world.events.schedule(takeoverMs, () => {
				pool.owner = this.world.entries.find(other => other.alive && other.dataCentre === pool.plan.dataCentre) ?? this.world.entries.find(({alive}) => alive)!;
				pool.pool = this.#createPool(pool.plan, adoptMs);
				this.#setEngines(pool);
			});
		}
	}

	#createPool(plan: PoolPlan, adopt: number | undefined): EnginePool {
		return new EnginePool(toId<InstanceId>(`i${plan.owner}`), this.createPolicy(), this.world.deployment, {leaseMs, orphanTimeoutMs: orphanMs, adoptionGraceMs: adopt});
	}

	#setEngines(pool: Pool): void {
		const {prefills, decodes, part, dataCentre} = pool.plan;
		const entryOf = (id: string, role: EngineEntry['role'], pieces: number): EngineEntry => ({
			id: toId<EngineId>(id), address: id, dataCentre: toId<DataCentreId>(`dc${dataCentre}`), role, pieces, fencesOrders: false,
		});
		const engines = [
			...prefills.map(({id}) => entryOf(id, 'prefill', 1)),
			...decodes.map(({id, pieces}) => entryOf(id, 'decode', Math.floor(pieces * part))),
		].filter(({id}) => !pool.unlisted.has(id));
		this.#step(pool, {kind: 'engines', engines, leaving: new Set()});
	}

	#step(pool: Pool, event: PoolEvent): void {
		if (!pool.owner.alive) {
			return;
		}

		for (const effect of pool.pool.step(event, this.world.events.now())) {
			this.#perform(pool, effect);
		}
	}

	#perform(pool: Pool, effect: PoolEffect): void {
		if (effect.kind === 'cancel') {
			const engine = pool.plan.decodes.find(({id}) => id === effect.engine.id);
			this.world.events.schedule(this.world.deployment.localMs, () => {
				engine?.free(holdKey(effect.hold));
				this.#step(pool, {kind: 'freed', hold: effect.hold});
			});
			return;
		}

		const key = holdKey(effect.hold);
		const answer = pool.waiting.get(key);
		pool.waiting.delete(key);
		answer?.(effect.kind === 'placed' ? effect : {kind: 'refused', error: effect.error});
	}

	#place(flight: Flight, entry: Entry, attempt: number, excluded: readonly EngineId[]): void {
		const hold = toHold(toId<RequestId>(flight.id), toId<AttemptNumber>(attempt));
		const home = this.#pools.findIndex(({plan}) => plan.isHome(entry));
		const order = [...this.#pools.slice(home), ...this.#pools.slice(0, home)];
		const acceptWaitMs = flight.firstOutputMs * shortWaitPart;
		const waits = new Map<Pool, number>();
		this.#ask(flight, entry, hold, {
			pools: order, excluded, acceptWaitMs, refused(pool, error) {
				waits.set(pool, error.retryAfterMs ?? Number.POSITIVE_INFINITY);
			},
			exhausted: () => {
				this.#ask(flight, entry, hold, {
					pools: order.toSorted((left, right) => waits.get(left)! - waits.get(right)!), excluded, acceptWaitMs: undefined, refused() {/* The last round */}, exhausted() {
						flight.outcome = flight.outputs > 0 ? 'failed' : 'refused';
					},
				});
			},
		});
	}

	/** Asks one pool after the other. */
	#ask(flight: Flight, entry: Entry, hold: EngineHold, round: Round): void {
		const [pool, ...others] = round.pools;
		if (pool === undefined) {
			round.exhausted();
			return;
		}

		const {excluded} = round;
		const hopMs = this.#hopMs(entry, pool);
		const answered = (answer: Answer): void => {
			this.world.events.schedule(hopMs, () => {
				if (!entry.alive || flight.outcome !== 'pending') {
					return;
				}

				if (answer.kind === 'placed') {
					this.#begin({
						flight, entry, hold, excluded, pool, placement: answer.placement, outputsBefore: flight.outputs, startedAt: undefined,
					});
					return;
				}

				round.refused(pool, answer.error);
				const goesOn = answer.error.kind === 'overloaded' || answer.error.kind === 'noBackend';
				if (goesOn) {
					this.#ask(flight, entry, hold, {...round, pools: others});
				} else {
					flight.outcome = flight.outputs > 0 ? 'failed' : 'refused';
				}
			});
		};

		this.world.events.schedule(hopMs, () => {
			if (!pool.owner.alive) {
				answered({kind: 'refused', error: {kind: 'noBackend'}});
				return;
			}

			pool.waiting.set(holdKey(hold), answered);
			this.#step(pool, {kind: 'place', req: this.#toRequest(flight, entry, hold, round)});
		});
	}

	#toRequest(flight: Flight, entry: Entry, hold: EngineHold, {excluded, acceptWaitMs}: Round): PlacementRequest {
		const {req} = flight;
		const now = this.world.events.now();
		return {
			...hold,
			service,
			class: req.class,
			holder: toId<InstanceId>(`i${entry.index}`),
			promptTokens: req.promptTokens + flight.outputs,
			maxTokens: req.maxTokens,
			pieces: flight.pieces,
			prefix: '',
			excluded,
			acceptWaitMs,
			deadline: addMs(now, flight.queueMs),
			firstOutputDeadline: flight.outputs > 0 ? undefined : addMs(now, (req.atMs + flight.firstOutputMs) - now),
		};
	}

	#hopMs(entry: Entry, pool: Pool): number {
		return entry === pool.owner ? 0 : this.world.hopMs(entry.dataCentre, pool.owner.dataCentre);
	}

	#tell(attempt: Attempt, event: PoolEvent): void {
		this.world.events.schedule(this.#hopMs(attempt.entry, attempt.pool), () => {
			this.#step(attempt.pool, event);
		});
	}

	#begin(attempt: Attempt): void {
		const {entry, hold, placement} = attempt;
		const {events} = this.world;
		this.#held.set(holdKey(hold), attempt);
		const decode = this.world.decodes.find(({id}) => id === placement.decode.id)!;
		const prefill = this.world.prefills.find(({id}) => id === placement.prefill.id)!;
		const hopMs = this.world.hopMs(entry.dataCentre, decode.dataCentre);
		events.schedule(hopMs, () => {
			const reserved = decode.reserve(holdKey(hold), placement.pieces);
			events.schedule(hopMs, () => {
				if (!entry.alive) {
					return;
				}

				if (reserved) {
					this.#prefill(attempt, prefill, decode);
				} else {
					this.#retry(attempt, placement.decode.id);
				}
			});
		});
	}

	#prefill(attempt: Attempt, prefill: FakePrefillEngine, decode: FakeDecodeEngine): void {
		const {flight, entry, hold, placement} = attempt;
		this.world.prefill(flight, entry, prefill, kv => {
			if (!entry.alive) {
				return;
			}

			if (kv === undefined) {
				this.#retry(attempt, placement.prefill.id);
				return;
			}

			this.#tell(attempt, {kind: 'prefillDone', hold});
			this.world.transfer(entry, prefill, kv, ok => {
				if (!entry.alive) {
					return;
				}

				if (!ok) {
					this.#retry(attempt, undefined);
					return;
				}

				this.#tell(attempt, {kind: 'transferDone', hold});
				this.#decode(attempt, decode);
			});
		});
	}

	#decode(attempt: Attempt, decode: FakeDecodeEngine): void {
		const {flight, entry, hold} = attempt;
		attempt.startedAt = this.world.events.now();
		this.world.decode({flight, hold: holdKey(hold), entry}, decode, end => {
			if (!entry.alive) {
				return;
			}

			if (end === 'complete') {
				flight.outcome = 'complete';
				this.#release(attempt);
			} else {
				this.#retry(attempt, attempt.placement.decode.id);
			}
		});
	}

	#retry(attempt: Attempt, failed: EngineId | undefined): void {
		const {flight, entry, hold, excluded} = attempt;
		this.#release(attempt);
		if (hold.attempt >= maxAttempts) {
			flight.outcome = 'failed';
			return;
		}

		this.#place(flight, entry, hold.attempt + 1, failed === undefined ? excluded : [...excluded, failed]);
	}

	/** Frees the memory, then gives the place back. */
	#release(attempt: Attempt): void {
		const {flight, hold, placement, entry, startedAt, outputsBefore} = attempt;
		const decode = this.world.decodes.find(({id}) => id === placement.decode.id)!;
		const hopMs = this.world.hopMs(entry.dataCentre, decode.dataCentre);
		const outputs = flight.outputs - outputsBefore;
		const betweenMs = startedAt === undefined || outputs < 2 || outputsBefore > 0 ? undefined : (flight.lastAtMs! - flight.firstAtMs!) / (outputs - 1);
		this.#held.delete(holdKey(hold));
		this.world.events.schedule(hopMs, () => {
			decode.free(holdKey(hold));
			this.world.events.schedule(hopMs, () => {
				this.#tell(attempt, {kind: 'release', hold, pace: betweenMs === undefined ? undefined : {betweenMs}});
			});
		});
	}

	#renew(): void {
		for (const pool of this.#pools) {
			for (const entry of this.world.entries.filter(({alive}) => alive)) {
				const held = [...this.#held.values()].filter(attempt => attempt.pool === pool && attempt.entry === entry);
				const places: HeldPlacement[] = held.map(({hold, placement}) => ({...hold, decode: placement.decode, pieces: placement.pieces}));
				this.world.events.schedule(this.#hopMs(entry, pool), () => {
					this.#step(pool, {kind: 'renew', holder: toId<InstanceId>(`i${entry.index}`), places});
				});
			}
		}
	}

	#report(pool: Pool): void {
		for (const decode of pool.plan.decodes.filter(({alive}) => alive)) {
			const report = createReport(decode, requestId => pool.plan.part === 1 || this.#isOf(pool, requestId));
			this.world.events.schedule(this.world.reportLagMs, () => {
				this.#step(pool, {kind: 'report', report});
			});
		}
	}

	/** With shares of engines, an owner looks only at its own holders' places. */
	#isOf(pool: Pool, requestId: string): boolean {
		return [...this.#held.values()].some(attempt => attempt.hold.requestId === requestId && attempt.pool === pool);
	}
}
