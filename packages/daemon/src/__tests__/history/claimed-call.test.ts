import {Readable} from 'node:stream';
import fc from 'fast-check';
import type {Scheduler} from 'fast-check';
import {describe, expect, test} from 'vitest';
import {
	ClaimTable, err, errorResponses, ManualClock, ok, routerError, toId,
} from '@baobabpier/core';
import type {
	BackendEntry, BackendId, ClaimLedger, ClaimRequest, DataCentreId, InstanceId, InstanceIncarnation, LogTime, OwnerName, PlainService, RequestId, Result, RouterError, ServiceName,
} from '@baobabpier/core';
import {ClaimedCaller, claimUseMs} from '@baobabpier/daemon';
import type {CallSender, PlainAnswer, PlainCall} from '@baobabpier/daemon';

const runs = 6000;
const instanceCount = 3;

const backend: BackendEntry = {id: toId<BackendId>('b'), address: '127.0.0.1:1', dataCentre: toId<DataCentreId>('a')};

const service: PlainService = {
	name: toId<ServiceName>('desk'),
	owner: toId<OwnerName>('hire'),
	class: 'urgent',
	kind: 'plain',
	idempotent: [],
	nonIdempotent: [],
	backends: [backend],
	limits: {
		inFlight: 1, requestsPerSecond: 1, tokensPerSecond: 1, queue: 1, queueMs: 1, bodyBytes: 1000, totalMs: 60_000,
	},
};

type Plan = {
	/** Instance and key of each call. */
	readonly calls: ReadonlyArray<readonly [number, string]>;
	readonly kills: readonly number[];
	/** What happens to each message, in order; nothing happens to those after the last. */
	readonly faults: readonly Fault[];
	readonly sharesRequestId: boolean;
};

type Fault = 'none' | 'lost' | 'answerLost' | 'frozen';

/** What a test may switch off, to see the checks fail. */
type Mutation = 'none' | 'noClaim' | 'sameRequestId' | 'noAbandonCheck' | 'lostMeansNotRun';

type Life = {
	readonly number: number;
	readonly died: Promise<'dead'>;
	readonly kill: () => void;
};

const createLife = (number: number): Life => {
	let kill = (): void => {/* Replaced at once */};
	const died = new Promise<'dead'>(resolve => {
		kill = () => {
			resolve('dead');
		};
	});
	return {number, died, kill};
};

class World {
	readonly clock = new ManualClock();
	readonly table = new ClaimTable({retentionMs: 1e9, maxRecords: 100});
	/** The key of each run. */
	readonly runs: string[] = [];
	readonly violations: string[] = [];
	readonly #lives = Array.from({length: instanceCount}, () => createLife(1));
	readonly #faults: Fault[];
	#sent = 0;

	constructor(private readonly s: Scheduler, plan: Plan, private readonly mutation: Mutation) {
		this.#faults = [...plan.faults];
	}

	/** Kills an instance and starts it again. */
	async kill(index: number): Promise<void> {
		await this.s.schedule(Promise.resolve(), 'kill');
		const life = this.#lives[index]!;
		life.kill();
		const next = createLife(life.number + 1);
		this.#lives[index] = next;
		await this.s.schedule(Promise.resolve(), 'restart');
		this.table.abandon(toId<InstanceId>(`i${index}`), toId<InstanceIncarnation>(`${next.number}`));
	}

	async call(index: number, key: string, requestId: string): Promise<void> {
		await this.s.schedule(Promise.resolve(), 'call');
		const life = this.#lives[index]!;
		const isAlive = (): boolean => this.#lives[index] === life;
		let ran = 0;
		const caller = new ClaimedCaller({
			self: toId<InstanceId>(`i${index}`),
			life: toId<InstanceIncarnation>(`${life.number}`),
			clock: this.clock,
			ledger: this.#ledger(isAlive, life.died),
			wait: async () => {
				await this.#step(isAlive, life.died);
			},
		}, {pick: () => backend}, this.#sender(key, {
			isAlive, died: life.died, onRun() {
				ran += 1;
			},
		}));
		const call: PlainCall = {
			requestId: toId<RequestId>(requestId),
			service,
			method: 'POST',
			path: '/bookings',
			search: '',
			headers: {},
			key,
			body: Readable.from([`body of ${key}`].map(text => new TextEncoder().encode(text))),
			signal: new AbortController().signal,
		};
		const result = await Promise.race([caller.call(call, key), life.died]);
		if (result !== 'dead') {
			this.#check(result, key, ran);
		}
	}

	#check(result: Result<PlainAnswer, RouterError>, key: string, ran: number): void {
		const saysNotRun = result.err && (errorResponses[result.val.kind].run === 'no' || (this.mutation === 'lostMeansNotRun' && result.val.kind === 'outcomeUnknown'));
		if (saysNotRun && ran > 0) {
			this.violations.push(`told "not run" of ${key}, which ran`);
		}
	}

	/** Lets other work go first; never comes back in a process that died. */
	async #step(isAlive: () => boolean, died: Promise<unknown>): Promise<Fault> {
		await this.s.schedule(Promise.resolve(), 'message');
		if (!isAlive()) {
			await died;
			await new Promise(() => {/* The process is dead */});
		}

		const fault = this.#faults.shift() ?? 'none';
		if (fault === 'frozen') {
			// Long enough for other instances to take this one for dead
			this.clock.advance(claimUseMs + 1);
			for (let index = 0; index < instanceCount; index++) {
				this.table.abandon(toId<InstanceId>(`i${index}`));
			}
		}

		return fault;
	}

	#ledger(isAlive: () => boolean, died: Promise<unknown>): ClaimLedger {
		return {
			claim: async (req: ClaimRequest) => {
				const asked = this.mutation === 'sameRequestId'
					? {
						...req, requestId: toId<RequestId>('same'), claimant: toId<InstanceId>('same'), life: undefined,
					}
					: req;
				const there = await this.#step(isAlive, died);
				const verdict = there === 'lost' ? undefined : this.table.claim(asked, 0 as LogTime);
				const back = await this.#step(isAlive, died);
				if (this.mutation === 'noClaim') {
					return {kind: 'granted'};
				}

				return verdict === undefined || there === 'answerLost' || back === 'lost' ? {kind: 'unavailable', detail: 'lost', maybeClaimed: true} : verdict;
			},
			settle: async (key, requestId, outcome) => {
				const there = await this.#step(isAlive, died);
				if (there !== 'lost') {
					this.table.settle(key, requestId, outcome);
				}

				const back = await this.#step(isAlive, died);
				return there !== 'lost' && there !== 'answerLost' && back !== 'lost';
			},
			lookup: async key => this.table.lookup(key),
		};
	}

	#sender(key: string, {isAlive, died, onRun}: {isAlive: () => boolean; died: Promise<unknown>; onRun: () => void}): CallSender {
		return {
			send: async (_call, _body, {maySend}) => {
				const there = await this.#step(isAlive, died);
				if (there === 'lost') {
					return err(routerError('backendRefused'));
				}

				if (this.mutation !== 'noAbandonCheck' && maySend?.() === false) {
					return err(routerError('ledgerUnavailable'));
				}

				const record = this.table.lookup(`desk/${key}` as ClaimRequest['key']);
				if (record?.outcome !== undefined) {
					this.violations.push(`${key} was sent after its claim was settled as ${record.outcome.kind}`);
				}

				this.runs.push(key);
				onRun();
				this.#sent += 1;
				const answer: PlainAnswer = {status: 200, headers: [], body: Readable.from([new TextEncoder().encode(`booking ${this.#sent}`)])};
				const back = await this.#step(isAlive, died);
				return there === 'answerLost' || back === 'lost' ? err(routerError('outcomeUnknown')) : ok(answer);
			},
		};
	}
}

const planArbitrary: fc.Arbitrary<Plan> = fc.record({
	calls: fc.array(fc.tuple(fc.nat(instanceCount - 1), fc.constantFrom('k1', 'k2')), {minLength: 2, maxLength: 5}),
	kills: fc.array(fc.nat(instanceCount - 1), {maxLength: 3}),
	faults: fc.array(fc.constantFrom<Fault>('none', 'none', 'none', 'lost', 'answerLost', 'frozen'), {maxLength: 16, size: 'max'}),
	sharesRequestId: fc.boolean(),
});

const runPlan = async (s: Scheduler, plan: Plan, mutation: Mutation): Promise<string[]> => {
	const world = new World(s, plan, mutation);
	const work = Promise.all([
		...plan.calls.map(async ([index, key], number) => world.call(index, key, plan.sharesRequestId ? `${index}/r` : `${index}/r${number}`)),
		...plan.kills.map(async index => world.kill(index)),
	]);
	await s.waitFor(work);
	const doubled = ['k1', 'k2'].filter(key => world.runs.filter(run => run === key).length > 1);
	return [...world.violations, ...doubled.map(key => `${key} ran more than once`)];
};

const property = (mutation: Mutation, violations: string[]) => fc.asyncProperty(fc.scheduler(), planArbitrary, async (s, plan) => {
	violations.push(...await runPlan(s, plan, mutation));
	expect(violations).toEqual([]);
});

test(`${runs} histories of claimed calls run each key at most once`, async () => {
	await fc.assert(property('none', []), {seed: 5, numRuns: runs, endOnFailure: true});
});

describe('the check of claimed calls fails when', () => {
	test.each([
		{name: 'no claim is made', mutation: 'noClaim', violation: 'ran more than once'},
		{name: 'a resend passes for a repeat of the same wish', mutation: 'sameRequestId', violation: 'ran more than once'},
		{name: 'the clock is not looked at before sending', mutation: 'noAbandonCheck', violation: 'was sent after its claim was settled'},
		{name: 'a lost answer counts as not run', mutation: 'lostMeansNotRun', violation: 'told "not run"'},
	] as const)('$name', async ({mutation, violation}) => {
		const violations: string[] = [];
		await fc.check(property(mutation, violations), {seed: 5, numRuns: runs, endOnFailure: true});
		expect(violations.join('; ')).toContain(violation);
	});
});
