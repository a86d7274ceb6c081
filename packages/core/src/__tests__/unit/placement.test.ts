import {describe, expect, test} from 'vitest';
import {
	BatchModel, BucketedEngineIndex, EnginePool, ForecastPolicy, PlacementQueue, toHold, toId, SerialQueueModel,
} from '@baobabpier/core';
import type {
	AttemptNumber,
	DataCentreId,
	EngineEntry,
	EngineId,
	EngineView,
	EngineIncarnation,
	Instant,
	InstanceId,
	PlacementRequest,
	PoolEffect,
	RequestId,
	ServiceClass,
	ServiceName,
} from '@baobabpier/core';

const at = (ms: number): Instant => ms as Instant;
const hold = (id: string) => toHold(toId<RequestId>(id), toId<AttemptNumber>(1));

const createRequest = (id: string, change: Partial<PlacementRequest> = {}): PlacementRequest => ({
	...hold(id),
	service: toId<ServiceName>('lm'),
	class: 'patient',
	holder: toId<InstanceId>('i1'),
	promptTokens: 2000,
	maxTokens: 100,
	pieces: 4,
	prefix: '',
	deadline: at(10_000),
	excluded: [],
	...change,
});

const createView = (id: string, change: Partial<EngineView> = {}): EngineView => ({
	id: toId<EngineId>(id),
	address: id,
	dataCentre: toId<DataCentreId>('a'),
	role: 'decode',
	pieces: 64,
	freePieces: 64,
	queuedTokens: 0,
	running: 0,
	maxStreams: 20,
	reportedAt: undefined,
	incarnation: undefined,
	leaving: false,
	...change,
});

const createEntry = (id: string, role: EngineEntry['role'], pieces = 40): EngineEntry => ({
	id: toId<EngineId>(id), address: id, dataCentre: toId<DataCentreId>('a'), role, pieces, fencesOrders: false,
});

const createPool = (engines: readonly EngineEntry[] = [createEntry('p1', 'prefill'), createEntry('d1', 'decode'), createEntry('d2', 'decode')]): EnginePool => {
	const pool = new EnginePool(toId<InstanceId>('i1'), new ForecastPolicy({betweenOutputsMs: 30}), {queue: 100}, {leaseMs: 5000, orphanTimeoutMs: 6000});
	pool.step({kind: 'engines', engines, leaving: new Set()}, at(0));
	return pool;
};

const kindsOf = (effects: readonly PoolEffect[]): string[] => effects.map(effect => `${effect.kind} ${effect.hold.requestId}`);

describe('engine index', () => {
	test.each([
		{name: 'most free memory first', views: [createView('full', {freePieces: 4}), createView('free')], first: 'free'},
		{name: 'a full batch counts as load', views: [createView('busy', {running: 20}), createView('half', {freePieces: 32})], first: 'half'},
		{name: 'leaving engines are left out', views: [createView('gone', {leaving: true}), createView('here', {freePieces: 1})], first: 'here'},
		{name: 'an update moves an engine', views: [createView('a'), createView('b'), createView('a', {freePieces: 0})], first: 'b'},
	])('$name', ({views, first}) => {
		const index = new BucketedEngineIndex();
		for (const view of views) {
			index.set(view);
		}

		expect([...index.byLoad('decode')][0]?.id).toBe(first);
	});

	test('a decision examines as many of 10,000 engines as of 8', () => {
		const examined = [8, 10_000].map(count => {
			const decodes = Array.from({length: count}, (_, index) => createEntry(`d${index}`, 'decode'));
			const prefills = Array.from({length: count}, (_, index) => createEntry(`p${index}`, 'prefill'));
			const pool = createPool([...prefills, ...decodes]);
			for (let index = 0; index < 8; index++) {
				pool.step({kind: 'place', req: createRequest(`r${index}`)}, at(0));
			}

			return pool.examinedEngines;
		});
		expect(examined[1]).toBeLessThanOrEqual(examined[0]! + 16);
	});
});

describe('serial queue model', () => {
	test('predicts when it is available and learns its rate', () => {
		const line = new SerialQueueModel(20);
		line.add(hold('a'), 2000, at(0));
		line.add(hold('b'), 2000, at(0));
		expect(line.availableAt(at(0))).toBe(200);
		line.remove(hold('a'), at(200), true);
		expect(line.tokensPerMs).toBeCloseTo(19);
		line.remove(hold('b'), at(250), false);
		expect(line.availableAt(at(300))).toBe(300);
	});
});

describe('batch model', () => {
	test.each([{targetMs: 30, streams: 23}, {targetMs: 20, streams: 11}, {targetMs: 1, streams: 1}])('a target of $targetMs ms allows $streams streams', ({targetMs, streams}) => {
		const model = new BatchModel();
		expect(model.maxStreams(targetMs)).toBeUndefined();
		for (let count = 1; count <= 25; count++) {
			model.learn(count, 12 + (0.8 * (count - 1)));
		}

		expect(model.maxStreams(targetMs)).toBe(streams);
	});
});

describe('place queue', () => {
	test('serves urgent requests first, a patient one after nine of them, and late ones last', () => {
		const queue = new PlacementQueue();
		const push = (prefix: string, count: number, serviceClass: ServiceClass): void => {
			for (let index = 0; index < count; index++) {
				queue.push(createRequest(`${prefix}${index}`, {class: serviceClass}));
			}
		};

		push('patient', 2, 'patient');
		push('urgent', 12, 'urgent');
		push('late', 1, 'patient');
		queue.defer(hold('late0') as PlacementRequest);
		const order: string[] = [];
		for (let req = queue.peek(); req !== undefined; req = queue.peek()) {
			order.push(req.requestId.replace(/\d+$/, ''));
			queue.dequeue(req);
		}

		expect(order).toEqual([...Array.from({length: 9}, () => 'urgent'), 'patient', 'urgent', 'urgent', 'urgent', 'patient', 'late']);
	});
});

describe('forecast policy in a pool', () => {
	test('delays a prefill until its engine is about to be free', () => {
		const pool = createPool();
		expect(kindsOf(pool.step({kind: 'place', req: createRequest('a')}, at(0)))).toEqual(['placed a']);
		expect(kindsOf(pool.step({kind: 'place', req: createRequest('b')}, at(0)))).toEqual([]);
		expect(kindsOf(pool.step({kind: 'drain'}, at(50)))).toEqual([]);
		expect(kindsOf(pool.step({kind: 'prefillDone', hold: hold('a')}, at(80)))).toEqual(['placed b']);
	});

	test.each([
		{class: 'urgent' as const, effects: ['refused b']},
		{class: 'patient' as const, effects: []},
	])('a $class request that misses its target', ({class: serviceClass, effects}) => {
		const pool = createPool();
		pool.step({kind: 'place', req: createRequest('a', {promptTokens: 20_000})}, at(0));
		expect(kindsOf(pool.step({kind: 'place', req: createRequest('b', {class: serviceClass, firstOutputDeadline: at(500)})}, at(0)))).toEqual(effects);
	});

	test('an urgent request too long for its target is served when the engines are idle', () => {
		const pool = createPool();
		const req = createRequest('a', {class: 'urgent', promptTokens: 30_000, firstOutputDeadline: at(500)});
		expect(kindsOf(pool.step({kind: 'place', req}, at(0)))).toEqual(['placed a']);
	});

	test('waits for memory and never grants more than is free', () => {
		const pool = createPool([createEntry('p1', 'prefill'), createEntry('d1', 'decode', 7)]);
		pool.step({kind: 'place', req: createRequest('a')}, at(0));
		pool.step({kind: 'prefillDone', hold: hold('a')}, at(100));
		expect(kindsOf(pool.step({kind: 'place', req: createRequest('b')}, at(200)))).toEqual([]);
		expect(kindsOf(pool.step({kind: 'release', hold: hold('a')}, at(300)))).toEqual(['placed b']);
	});

	test('a late report does not count a released place', () => {
		const pool = createPool([createEntry('p1', 'prefill'), createEntry('d1', 'decode')]);
		pool.step({kind: 'place', req: createRequest('a')}, at(0));
		pool.step({kind: 'release', hold: hold('a')}, at(1000));
		pool.step({
			kind: 'report', report: {
				engine: toId<EngineId>('d1'),
				incarnation: toId<EngineIncarnation>('1'),
				role: 'decode',
				pieces: 40,
				freePieces: 36,
				queuedTokens: 0,
				running: 1,
				held: [{...hold('a'), pieces: 4, holder: toId<InstanceId>('i1')}],
			},
		}, at(1500));
		expect(pool.views().find(({id}) => id === 'd1')?.freePieces).toBe(40);
	});
});
