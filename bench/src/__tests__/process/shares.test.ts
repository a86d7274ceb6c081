import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, beforeEach, expect, test,
} from 'vitest';
import {expectAllWhole, until} from './fleet-harness.js';
import {Cluster, deployments, streamCompletion} from '@baobabpier/bench';
import type {ClusterInstance} from '@baobabpier/bench';

const dataCentre = 'bagmati-b';
const prompt = 'Trout manifest. '.repeat(50);

let cluster: Cluster;

beforeEach(async () => {
	cluster = await Cluster.start(deployments.himali);
	await cluster.applyCatalogue();
	await until('the pool has an owner', async () => {
		const owning = await owners();
		return owning.length === 1;
	});
});

afterEach(async () => {
	await cluster.stop();
});

const locals = (): readonly ClusterInstance[] => cluster.instances.filter(instance => instance.dataCentre === dataCentre);

const ownsPool = async (instance: ClusterInstance): Promise<boolean> => {
	const {code, output} = await cluster.runCli(['status', '--json'], instance);
	if (code !== 0) {
		return false;
	}

	const {pools} = JSON.parse(output) as {pools: Array<{dataCentre: string}>};
	return pools.some(pool => pool.dataCentre === dataCentre);
};

/** The instances that say that they own the data centre's pool. */
const owners = async (instances = locals()): Promise<readonly ClusterInstance[]> => {
	const owning = await Promise.all(instances.map(async instance => ownsPool(instance)));
	return instances.filter((_, index) => owning[index]);
};

const ownerAndOther = async (): Promise<readonly [ClusterInstance, ClusterInstance]> => {
	const [owner] = await owners();
	return [owner!, locals().find(instance => instance !== owner)!];
};

const expectServed = async (instance: ClusterInstance, streams = 6): Promise<void> => {
	const results = await Promise.all(Array.from({length: streams}, async () => streamCompletion(instance.callers, 'summary-llm', prompt, 20)));
	expectAllWhole(results);
};

test('a killed owner\'s pool moves, and streams that it placed for others come whole', async () => {
	const [owner, other] = await ownerAndOther();
	const streams = Array.from({length: 6}, async () => streamCompletion(other.callers, 'summary-llm', prompt, 60));
	await sleep(300);
	owner.process.child.kill('SIGKILL');
	const results = await Promise.all(streams);
	expectAllWhole(results);
	await expectServed(other);
	await until('the pool moved', async () => ownsPool(other));
	await expectServed(other);
	await until('no memory is held', async () => await cluster.heldPieces() === 0);
});

test('a frozen owner that wakes after its pool moved grants nothing', async () => {
	const [owner, other] = await ownerAndOther();
	owner.process.child.kill('SIGSTOP');
	await until('the pool moved', async () => ownsPool(other));
	owner.process.child.kill('SIGCONT');
	for (let tries = 0; tries < 10; tries++) {
		// eslint-disable-next-line no-await-in-loop
		const owning = await owners();
		expect(owning.map(({id}) => id)).toEqual([other.id]);
	}

	await expectServed(owner);
	await expectServed(other);
});

test('a stopped owner hands its pool over at once', async () => {
	const [owner, other] = await ownerAndOther();
	owner.process.child.kill('SIGTERM');
	await until('the pool moved', async () => ownsPool(other));
	await expectServed(other);
});

test('a data centre that lost the quorum keeps its owner and goes on serving', async () => {
	const [owner, other] = await ownerAndOther();
	for (const instance of cluster.instances.filter(({dataCentre: where}) => where !== dataCentre)) {
		instance.process.child.kill('SIGSTOP');
	}

	await sleep(12_000);
	const owning = await owners();
	expect(owning.map(({id}) => id)).toEqual([owner.id]);
	// Cut off, each instance has half of its data centre's part of the limit: 5 in progress
	await expectServed(owner, 4);
	await expectServed(other, 4);
	for (const instance of cluster.instances) {
		instance.process.child.kill('SIGCONT');
	}

	await until('every data centre serves', async () => {
		const results = await Promise.all(cluster.instances.map(async ({callers}) => streamCompletion(callers, 'summary-llm', prompt, 5)));
		return results.every(({whole}) => whole);
	});
});
