import {once} from 'node:events';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, beforeEach, expect, test,
} from 'vitest';
import {request} from 'undici';
import type {Fault} from '@baobabpier/stand-ins';
import {expectAllWhole, until} from './fleet-harness.js';
import {
	callPlain, Cluster, deployments, streamCompletion,
} from '@baobabpier/bench';
import type {CallResult, ClusterInstance} from '@baobabpier/bench';

const bookingMs = 2500;
const prompt = 'Trout manifest. '.repeat(50);

let cluster: Cluster;

beforeEach(async () => {
	cluster = await Cluster.start(deployments.himali);
	await cluster.applyCatalogue();
	await setFaults([{kind: 'delay', path: '/bookings', ms: bookingMs}]);
});

afterEach(async () => {
	await cluster.stop();
});

/** Orders faults from all backend servers. */
const setFaults = async (faults: readonly Fault[]): Promise<void> => {
	const backends = cluster.standIns.filter(({kind}) => kind === 'backend');
	await Promise.all(backends.map(async ({address}) => request(`http://${address}/faults`, {method: 'PUT', body: JSON.stringify(faults)})));
};

const find = (id: string): ClusterInstance => cluster.instances.find(instance => instance.id === id)!;

/** Starts streams and a slow booking through an instance; the answers come later. */
const startWork = async (instance: ClusterInstance, streams: number): Promise<{finished: Promise<CallResult[]>}> => {
	const work = [
		...Array.from({length: streams}, async () => streamCompletion(instance.callers, 'summary-llm', prompt, 60)),
		callPlain(instance.callers, 'shopfront', {path: '/bookings', body: {ref: instance.id}, key: `key-${instance.id}`}),
	];
	await sleep(300);
	return {finished: Promise.all(work)};
};

const expectWhole = async ({finished}: {finished: Promise<CallResult[]>}): Promise<void> => {
	const results = await finished;
	expectAllWhole(results);
};

const bookings = async (): Promise<Record<string, number>> => {
	const counters = await Promise.all(cluster.standIns.filter(({kind}) => kind === 'backend').map(async ({address}) => cluster.counters(address)));
	const total: Record<string, number> = {};
	for (const [ref, runs] of counters.flatMap(counter => Object.entries(counter))) {
		total[ref] = (total[ref] ?? 0) + runs;
	}

	return total;
};

type StopInForce = {
	readonly orderId: string;
	readonly state: string;
	readonly target: {readonly id: string};
};

const hasStop = async (matches: (stop: StopInForce) => boolean): Promise<boolean> => {
	const {output} = await cluster.runCli(['stop', 'status', '--json']);
	const {stops} = JSON.parse(output) as {stops: StopInForce[]};
	return stops.some(stop => matches(stop));
};

const exitCodeOf = async (args: readonly string[]): Promise<number> => {
	const {code} = await cluster.runCli(args);
	return code;
};

const isReady = async (instance: ClusterInstance): Promise<boolean> => {
	try {
		const answer = await request(`http://${instance.callers}/readyz`);
		await answer.body.dump();
		return answer.statusCode === 200;
	} catch {
		return false;
	}
};

test('SIGTERM, sent twice, lets streams and a claimed call finish and ends with code 0', async () => {
	const instance = find('bagmati-b-2');
	const work = await startWork(instance, 8);
	const exit = once(instance.process.child, 'exit');
	instance.process.child.kill('SIGTERM');
	await sleep(50);
	const answer = await request(`http://${instance.callers}/readyz`);
	await answer.body.dump();
	expect([answer.statusCode, answer.headers.connection]).toEqual([503, 'close']);
	instance.process.child.kill('SIGTERM');
	await expectWhole(work);
	const [code] = await exit as [number];
	expect(code).toBe(0);
	expect(await bookings()).toEqual({[instance.id]: 1});
	expect(await cluster.heldPieces()).toBe(0);
	await until('the stop is recorded as over', async () => hasStop(({state, target}) => target.id === instance.id && state === 'stopped'));
});

test('a stop by the operator drains, is reported while it does, and outlasts its own limit', async () => {
	const instance = find('bagmati-b-1');
	// The booking lasts until the second stop is refused, however slow the machine is
	await setFaults([{kind: 'hold', path: '/bookings'}]);
	const work = await startWork(instance, 4);
	const exit = once(instance.process.child, 'exit');
	const {code, output} = await cluster.runCli(['stop', 'plan', 'instance', instance.id, '--within', '600']);
	expect([code, output.includes('Still draining after 600 ms'), output.includes('in progress on bagmati-b-1')]).toEqual([7, true, true]);
	const second = await cluster.runCli(['stop', 'plan', 'instance', 'bagmati-c-1']);
	expect([second.code, second.output.split('\n')[0]]).toEqual([6, 'Refused: 1 of 3 replicas would be left, the quorum is 2.']);
	await setFaults([]);
	await expectWhole(work);
	const [exitCode] = await exit as [number];
	expect(exitCode).toBe(0);
	cluster.restart(instance);
	await until('it is ready again', async () => isReady(instance));
	await until('its stop is out of force', async () => !await hasStop(() => true));
});

test('a cancelled stop leaves the instance serving', async () => {
	const instance = find('bagmati-b-1');
	// The booking lasts until the cancel is confirmed, however slow the machine is
	await setFaults([{kind: 'hold', path: '/bookings'}]);
	const work = await startWork(instance, 1);
	await cluster.runCli(['stop', 'plan', 'instance', instance.id, '--no-wait', '--order-id', 'o-1']);
	await until('it is not ready', async () => !(await isReady(instance)));
	expect(await exitCodeOf(['stop', 'cancel', 'o-1'])).toBe(0);
	await setFaults([]);
	await expectWhole(work);
	await until('it is ready again', async () => isReady(instance));
	expect(instance.process.child.exitCode).toBeNull();
});

test('a cancel that comes after the end of the drain says so', async () => {
	const instance = find('bagmati-b-1');
	const exit = once(instance.process.child, 'exit');
	await cluster.runCli(['stop', 'plan', 'instance', instance.id, '--no-wait', '--order-id', 'o-1']);
	const [exitCode] = await exit as [number];
	const {code, output} = await cluster.runCli(['stop', 'cancel', 'o-1']);
	expect([exitCode, code, output.trim()]).toEqual([0, 8, 'Stop o-1 is out of force, but its drain was over: instance bagmati-b-1 has ended and must be started.']);
});

test('a stop that a SIGKILL interrupts completes and leaves nothing behind', async () => {
	const instance = find('bagmati-b-1');
	// The booking lasts until the kill, however slow the machine is
	await setFaults([{kind: 'hold', path: '/bookings'}]);
	const work = await startWork(instance, 1);
	const {code, output} = await cluster.runCli(['stop', 'plan', 'instance', instance.id, '--within', '600']);
	expect([code, output.includes(`in progress on ${instance.id}`)]).toEqual([7, true]);
	expect(await isReady(instance)).toBe(false);
	instance.process.child.kill('SIGKILL');
	await expect(work.finished).rejects.toThrow();
	await setFaults([]);
	await until('the stop is over', async () => hasStop(({state}) => state === 'stopped'));
	cluster.restart(instance);
	await until('it is ready again', async () => isReady(instance));
	await until('its stop is out of force', async () => !await hasStop(() => true));
});

test.each([
	{kind: 'engine', id: 'summary-llm-d11', role: 'decode engine'},
	{kind: 'engine', id: 'summary-llm-p1', role: 'prefill engine'},
	{kind: 'backend', id: 'shopfront-1', role: 'backend server'},
])('a stop of a $role finishes what is in progress there and takes nothing new', async ({kind, id}) => {
	const instance = find('bagmati-a-2');
	const work = await startWork(instance, 5);
	const {code} = await cluster.runCli(['stop', 'plan', kind, id, '--json']);
	expect(code).toBe(0);
	const {address} = cluster.standIns.find(standIn => standIn.id === id)!;
	const before = await cluster.counters(address);
	expect(before.heldPieces ?? 0).toBe(0);
	await expectWhole(work);
	await expectWhole(await startWork(find('bagmati-a-1'), 5));
	const after = await cluster.counters(address);
	expect([after.prefillTokens, after.outputTokens, after['bagmati-a-1']]).toEqual([before.prefillTokens, before.outputTokens, undefined]);
});

test('a stop of a data centre moves its work and cuts off none', async () => {
	const instance = find('bagmati-b-2');
	const work = await startWork(instance, 8);
	const exits = ['bagmati-b-1', 'bagmati-b-2'].map(async id => once(find(id).process.child, 'exit') as Promise<[number]>);
	const {code} = await cluster.runCli(['stop', 'plan', 'data-centre', 'bagmati-b', '--within', '60000']);
	expect(code).toBe(0);
	await expectWhole(work);
	expect(await Promise.all(exits)).toEqual([[0, null], [0, null]]);
	await expectWhole(await startWork(find('bagmati-c-1'), 8));
	expect(await exitCodeOf(['stop', 'plan', 'data-centre', 'bagmati-c'])).toBe(6);
});

test('a stop of the replicas\' leader cuts off no request, claim or change', async () => {
	const statuses = await Promise.all(cluster.instances.map(async instance => {
		const {output} = await cluster.runCli(['status', '--json'], instance);
		return {instance, status: JSON.parse(output) as {control?: {role?: string}}};
	}));
	const leader = statuses.find(({status}) => status.control?.role === 'leader')!.instance;
	const others = cluster.instances.filter(instance => instance !== leader);
	const exit = once(leader.process.child, 'exit');
	const work = [await startWork(leader, 4), await startWork(others[0]!, 4)];
	const {code} = await cluster.runCli(['stop', 'plan', 'instance', leader.id, '--no-wait'], others[0]);
	expect(code).toBe(0);
	const late = others.slice(1).map(async instance => callPlain(instance.callers, 'shopfront', {path: '/bookings', body: {ref: `late-${instance.id}`}, key: `late-${instance.id}`}));
	await Promise.all(work.map(async one => expectWhole(one)));
	await expectWhole({finished: Promise.all(late)});
	const [exitCode] = await exit as [number];
	expect(exitCode).toBe(0);
	await expectWhole(await startWork(others[1]!, 4));
});
