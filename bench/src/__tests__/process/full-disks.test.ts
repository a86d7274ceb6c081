import {execFile} from 'node:child_process';
import {randomUUID} from 'node:crypto';
import {once} from 'node:events';
import {mkdir, rm} from 'node:fs/promises';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {promisify} from 'node:util';
import {
	afterAll, beforeAll, beforeEach, expect, test,
} from 'vitest';
import {
	CATALOGUE_APPLY, CATALOGUE_GET, CATALOGUE_HISTORY, STATUS, toId,
} from '@baobabpier/core';
import type {
	CatalogueProposalResult, ControlStatus, OrderId, Revision,
} from '@baobabpier/core';
import {waitFor} from './cluster-faults.js';
import type {ClusterInstance} from '@baobabpier/bench';
import {Cluster, deployments} from '@baobabpier/bench';

const run = promisify(execFile);
const conditionLimitMs = 30_000;
/** Between two orders: the history keeps the last 200 changes. */
const orderIntervalMs = 100;

let cluster: Cluster;
/** Orders of the present case that were answered as accepted, by revision. */
const accepted = new Map<number, string>();

const replicas = (): ClusterInstance[] => cluster.instances.filter(({id}) => id.endsWith('-1'));
const operatorInstance = (): ClusterInstance => cluster.instances.find(({id}) => id.endsWith('-2'))!;

/** Makes every write to a file fail, or succeed again: the instance writes no file outside its data folder. */
const setDiskFull = async ({process: {child}}: ClusterInstance, isFull: boolean): Promise<void> => {
	await run('prlimit', ['--pid', String(child.pid), `--fsize=${isFull ? '0' : 'unlimited'}:`]);
};

const revisionOf = async (instance: ClusterInstance): Promise<number> => {
	const {revision} = await cluster.call(instance, CATALOGUE_GET, {});
	return revision;
};

/** The control log as an instance shows it; undefined while the instance does not answer. */
const controlOf = async (instance: ClusterInstance): Promise<ControlStatus | undefined> => {
	try {
		const {control} = await cluster.call(instance, STATUS, {});
		return control;
	} catch {
		return undefined;
	}
};

const isLeader = async (instance: ClusterInstance): Promise<boolean> => {
	const control = await controlOf(instance);
	return control?.role === 'leader' && control.hearsQuorum;
};

const propose = async (order: string, expected: number): Promise<CatalogueProposalResult | undefined> => {
	try {
		const result = await cluster.call(operatorInstance(), CATALOGUE_APPLY, {
			orderId: toId<OrderId>(order), expected: toId<Revision>(expected), author: 'operator', text: cluster.catalogueText(),
		});
		if (result.kind === 'accepted') {
			expect(accepted.get(result.revision) ?? order).toBe(order);
			accepted.set(result.revision, order);
		}

		return result;
	} catch {
		// Refused or unanswered; the order is sent again
		return undefined;
	}
};

/** Sends one order until it has an answer. */
const change = async (stop?: AbortSignal): Promise<CatalogueProposalResult | undefined> => {
	const order = randomUUID();
	const expected = await revisionOf(operatorInstance());
	let result: CatalogueProposalResult | undefined;
	await waitFor('an answer to an order', async () => {
		result = await propose(order, expected);
		return result !== undefined || stop?.aborted === true;
	}, conditionLimitMs);
	return result;
};

/** Sends orders until it is stopped. */
const keepChanging = async (stop: AbortSignal): Promise<void> => {
	while (!stop.aborted) {
		// eslint-disable-next-line no-await-in-loop
		await change(stop);
		// eslint-disable-next-line no-await-in-loop
		await sleep(orderIntervalMs);
	}
};

const expectChangeAccepted = async (): Promise<void> => {
	await waitFor('an accepted change', async () => {
		const result = await change();
		return result?.kind === 'accepted';
	}, conditionLimitMs);
};

/** Waits until the running replica of each instance votes: the voter of a lost disk is replaced. */
const expectAllVoting = async (): Promise<void> => {
	await Promise.all(replicas().map(async instance => waitFor(`the replica of ${instance.id}`, async () => {
		const control = await controlOf(instance);
		return control?.failure === undefined && control?.members.some(({replica, voter}) => voter && replica === control.replica) === true && control.hearsQuorum;
	}, conditionLimitMs)));
};

const findLeader = async (): Promise<ClusterInstance> => {
	let leader: ClusterInstance | undefined;
	await waitFor('a leader', async () => {
		const leads = await Promise.all(replicas().map(async instance => isLeader(instance)));
		leader = replicas()[leads.indexOf(true)];
		return leader !== undefined;
	}, conditionLimitMs);
	return leader!;
};

const expectNothingLost = async (): Promise<void> => {
	const newest = Math.max(...accepted.keys());
	for (const instance of cluster.instances) {
		// eslint-disable-next-line no-await-in-loop
		await waitFor(`revision ${newest} in force at ${instance.id}`, async () => await revisionOf(instance) >= newest, conditionLimitMs);
		// eslint-disable-next-line no-await-in-loop
		const {changes} = await cluster.call(instance, CATALOGUE_HISTORY, {});
		const held = new Map<number, string>(changes.map(item => [item.revision, item.orderId]));
		expect([...accepted].filter(([revision, order]) => held.get(revision) !== order)).toEqual([]);
	}
};

beforeAll(async () => {
	cluster = await Cluster.start(deployments.himali);
	await cluster.applyCatalogue();
});

afterAll(async () => {
	await cluster.stop();
});

type Case = {
	readonly name: string;
	readonly fullMs: number;
	readonly gapMs: number;
	readonly choose: (turn: number) => Promise<ClusterInstance>;
};

const cases: readonly Case[] = [
	{
		name: 'each replica in turn', fullMs: 3000, gapMs: 3000, choose: async turn => replicas()[turn]!,
	},
	{
		name: 'each replica in turn, 0.5 s apart', fullMs: 3000, gapMs: 500, choose: async turn => replicas()[turn]!,
	},
	{
		name: 'the leader each time', fullMs: 2000, gapMs: 500, choose: async () => findLeader(),
	},
];

/** Makes one disk after another full, never two at once, while an operator changes the catalogue. */
const fillInTurn = async (turns: number, {fullMs, gapMs, choose}: Case): Promise<void> => {
	const stop = new AbortController();
	const operator = keepChanging(stop.signal);
	for (let turn = 0; turn < turns; turn++) {
		// eslint-disable-next-line no-await-in-loop
		const instance = await choose(turn);
		// eslint-disable-next-line no-await-in-loop
		await setDiskFull(instance, true);
		// eslint-disable-next-line no-await-in-loop
		await sleep(fullMs);
		// eslint-disable-next-line no-await-in-loop
		await setDiskFull(instance, false);
		// eslint-disable-next-line no-await-in-loop
		await sleep(gapMs);
	}

	stop.abort();
	await operator;
};

beforeEach(() => {
	accepted.clear();
});

test.each(cases)('changes are accepted after full disks: $name', async item => {
	await fillInTurn(3, item);
	await expectChangeAccepted();
	await expectNothingLost();
	await expectAllVoting();
});

const endInstance = async ({process: {child}}: ClusterInstance): Promise<void> => {
	const ended = once(child, 'exit');
	child.kill('SIGKILL');
	await ended;
};

test.each([
	['its log', false],
	['an empty folder', true],
])('an instance whose disk is full while it starts with %s takes part once there is room', async (_name, isEmptied) => {
	const instance = replicas()[1]!;
	const folder = join(cluster.folder, `${instance.id}-data`);
	await endInstance(instance);
	if (isEmptied) {
		await rm(folder, {recursive: true});
		await mkdir(folder);
	}

	cluster.restart(instance);
	await setDiskFull(instance, true);
	await waitFor('the failure in the status', async () => {
		const control = await controlOf(instance);
		return control?.failure !== undefined && control.failedForMs !== undefined;
	}, conditionLimitMs);
	const {output} = await cluster.runCli(['status'], instance);
	expect(output).toContain('replica stopped: ');
	await expectChangeAccepted();
	await setDiskFull(instance, false);
	await expectAllVoting();
	expect(await controlOf(instance)).toMatchObject({reopenings: 1});
	await expectNothingLost();
});

test('a replica joins while the disks of the others are full in turn', async () => {
	const [joining, ...others] = replicas();
	await endInstance(joining!);
	const folder = join(cluster.folder, `${joining!.id}-data`);
	await rm(folder, {recursive: true});
	await mkdir(folder);
	cluster.restart(joining!);
	await fillInTurn(4, {
		name: '', fullMs: 700, gapMs: 500, choose: async turn => others[turn % 2]!,
	});
	await expectChangeAccepted();
	await expectAllVoting();
	await expectNothingLost();
});
