import {randomUUID} from 'node:crypto';
import {mkdir, rm} from 'node:fs/promises';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterAll, beforeAll, expect, test,
} from 'vitest';
import {
	CATALOGUE_APPLY, CATALOGUE_GET, CATALOGUE_HISTORY, STATUS, toId,
} from '@baobabpier/core';
import type {
	CatalogueProposalResult, InstanceStatus, OrderId, Revision,
} from '@baobabpier/core';
import type {ClusterInstance} from '@baobabpier/bench';
import {callPlain, Cluster, deployments} from '@baobabpier/bench';

const deadlineMs = 30_000;

let cluster: Cluster;
/** Orders that were answered as accepted, by revision. */
const accepted = new Map<number, string>();

const replicas = (): ClusterInstance[] => cluster.instances.filter(({id}) => id.endsWith('-1'));
const statusOf = async (instance: ClusterInstance): Promise<InstanceStatus> => cluster.call(instance, STATUS, {});

const until = async <T>(find: () => Promise<T | undefined>, pauseMs = 50): Promise<T> => {
	const deadline = Date.now() + deadlineMs;
	for (;;) {
		try {
			// eslint-disable-next-line no-await-in-loop
			const found = await find();
			if (found !== undefined) {
				return found;
			}
		} catch (error) {
			if (Date.now() > deadline) {
				throw error;
			}
		}

		if (Date.now() > deadline) {
			throw new Error('the condition was not met in time');
		}

		// eslint-disable-next-line no-await-in-loop
		await sleep(pauseMs);
	}
};

const findLeader = async (except?: ClusterInstance): Promise<ClusterInstance> => until(async () => {
	const others = replicas().filter(instance => instance !== except);
	const statuses = await Promise.allSettled(others.map(async instance => statusOf(instance)));
	const index = statuses.findIndex(status => status.status === 'fulfilled' && status.value.control.role === 'leader' && status.value.control.hearsQuorum);
	return others[index];
});

const kill = async (instance: ClusterInstance): Promise<void> => {
	const {child} = instance.process;
	const ended = new Promise(resolve => {
		child.once('exit', resolve);
	});
	child.kill('SIGKILL');
	await ended;
};

const revisionOf = async (instance: ClusterInstance): Promise<number> => {
	const {revision} = await cluster.call(instance, CATALOGUE_GET, {});
	return revision;
};

const propose = async (instance: ClusterInstance, order: string, expected: number): Promise<CatalogueProposalResult> => {
	const verdict = await cluster.call(instance, CATALOGUE_APPLY, {
		orderId: toId<OrderId>(order), expected: toId<Revision>(expected), author: 'operator', text: cluster.catalogueText(),
	});
	if (verdict.kind === 'accepted') {
		expect(accepted.get(verdict.revision) ?? order).toBe(order);
		accepted.set(verdict.revision, order);
	}

	return verdict;
};

/** Proposes until an answer comes, sending the same order again after a lost one. */
const proposeSurely = async (instance: ClusterInstance): Promise<CatalogueProposalResult> => {
	const order = randomUUID();
	const expected = await until(async () => revisionOf(instance));
	return until(async () => propose(instance, order, expected));
};

/** Changes the catalogue until one is accepted. */
const change = async (instance: ClusterInstance): Promise<number> => until(async () => {
	const verdict = await proposeSurely(instance);
	return verdict.kind === 'accepted' ? verdict.revision : undefined;
});

const everywhere = async (revision: number): Promise<void> => {
	await Promise.all(cluster.instances.map(async instance => until(async () => await revisionOf(instance) >= revision ? true : undefined)));
};

const expectNothingLost = async (): Promise<void> => {
	const revision = Math.max(...accepted.keys());
	await everywhere(revision);
	for (const instance of cluster.instances) {
		// eslint-disable-next-line no-await-in-loop
		const {changes} = await cluster.call(instance, CATALOGUE_HISTORY, {});
		const held = new Map<number, string>(changes.map(item => [item.revision, item.orderId]));
		expect([...accepted].filter(([number, order]) => held.get(number) !== order)).toEqual([]);
	}
};

beforeAll(async () => {
	cluster = await Cluster.start(deployments.himali);
	await cluster.applyCatalogue();
});

afterAll(async () => {
	for (const {process: running} of cluster.instances) {
		running.child.kill('SIGCONT');
	}

	await cluster.stop();
});

test('no accepted change and no booking is lost or doubled while each replica is killed in turn', async () => {
	const stop = new AbortController();
	const learners = cluster.instances.filter(({id}) => id.endsWith('-2'));
	const operators = learners.map(async instance => {
		while (!stop.signal.aborted) {
			// eslint-disable-next-line no-await-in-loop
			await proposeSurely(instance);
		}
	});
	const booked: string[] = [];
	const customer = (async () => {
		for (let index = 0; !stop.signal.aborted; index++) {
			const ref = `kill-${index}`;
			// eslint-disable-next-line no-await-in-loop
			const result = await callPlain(learners[index % 3]!.callers, 'shopfront', {path: '/bookings', body: {ref}, key: ref});
			if (result.whole) {
				booked.push(ref);
			}
		}
	})();
	for (const replica of replicas()) {
		const before = accepted.size;
		// eslint-disable-next-line no-await-in-loop
		await kill(replica);
		// eslint-disable-next-line no-await-in-loop
		await until(async () => accepted.size > before + 3 ? true : undefined);
		cluster.restart(replica);
		// eslint-disable-next-line no-await-in-loop
		await until(async () => {
			const {control} = await statusOf(replica);
			return control.hearsQuorum || undefined;
		});
	}

	stop.abort();
	await Promise.all([...operators, customer]);
	await expectNothingLost();
	const backends = cluster.standIns.filter(({kind}) => kind === 'backend');
	const counters = await Promise.all(backends.map(async ({address}) => cluster.counters(address)));
	const runs = (ref: string): number => counters.reduce((sum, counter) => sum + (counter[ref] ?? 0), 0);
	expect(booked.length).toBeGreaterThan(0);
	expect(booked.filter(ref => runs(ref) !== 1)).toEqual([]);
	expect(counters.flatMap(counter => Object.keys(counter)).filter(ref => ref.startsWith('kill-') && runs(ref) > 1)).toEqual([]);
});

test('an order sent again after the leader\'s death gets its first answer', async () => {
	const leader = await findLeader();
	const order = randomUUID();
	const expected = await revisionOf(leader);
	const first = await propose(leader, order, expected);
	await kill(leader);
	const other = cluster.instances.find(instance => instance !== leader)!;
	expect(await until(async () => propose(other, order, expected))).toEqual(first);
	expect(await until(async () => propose(other, randomUUID(), expected))).toMatchObject({kind: 'conflict', winner: {orderId: order}});
	cluster.restart(leader);
	await expectNothingLost();
});

test('a leader that was frozen past its lease accepts nothing and reverts nothing', async () => {
	const leader = await findLeader();
	const other = cluster.instances.find(({id}) => id.endsWith('-2'))!;
	leader.process.child.kill('SIGSTOP');
	const revision = await change(other);
	leader.process.child.kill('SIGCONT');
	const verdict = await until(async () => propose(leader, randomUUID(), revision - 1));
	expect(verdict.kind).toBe('conflict');
	expect(await revisionOf(await findLeader())).toBeGreaterThanOrEqual(revision);
	await expectNothingLost();
});

test('an instance without a disk comes back with the revision of the others', async () => {
	const instance = cluster.instances.find(({id}) => id.endsWith('-2'))!;
	await kill(instance);
	const revision = await change(replicas()[0]!);
	cluster.restart(instance);
	const first = await until(async () => revisionOf(instance), 0);
	expect(first).toBeGreaterThanOrEqual(revision);
});

test('a replica with a deleted folder is refilled, and the next loss right after loses nothing', async () => {
	const [lost, next] = replicas() as [ClusterInstance, ClusterInstance];
	for (const instance of [lost, next]) {
		// eslint-disable-next-line no-await-in-loop
		const {control} = await until(async () => statusOf(instance));
		// eslint-disable-next-line no-await-in-loop
		await kill(instance);
		// eslint-disable-next-line no-await-in-loop
		await rm(join(cluster.folder, `${instance.id}-data`), {recursive: true});
		// eslint-disable-next-line no-await-in-loop
		await mkdir(join(cluster.folder, `${instance.id}-data`));
		// eslint-disable-next-line no-await-in-loop
		await change(cluster.instances.find(({id}) => id.endsWith('-2'))!);
		cluster.restart(instance);
		// eslint-disable-next-line no-await-in-loop
		await until(async () => {
			const {control: {replica, members}} = await statusOf(await findLeader());
			const voters = members.filter(({voter}) => voter).map(member => member.replica as string);
			const again = await statusOf(instance);
			return again.control.replica !== control.replica && replica !== undefined && voters.length === 3 && voters.includes(again.control.replica!) ? true : undefined;
		});
	}

	await change(lost);
	await expectNothingLost();
});

test('cut off from the quorum an instance claims nothing, says so, and goes on with what it has', async () => {
	const [alone, ...others] = replicas() as [ClusterInstance, ClusterInstance, ClusterInstance];
	await until(async () => {
		const {control} = await statusOf(alone);
		return control.hearsQuorum || undefined;
	});
	const revision = await revisionOf(alone);
	for (const {process: running} of others) {
		running.child.kill('SIGSTOP');
	}

	await until(async () => {
		const {control} = await statusOf(alone);
		return control.hearsQuorum ? undefined : true;
	});
	const {output} = await cluster.runCli(['status'], alone);
	expect(output).toContain('can\'t hear the quorum');
	const booking = await callPlain(alone.callers, 'shopfront', {path: '/bookings', body: {ref: 'cut-off'}, key: 'cut-off'});
	expect(booking.status).toBe(503);
	expect(booking.note).toContain('ledgerUnavailable');
	const lookup = await callPlain(alone.callers, 'shopfront', {path: '/availability', body: {set: 1}});
	expect(lookup.whole).toBe(true);
	expect(await revisionOf(alone)).toBe(revision);
	for (const {process: running} of others) {
		running.child.kill('SIGCONT');
	}

	await until(async () => {
		const again = await callPlain(alone.callers, 'shopfront', {path: '/bookings', body: {ref: 'cut-off-2'}, key: 'cut-off-2'});
		return again.whole || undefined;
	});
	await expectNothingLost();
});
