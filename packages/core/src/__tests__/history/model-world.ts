/** The model world: callers, two instances, a pool owner and engines, driven by a list of numbers. */
import {count} from './coverage.js';
import type {Coverage} from './coverage.js';
import {ModelEngine} from './model-engine.js';
import {ModelInstance} from './model-instance.js';
import {ModelNetwork} from './model-network.js';
import {ModelRequestRun} from './model-request.js';
import type {
	DataCentreId, EngineAddress, EngineHold, EngineId, EngineReport, InstanceId, Instant, Placement, PlacementPolicy, PlacementRequest, PoolEffect, PoolEvent,
	PoolTimings, RequestEffect, RequestEvent, RequestId, RequestLife, RequestOutcome, ServiceName,
} from '@baobabpier/core';
import {
	createSeededRandom, EnginePool, holdKey, invariant, toId, TwoChoicesPolicy,
} from '@baobabpier/core';

const cancelMs = 1000;
const quietRounds = 40;
/** Kinds of actions; a history's numbers are taken modulo this. */
export const actionCount = 96;
const quietStepMs = 500;
const steps = [50, 200, 700, 1500, 4000] as const;
const firstFault = 81;
/** In a calm world, one fault in this many happens. */
const calmness = 8;
const requestCount = 4;
const service = toId<ServiceName>('lm');
const dataCentre = toId<DataCentreId>('a');

/** What a test may switch off, to see the checks fail. */
export type WorldOptions = {
	/** Reports the first failing history as it is, not the shortest. */
	readonly stopsAtFailure?: boolean;
	readonly timings?: Partial<PoolTimings>;
	readonly policy?: PlacementPolicy;
	readonly alterEvent?: (event: RequestEvent, life: RequestLife) => RequestEvent;
	/** Cancels of these rounds count as confirmed without being sent. */
	readonly skipsCancel?: (round: number) => boolean;
	readonly alterEffects?: (effects: readonly RequestEffect[]) => readonly RequestEffect[];
};

type PoolOwner = {
	readonly pool: EnginePool;
	readonly waiting: Map<string, (answer: Placement | 'refused') => void>;
	readonly life: number;
	readonly polling: Set<EngineId>;
	/** What a frozen owner has not read yet. */
	inbox: PoolEvent[] | undefined;
};

/** Memory states that one event of the request passes through. */
const passedThrough: Readonly<Record<string, string>> = {'reserving released': 'refused', 'reserving cancelling': 'held'};

export class ModelWorld {
	readonly network = new ModelNetwork();
	readonly #timings: PoolTimings;
	readonly #instances = [new ModelInstance(toId<InstanceId>('i1')), new ModelInstance(toId<InstanceId>('i2'))];
	readonly #engines: readonly ModelEngine[];
	readonly #requests: ModelRequestRun[] = [];
	#owner: PoolOwner;

	constructor(readonly options: WorldOptions, private readonly coverage: Coverage, private readonly calm = false) {
		this.#timings = {
			leaseMs: 2000, orphanTimeoutMs: 2500, adoptionGraceMs: 2000, ...options.timings,
		};
		this.#engines = ['p1', 'p2', 'd1', 'd2'].map(id => new ModelEngine(toId<EngineId>(id), id.startsWith('p') ? 'prefill' : 'decode', 3));
		this.#owner = this.#createOwner(1);
		coverage.histories += 1;
		for (const engine of this.#engines) {
			this.feedPool({kind: 'report', report: engine.report()});
		}
	}

	engine(id: EngineId): ModelEngine {
		return this.#engines.find(engine => engine.id === id)!;
	}

	get ownerLife(): number {
		return this.#owner.life;
	}

	wasRun(id: RequestId): boolean {
		return this.#engines.some(engine => engine.prefills.has(id));
	}

	recordTransition(from: string, event: string, to: string): void {
		count(this.coverage.transitions, `${from} ${event} ${to}`);
	}

	recordMemory(before: readonly string[], after: readonly string[]): void {
		for (const [index, state] of after.entries()) {
			const from = before[index] ?? 'unplaced';
			if (from !== state) {
				const between = passedThrough[`${from} ${state}`];
				for (const step of between === undefined ? [`${from} ${state}`] : [`${from} ${between}`, `${between} ${state}`]) {
					count(this.coverage.memory, step);
				}
			}
		}
	}

	recordOutcome(outcome: RequestOutcome): void {
		count(this.coverage.outcomes, outcome.kind === 'failed' ? outcome.error.kind : outcome.kind);
	}

	/** Runs one action; which, and on what, follows from the number. */
	act(choice: number): void {
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
		} else if (action < firstFault) {
			this.#start(argument);
		} else if (!this.calm || argument % calmness === 0) {
			this.#fault(action - firstFault, Math.floor(argument / calmness));
		}
	}

	/** Ends all faults, lets time pass, and checks that nothing is left. */
	settle(): void {
		for (let round = 0; round < quietRounds; round++) {
			this.#heal();
			this.#advance(quietStepMs);
			for (let index = 0; index < 500 && this.network.messages.length > 0; index++) {
				this.network.deliver(0);
			}

			for (const engine of this.#engines) {
				engine.produce(2);
			}

			if (this.#isQuiet()) {
				break;
			}
		}

		for (const {life, outcome, instance, id} of this.#requests) {
			invariant(!instance.alive || outcome !== undefined, 'NO_OUTCOME', `${id} has no outcome in state ${life.state}`);
			invariant(!instance.alive || !life.freeing, 'STILL_FREEING', `${id} waits for memory`);
		}

		for (const engine of this.#engines) {
			invariant(engine.heldPieces === 0, 'HELD', `${engine.id} holds ${engine.heldPieces} pieces`);
		}

		invariant(this.#owner.pool.grants().length === 0, 'GRANTS', 'the pool counts places that nobody has');
	}

	feedPool(event: PoolEvent): void {
		const owner = this.#owner;
		if (owner.inbox !== undefined) {
			owner.inbox.push(event);
			return;
		}

		for (const effect of owner.pool.step(event, this.network.now as Instant)) {
			this.#performPool(owner, effect);
		}
	}

	place(req: Omit<PlacementRequest, 'service' | 'prefix'>, reply: (answer: Placement | 'refused') => void): void {
		this.#owner.waiting.set(holdKey(req), reply);
		this.feedPool({kind: 'place', req: {...req, service, prefix: ''}});
	}

	/** Repeats a cancel until it is confirmed, as long as its driver lives. */
	driveCancel(driver: ModelInstance | {readonly life: number}, id: EngineId, hold: EngineHold, done: () => void): void {
		const engine = this.engine(id);
		const isAlive = (): boolean => driver instanceof ModelInstance ? driver.alive : driver.life === this.#owner.life;
		const send = (): void => {
			this.network.call<boolean>(cancelMs, reply => {
				if (engine.up) {
					engine.cancel(hold);
				}

				reply(engine.up);
			}, answer => {
				if (answer === true) {
					done();
				} else if (isAlive()) {
					this.network.post(send, 'local');
				}
			});
		};

		send();
	}

	#performPool(owner: PoolOwner, effect: PoolEffect): void {
		if (effect.kind === 'cancel') {
			this.driveCancel(owner, effect.engine.id, effect.hold, () => {
				if (owner === this.#owner) {
					this.feedPool({kind: 'freed', hold: effect.hold});
				}
			});
			return;
		}

		if (effect.kind === 'placed') {
			this.#checkPool(owner.pool, effect.placement.decode);
		}

		const reply = owner.waiting.get(holdKey(effect.hold));
		owner.waiting.delete(holdKey(effect.hold));
		reply?.(effect.kind === 'placed' ? effect.placement : 'refused');
	}

	#checkPool(pool: EnginePool, decode: EngineAddress): void {
		const granted = pool.grants().filter(({engine}) => engine === decode.id).reduce((sum, {pieces}) => sum + pieces, 0);
		const engine = this.engine(decode.id);
		invariant(granted <= engine.pieces, 'OVERCOMMITTED', `${granted} pieces of ${decode.id} are granted`);
		const known = new Set(pool.grants().map(grant => holdKey(grant)));
		let earlier = 0;
		for (const [key, held] of engine.held) {
			const isLive = this.#instances.some(instance => instance.alive && instance.held.has(key));
			earlier += isLive && held.ownerLife < this.#owner.life && !known.has(key) ? held.pieces : 0;
		}

		invariant(granted + earlier <= engine.pieces, 'TAKEN', `memory of ${decode.id} in use since an earlier owner is granted again`);
	}

	#createOwner(life: number): PoolOwner {
		const policy = this.options.policy ?? new TwoChoicesPolicy(createSeededRandom(life));
		const pool = new EnginePool(toId<InstanceId>('owner'), policy, {queue: 3}, this.#timings);
		pool.step({
			kind: 'engines',
			engines: this.#engines.map(({id, role, pieces}) => ({
				id, address: id, dataCentre, role, pieces, fencesOrders: true,
			})),
			leaving: new Set(),
		}, this.network.now as Instant);
		return {
			pool, waiting: new Map(), inbox: undefined, life, polling: new Set(),
		};
	}

	#start(argument: number): void {
		const index = this.#requests.length;
		const instance = this.#instances[index % this.#instances.length]!;
		if (index < requestCount && instance.alive && !instance.frozen) {
			const run = new ModelRequestRun(this, instance, index);
			this.#requests.push(run);
			if (argument % 32 === 0) {
				run.callerLeaves();
			} else {
				run.dispatch({kind: 'start'});
			}
		}
	}

	#fault(action: number, argument: number): void {
		const {network} = this;
		const instance = this.#instances[argument % this.#instances.length]!;
		const engine = this.#engines[argument % this.#engines.length]!;
		const faults: ReadonlyArray<readonly [string, () => void]> = [
			['message lost', () => {
				network.lose(argument);
			}],
			['message repeated', () => {
				network.repeat(argument);
			}],
			['message delayed', () => {
				network.delay(argument);
			}],
			['late message delivered', () => {
				network.deliverLate(argument);
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
				this.#requests[argument % Math.max(1, this.#requests.length)]?.callerLeaves();
			}],
			['engine crashed', () => {
				engine.crash();
			}],
			['engine unreachable', () => {
				engine.up = false;
			}],
			['instance frozen or thawed', () => {
				if (instance.frozen) {
					instance.thaw();
				} else {
					instance.frozen = true;
				}
			}],
			['owner frozen or thawed', () => {
				if (this.#owner.inbox === undefined) {
					this.#owner.inbox = [];
				} else {
					this.#thawOwner();
				}
			}],
			['instance killed', () => {
				if (argument % 4 === 0) {
					instance.alive = false;
				}
			}],
			['owner killed', () => {
				if (argument % 4 === 0) {
					this.#owner = this.#createOwner(this.#owner.life + 1);
				}
			}],
			['engine reachable', () => {
				engine.up = true;
			}],
		];
		const [name, run] = faults[action]!;
		count(this.coverage.faults, name);
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
			if (instance.alive && !instance.frozen && instance.held.size > 0) {
				const places = [...instance.held.values()];
				this.network.post(() => {
					this.feedPool({kind: 'renew', holder: instance.id, places});
				});
			}
		}

		for (const engine of this.#engines) {
			if (engine.up && engine.role === 'decode') {
				this.#poll(engine);
			}
		}

		if (this.#owner.inbox === undefined) {
			this.feedPool({kind: 'tick'});
		}
	}

	/** The owner asks for one report at a time, and reads only answers to its own questions. */
	#poll(engine: ModelEngine): void {
		const owner = this.#owner;
		if (owner.polling.has(engine.id) || owner.inbox !== undefined) {
			return;
		}

		owner.polling.add(engine.id);
		this.network.call<EngineReport>(cancelMs, reply => {
			reply(engine.report());
		}, report => {
			owner.polling.delete(engine.id);
			if (report !== 'lost' && owner === this.#owner) {
				this.feedPool({kind: 'report', report});
			}
		});
	}

	#thawOwner(): void {
		const inbox = this.#owner.inbox ?? [];
		this.#owner.inbox = undefined;
		for (const event of inbox) {
			this.feedPool(event);
		}
	}

	#heal(): void {
		this.network.endDelays();
		this.#thawOwner();
		for (const instance of this.#instances) {
			instance.thaw();
		}

		for (const engine of this.#engines) {
			engine.up = true;
		}
	}

	#isQuiet(): boolean {
		return this.network.messages.length === 0
			&& this.#owner.pool.grants().length === 0
			&& this.#requests.every(({life, instance}) => !instance.alive || (life.state === 'done' && !life.freeing))
			&& this.#engines.every(engine => engine.heldPieces === 0);
	}
}
