import {expect, test} from 'vitest';
import {
	ManualClock, parseCatalogue, createSeededRandom, StaticShareMap, toId,
} from '@baobabpier/core';
import type {
	AdmissionDecision, DataCentreId, InstanceId, Revision, ServiceName,

	LIMIT_PARTS,
} from '@baobabpier/core';
import {LimitTask} from '../../limits/limit-task.js';
import type {Peers} from '../../rpc/peers.js';
import type {RpcServer} from '../../rpc/rpc-server.js';

const service = toId<ServiceName>('desk');
const instances = ['i1', 'i2'].map(id => ({id: toId<InstanceId>(id), dataCentre: toId<DataCentreId>('dc')}));
/** Half of the limit belongs to the data centre's allocator and half to the deployment's; each instance may hold half of either. */
const catalogue = (inFlight: number) => parseCatalogue(`
[services.desk]
kind = "plain"
owner = "o"
class = "urgent"
limits = {inFlight = ${inFlight}}
backends = [{id = "desk-1", address = "127.0.0.1:5", dataCentre = "dc"}]
`, toId<Revision>(1)).unwrap();

type Handler = (params: never) => unknown;

/** Two limit tasks that reach each other's methods directly; started without timers of their own. `owners` may own limits. */
const createTasks = (inFlight: number, owners = instances) => {
	const clock = new ManualClock();
	const handlers = new Map<InstanceId, Handler>();
	const snapshot = catalogue(inFlight);
	const tasks = instances.map(self => {
		const task = new LimitTask({
			self,
			incarnation: 1,
			instances,
			clock,
			random: createSeededRandom(1),
			shares: new StaticShareMap(self.id, owners),
			peers: {get: (id: InstanceId) => ({call: async (_method: unknown, params: never) => handlers.get(id)!(params)})} as unknown as Peers,
			catalogue: {current: () => snapshot},
		});
		task.start({
			registerMethod(_method: typeof LIMIT_PARTS, handler: Handler) {
				handlers.set(self.id, handler);
			},
		} as unknown as RpcServer);
		task.stop();
		return task;
	});
	const round = async (): Promise<void> => {
		clock.advance(1000);
		await Promise.all(tasks.map(async task => task.requestQuotas()));
	};

	const admit = async (index: number, count: number): Promise<readonly AdmissionDecision[]> =>
		Promise.all(Array.from({length: count}, async () => tasks[index]!.admit(service, snapshot.services.get(service)!.limits, 0, clock.now())));
	const kill = (index: number): void => {
		handlers.delete(instances[index]!.id);
	};

	return {
		clock, round, admit, kill,
	};
};

const kinds = (decisions: readonly AdmissionDecision[]): readonly string[] => decisions.map(({kind}) => kind);

test.each([
	{
		inFlight: 20, busy: 8, later: 8, expected: 8,
	},
	{
		inFlight: 20, busy: 10, later: 10, expected: 10,
	},
	{
		inFlight: 20, busy: 4, later: 12, expected: 10,
	},
])('admits $expected of $later requests at an instance after the other one was busy with $busy of $inFlight', async ({inFlight, busy, later, expected}) => {
	const {clock, round, admit} = createTasks(inFlight);
	await round();
	await round();
	const first = await admit(0, busy);
	expect(kinds(first)).toEqual(first.map(() => 'admitted'));
	await round();
	for (const decision of first) {
		(decision as Extract<AdmissionDecision, {kind: 'admitted'}>).release();
	}

	clock.advance(150);
	const decisions = await admit(1, later);
	expect(kinds(decisions).filter(kind => kind === 'admitted')).toHaveLength(expected);
});

/** The owner is suspected after 6 s, its lease is over 7.5 s later, and the new owner receives each holder's request within 1 s. */
const takeoverMs = 14_500;

// Callers of a data centre were refused while another instance took over the limits that a killed one had owned
test.each([
	{silentMs: 0, expected: 10},
	{silentMs: 4000, expected: 10},
	{silentMs: takeoverMs, expected: 10},
	{silentMs: 20_000, expected: 0},
])('admits $expected requests at an instance that got no grant for $silentMs ms after the last, since its limits\' owner was killed', async ({silentMs, expected}) => {
	const {clock, round, admit, kill} = createTasks(20, instances.slice(0, 1));
	await round();
	await round();
	kill(0);
	clock.advance(silentMs);
	const decisions = await admit(1, 12);
	expect(kinds(decisions).filter(kind => kind === 'admitted')).toHaveLength(expected);
});
