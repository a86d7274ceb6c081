/** A simulation of callers, two instances, a pool owner and engines, driven by a list of numbers. */
import {increment} from './coverage.js';
import type {Coverage} from './coverage.js';
import {SimulatedEngine} from './simulated-engine.js';
import {SimulatedInstance} from './simulated-instance.js';
import {SimulatedNetwork} from './simulated-network.js';
import {SimulatedRequest} from './simulated-request.js';
import type {
	DataCentreId, EngineAddress, EngineHold, EngineId, EngineReport, InstanceId, Instant, Placement, PlacementPolicy, PlacementRequest, PoolEffect, PoolEvent,
	PoolTimings, RequestEffect, RequestEvent, RequestId, RequestStateMachine, RequestOutcome, ServiceName,
} from '@baobabpier/core';
import {
	createSeededRandom, EnginePool, holdKey, invariant, toId, TwoChoicesPolicy,
} from '@baobabpier/core';

const callTimeoutMs = 1000;
const maxSettleRounds = 40;
/** Number of kinds of actions; the numbers of a history are reduced modulo this. */
export const actionCount = 96;
const settleStepMs = 500;
const steps = [50, 200, 700, 1500, 4000] as const;
const firstFaultAction = 81;
/** With a low fault rate, only one in this many faults is injected. */
const lowFaultRateDivisor = 8;
const requestCount = 4;
const service = toId<ServiceName>('lm');
const dataCentre = toId<DataCentreId>('a');

/** Behaviour that a test may alter to verify that the checks fail. */
export type SimulationOptions = {
	/** Reports the first failing history without shrinking it. */
	readonly endsOnFailure?: boolean;
	readonly timings?: Partial<PoolTimings>;
	readonly policy?: PlacementPolicy;
	readonly mutateEvent?: (event: RequestEvent, stateMachine: RequestStateMachine) => RequestEvent;
	/** Cancels of these rounds count as confirmed without being sent. */
	readonly isCancelSkipped?: (round: number) => boolean;
	readonly mutateEffects?: (effects: readonly RequestEffect[]) => readonly RequestEffect[];
};

type PoolOwner = {
	readonly pool: EnginePool;
	readonly waiting: Map<string, (answer: Placement | 'refused') => void>;
	readonly incarnation: number;
	readonly polling: Set<EngineId>;
	/** Events that a frozen owner has not handled yet. */
	inbox: PoolEvent[] | undefined;
};

/** Intermediate reservation states that one event of the request passes through. */
const intermediateStates: Readonly<Record<string, string>> = {'reserving released': 'refused', 'reserving cancelling': 'held'};

export class Simulation {
	readonly network = new SimulatedNetwork();
	readonly #timings: PoolTimings;
	readonly #instances = [new SimulatedInstance(toId<InstanceId>('i1')), new SimulatedInstance(toId<InstanceId>('i2'))];
	readonly #engines: readonly SimulatedEngine[];
	readonly #requests: SimulatedRequest[] = [];
	#owner: PoolOwner;

	constructor(readonly options: SimulationOptions, private readonly coverage: Coverage, private readonly hasLowFaultRate = false) {
		this.#timings = {
			leaseMs: 2000, orphanTimeoutMs: 2500, adoptionGraceMs: 2000, ...options.timings,
		};
		this.#engines = ['p1', 'p2', 'd1', 'd2'].map(id => new SimulatedEngine(toId<EngineId>(id), id.startsWith('p') ? 'prefill' : 'decode', 3));
		this.#owner = this.#createOwner(1);
		coverage.histories += 1;
		for (const engine of this.#engines) {
			this.dispatchToPool({kind: 'report', report: engine.report()});
		}
	}

	engine(id: EngineId): SimulatedEngine {
		return this.#engines.find(engine => engine.id === id)!;
	}

	get ownerIncarnation(): number {
		return this.#owner.incarnation;
	}

	hasPrefilled(id: RequestId): boolean {
		return this.#engines.some(engine => engine.prefills.has(id));
	}

	recordTransition(from: string, event: string, to: string): void {
		increment(this.coverage.transitions, `${from} ${event} ${to}`);
	}

	recordReservations(before: readonly string[], after: readonly string[]): void {
		for (const [index, state] of after.entries()) {
			const from = before[index] ?? 'unplaced';
			if (from !== state) {
				const between = intermediateStates[`${from} ${state}`];
				for (const step of between === undefined ? [`${from} ${state}`] : [`${from} ${between}`, `${between} ${state}`]) {
					increment(this.coverage.memory, step);
				}
			}
		}
	}

	recordOutcome(outcome: RequestOutcome): void {
		increment(this.coverage.outcomes, outcome.kind === 'failed' ? outcome.error.kind : outcome.kind);
	}

	/** Runs one action; `choice` encodes the kind of action and its argument. */
	runAction(choice: number): void {
		const argument = Math.floor(choice / actionCount);
		const action = choice % actionCount;
		if (action < 40) {
			this.network.deliver(0);
		} else if (action < 52) {
			this.network.deliver(argument);
		} else if (action < 66) {
			this.#engines[2 + (argument % 2)]!.produce(argument % 4);
		} else if (action < 75) {
			this.#advance(steps[argument % steps.length]!);
		} else if (action < firstFaultAction) {
			this.#startRequest(argument);
		} else if (!this.hasLowFaultRate || argument % lowFaultRateDivisor === 0) {
			this.#injectFault(action - firstFaultAction, Math.floor(argument / lowFaultRateDivisor));
		}
	}

	/** Ends all faults, advances time, and checks that everything is released. */
	settleAndCheck(): void {
		for (let round = 0; round < maxSettleRounds; round++) {
			this.#endFaults();
			this.#advance(settleStepMs);
			for (let index = 0; index < 500 && this.network.messages.length > 0; index++) {
				this.network.deliver(0);
			}

			for (const engine of this.#engines) {
				engine.produce(2);
			}

			if (this.#isQuiescent()) {
				break;
			}
		}

		for (const {stateMachine, outcome, instance, id} of this.#requests) {
			invariant(!instance.alive || outcome !== undefined, 'NO_OUTCOME', `${id} has no outcome in state ${stateMachine.state}`);
			invariant(!instance.alive || !stateMachine.isReleasing, 'STILL_FREEING', `${id} waits for memory`);
		}

		for (const engine of this.#engines) {
			invariant(engine.heldPieces === 0, 'HELD', `${engine.id} holds ${engine.heldPieces} pieces`);
		}

		invariant(this.#owner.pool.grants().length === 0, 'GRANTS', 'the pool counts placements that no instance holds');
	}

	dispatchToPool(event: PoolEvent): void {
		const owner = this.#owner;
		if (owner.inbox !== undefined) {
			owner.inbox.push(event);
			return;
		}

		for (const effect of owner.pool.step(event, this.network.now as Instant)) {
			this.#performPoolEffect(owner, effect);
		}
	}

	place(req: Omit<PlacementRequest, 'service' | 'prefix'>, reply: (answer: Placement | 'refused') => void): void {
		this.#owner.waiting.set(holdKey(req), reply);
		this.dispatchToPool({kind: 'place', req: {...req, service, prefix: ''}});
	}

	/** Retries a cancel until it is confirmed, as long as its sender is alive. */
	cancelUntilConfirmed(sender: SimulatedInstance | {readonly incarnation: number}, id: EngineId, hold: EngineHold, done: () => void): void {
		const engine = this.engine(id);
		const isAlive = (): boolean => sender instanceof SimulatedInstance ? sender.alive : sender.incarnation === this.#owner.incarnation;
		const send = (): void => {
			this.network.call<boolean>(callTimeoutMs, reply => {
				if (engine.isReachable) {
					engine.cancel(hold);
				}

				reply(engine.isReachable);
			}, answer => {
				if (answer === true) {
					done();
				} else if (isAlive()) {
					this.network.send(send, 'local');
				}
			});
		};

		send();
	}

	#performPoolEffect(owner: PoolOwner, effect: PoolEffect): void {
		if (effect.kind === 'cancel') {
			this.cancelUntilConfirmed(owner, effect.engine.id, effect.hold, () => {
				if (owner === this.#owner) {
					this.dispatchToPool({kind: 'freed', hold: effect.hold});
				}
			});
			return;
		}

		if (effect.kind === 'placed') {
			this.#checkPoolCapacity(owner.pool, effect.placement.decode);
		}

		const reply = owner.waiting.get(holdKey(effect.hold));
		owner.waiting.delete(holdKey(effect.hold));
		reply?.(effect.kind === 'placed' ? effect.placement : 'refused');
	}

	#checkPoolCapacity(pool: EnginePool, decode: EngineAddress): void {
		const granted = pool.grants().filter(({engine}) => engine === decode.id).reduce((sum, {pieces}) => sum + pieces, 0);
		const engine = this.engine(decode.id);
		invariant(granted <= engine.pieces, 'OVERCOMMITTED', `${granted} pieces of ${decode.id} are granted`);
		const known = new Set(pool.grants().map(grant => holdKey(grant)));
		let earlier = 0;
		for (const [key, held] of engine.held) {
			const isLive = this.#instances.some(instance => instance.alive && instance.placements.has(key));
			earlier += isLive && held.ownerIncarnation < this.#owner.incarnation && !known.has(key) ? held.pieces : 0;
		}

		invariant(granted + earlier <= engine.pieces, 'TAKEN', `memory of ${decode.id} in use since an earlier owner is granted again`);
	}

	#createOwner(incarnation: number): PoolOwner {
		const policy = this.options.policy ?? new TwoChoicesPolicy(createSeededRandom(incarnation));
		const pool = new EnginePool(toId<InstanceId>('owner'), policy, {queue: 3}, this.#timings);
		pool.step({
			kind: 'engines',
			engines: this.#engines.map(({id, role, pieces}) => ({
				id, address: id, dataCentre, role, pieces, fencesOrders: true,
			})),
			leaving: new Set(),
		}, this.network.now as Instant);
		return {
			pool, waiting: new Map(), inbox: undefined, incarnation, polling: new Set(),
		};
	}

	#startRequest(argument: number): void {
		const index = this.#requests.length;
		const instance = this.#instances[index % this.#instances.length]!;
		if (index < requestCount && instance.alive && !instance.frozen) {
			const run = new SimulatedRequest(this, instance, index);
			this.#requests.push(run);
			if (argument % 32 === 0) {
				run.disconnectCaller();
			} else {
				run.dispatch({kind: 'start'});
			}
		}
	}

	#injectFault(action: number, argument: number): void {
		const {network} = this;
		const instance = this.#instances[argument % this.#instances.length]!;
		const engine = this.#engines[argument % this.#engines.length]!;
		const faults: ReadonlyArray<readonly [string, () => void]> = [
			['message lost', () => {
				network.drop(argument);
			}],
			['message repeated', () => {
				network.duplicate(argument);
			}],
			['message delayed', () => {
				network.delay(argument);
			}],
			['late message delivered', () => {
				network.deliverDelayed(argument);
			}],
			['call broken', () => {
				network.breakCall(argument);
			}],
			['stream broken', () => {
				engine.breakStream(argument);
			}],
			['stream silent', () => {
				const stream = engine.streams[argument % Math.max(1, engine.streams.length)];
				if (stream !== undefined) {
					stream.silent = true;
				}
			}],
			['caller left', () => {
				this.#requests[argument % Math.max(1, this.#requests.length)]?.disconnectCaller();
			}],
			['engine crashed', () => {
				engine.crash();
			}],
			['engine unreachable', () => {
				engine.isReachable = false;
			}],
			['instance frozen or thawed', () => {
				if (instance.frozen) {
					instance.unfreeze();
				} else {
					instance.frozen = true;
				}
			}],
			['owner frozen or thawed', () => {
				if (this.#owner.inbox === undefined) {
					this.#owner.inbox = [];
				} else {
					this.#unfreezeOwner();
				}
			}],
			['instance killed', () => {
				if (argument % 4 === 0) {
					instance.alive = false;
				}
			}],
			['owner killed', () => {
				if (argument % 4 === 0) {
					this.#owner = this.#createOwner(this.#owner.incarnation + 1);
				}
			}],
			['engine reachable', () => {
				engine.isReachable = true;
			}],
		];
		const [name, run] = faults[action]!;
		increment(this.coverage.faults, name);
		run();
	}

	#advance(ms: number): void {
		this.network.advance(ms);
		for (const run of this.#requests) {
			if (!run.instance.frozen) {
				run.dispatch({kind: 'tick'});
			}
		}

		for (const instance of this.#instances) {
			if (instance.alive && !instance.frozen && instance.placements.size > 0) {
				const places = [...instance.placements.values()];
				this.network.send(() => {
					this.dispatchToPool({kind: 'renew', holder: instance.id, places});
				});
			}
		}

		for (const engine of this.#engines) {
			if (engine.isReachable && engine.role === 'decode') {
				this.#pollReport(engine);
			}
		}

		if (this.#owner.inbox === undefined) {
			this.dispatchToPool({kind: 'tick'});
		}
	}

	/** The owner requests one report at a time and accepts only responses to its own requests. */
	#pollReport(engine: SimulatedEngine): void {
		const owner = this.#owner;
		if (owner.polling.has(engine.id) || owner.inbox !== undefined) {
			return;
		}

		owner.polling.add(engine.id);
		this.network.call<EngineReport>(callTimeoutMs, reply => {
			reply(engine.report());
		}, report => {
			owner.polling.delete(engine.id);
			if (report !== 'lost' && owner === this.#owner) {
				this.dispatchToPool({kind: 'report', report});
			}
		});
	}

	#unfreezeOwner(): void {
		const inbox = this.#owner.inbox ?? [];
		this.#owner.inbox = undefined;
		for (const event of inbox) {
			this.dispatchToPool(event);
		}
	}

	#endFaults(): void {
		this.network.endDelays();
		this.#unfreezeOwner();
		for (const instance of this.#instances) {
			instance.unfreeze();
		}

		for (const engine of this.#engines) {
			engine.isReachable = true;
		}
	}

	#isQuiescent(): boolean {
		return this.network.messages.length === 0
			&& this.#owner.pool.grants().length === 0
			&& this.#requests.every(({stateMachine, instance}) => !instance.alive || (stateMachine.state === 'done' && !stateMachine.isReleasing))
			&& this.#engines.every(engine => engine.heldPieces === 0);
	}
}
