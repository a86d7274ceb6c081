import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, beforeEach, expect, test,
} from 'vitest';
import {
	CONTROL_CONSENSUS, CONTROL_FETCH, createSeededRandom, toId,
} from '@baobabpier/core';
import type {
	CatalogueProposalResult, Clock, ConsensusMessageBatch, DataCentreId, Instant, InstanceId, OrderId, RpcMethod,
} from '@baobabpier/core';
import {FaultyFileSystem} from './faulty-file-system.js';
import {ReplicatedControlLog, RpcCallError} from '@baobabpier/daemon';
import type {InstanceEntry, Peers, RpcServer} from '@baobabpier/daemon';

type Handler = (params: unknown, context: {readonly signal: AbortSignal}) => unknown;

const entries: readonly InstanceEntry[] = ['i1', 'i2', 'i3'].map(id => ({
	id: toId<InstanceId>(id), dataCentre: toId<DataCentreId>('a'), peers: '127.0.0.1:1', replica: true,
}));
const limitMs = 15_000;
const clock: Clock = {now: () => performance.now() as Instant};

class Instance {
	readonly fs = new FaultyFileSystem();
	readonly handlers = new Map<string, Handler>();
	/** Methods that this instance called, with their parameters. */
	readonly calls: Array<{readonly method: string; readonly params: unknown}> = [];
	readonly control: ReplicatedControlLog;

	constructor(readonly entry: InstanceEntry, others: () => readonly Instance[]) {
		const peers = {
			get: (id: InstanceId) => ({
				call: async <Params, Result>({method}: RpcMethod<Params, Result>, params: Params): Promise<Result> => {
					this.calls.push({method, params});
					const handler = others().find(other => other.entry.id === id)?.handlers.get(method);
					if (handler === undefined) {
						throw new RpcCallError('silent', false);
					}

					return await handler(structuredClone(params), {signal: new AbortController().signal}) as Result;
				},
			}),
		} as unknown as Peers;
		this.control = new ReplicatedControlLog({
			self: entry, instances: entries, folder: '/data', fileSystem: this.fs, peers, clock, random: createSeededRandom(entries.indexOf(entry)),
		});
	}

	async start(): Promise<void> {
		await this.control.start({
			registerMethod: ({method}: RpcMethod<unknown, unknown>, handler: Handler) => {
				this.handlers.set(method, handler);
			},
		} as unknown as RpcServer);
	}

	setFull(isFull: boolean): void {
		this.fs.capacity = isFull ? 0 : Number.POSITIVE_INFINITY;
	}
}

let instances: Instance[];
let orders = 0;

const until = async <T>(what: string, find: () => T | undefined | Promise<T | undefined>): Promise<T> => {
	const deadline = Date.now() + limitMs;
	for (;;) {
		// eslint-disable-next-line no-await-in-loop
		const found = await find();
		if (found !== undefined) {
			return found;
		}

		if (Date.now() > deadline) {
			throw new Error(`not within ${limitMs} ms: ${what}`);
		}

		// eslint-disable-next-line no-await-in-loop
		await sleep(20);
	}
};

const findLeader = async (): Promise<Instance> => until('a leader', () => instances.find(({control: {status}}) => status.role === 'leader' && status.hearsQuorum));

/** Proposes from an instance until the change is accepted. */
const change = async ({control}: Instance): Promise<number> => until('an accepted change', async () => {
	try {
		const result: CatalogueProposalResult = await control.submit<'catalogue.propose'>({
			kind: 'catalogue.propose', proposal: {
				orderId: toId<OrderId>(`o${++orders}`), expected: control.state.catalogue.current.revision, author: 'operator', text: '[services]',
			},
		});
		return result.kind === 'accepted' ? result.revision : undefined;
	} catch {
		return undefined;
	}
});

const everywhere = async (revision: number): Promise<void> => {
	await until(`revision ${revision} everywhere`, () => instances.every(({control}) => control.state.catalogue.current.revision >= revision) || undefined);
};

beforeEach(() => {
	instances = entries.map(entry => new Instance(entry, () => instances));
});

afterEach(async () => {
	await Promise.all(instances.map(async ({control}) => control.stop()));
});

const startAll = async (): Promise<void> => {
	await Promise.all(instances.map(async instance => instance.start()));
};

test('founders that could not store the beginning are told again', async () => {
	for (const {fs} of instances.slice(1)) {
		let isDone = false;
		fs.rule = (call, _number, file) => {
			const fails = !isDone && call === 'write' && file.endsWith('log-2.part');
			isDone ||= fails;
			return fails ? 'ENOSPC' : undefined;
		};
	}

	await startAll();
	await everywhere(await change(instances[0]!));
	expect(instances.map(({control}) => control.status.reopenings)).toEqual([0, 1, 1]);
}, limitMs * 2);

test('a leader whose disk is full hands over, follows another instance, and takes part again once there is room', async () => {
	await startAll();
	for (let turn = 0; turn < 3; turn++) {
		/* eslint-disable no-await-in-loop -- one disk after the other */
		const leader = await findLeader();
		const other = instances.find(instance => instance !== leader)!;
		await everywhere(await change(other));
		leader.setFull(true);
		leader.calls.length = 0;
		const revision = await change(other);
		const messages = leader.calls.filter(({method}) => method === CONTROL_CONSENSUS.method).flatMap(({params}) => (params as ConsensusMessageBatch).messages);
		expect(messages.some(({kind}) => kind === 'electNow')).toBe(true);
		expect(leader.control.status).toMatchObject({role: undefined, failure: expect.stringContaining('ENOSPC') as string});
		await everywhere(revision);
		leader.setFull(false);
		await until('the replica runs', () => leader.control.status.failure === undefined && leader.control.status.hearsQuorum ? true : undefined);
		await sleep(100);
		leader.calls.length = 0;
		await everywhere(await change(other));
		expect(leader.calls.filter(({method}) => method === CONTROL_FETCH.method)).toEqual([]);
		expect(leader.fs.openFiles).toBe(1);
		/* eslint-enable no-await-in-loop */
	}
}, limitMs * 4);

test('a leader whose disk hangs hands over', async () => {
	await startAll();
	const leader = await findLeader();
	const other = instances.find(instance => instance !== leader)!;
	await everywhere(await change(other));
	let release: () => void;
	leader.fs.syncBarrier = new Promise(resolve => {
		release = resolve;
	});
	const revision = await change(other);
	expect(leader.control.state.catalogue.current.revision).toBeLessThan(revision);
	release!();
	leader.fs.syncBarrier = undefined;
	await everywhere(await change(other));
	expect(leader.control.status).toMatchObject({reopenings: 0});
}, limitMs * 3);

test('a disk that stays full for long holds no file open, and is asked at most a few times a second', async () => {
	await startAll();
	const [first, ...others] = instances;
	await change(first!);
	const failing = others.find(({control}) => control.status.role !== 'leader')!;
	failing.setFull(true);
	await change(first!);
	const before = failing.fs.calls;
	await sleep(3000);
	expect(failing.fs.openFiles).toBe(0);
	expect(failing.fs.calls - before).toBeLessThan(60);
	failing.setFull(false);
	await everywhere(await change(first!));
}, limitMs * 2);

test('a listener that fails keeps no later change from taking effect', async () => {
	for (const {control} of instances) {
		control.registerListener(() => {
			throw new Error('a fault of a listener');
		});
	}

	await startAll();
	const seen = instances.map(() => 0);
	for (const [index, {control}] of instances.entries()) {
		control.registerListener(() => {
			seen[index] = control.state.catalogue.current.revision;
		});
	}

	await change(instances[0]!);
	const revision = await change(instances[1]!);
	await everywhere(revision);
	expect(seen).toEqual([revision, revision, revision]);
}, limitMs * 2);
