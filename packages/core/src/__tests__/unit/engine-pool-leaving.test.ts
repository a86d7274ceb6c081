import {expect, test} from 'vitest';
import {
	addMs, createSeededRandom, EnginePool, ManualClock, toId, TwoChoicesPolicy,
} from '@baobabpier/core';
import type {
	AttemptNumber, DataCentreId, EngineEntry, EngineId, InstanceId, PlacementRequest, RequestId, ServiceName,
} from '@baobabpier/core';

const dataCentre = toId<DataCentreId>('a');

const engine = (id: string, role: 'prefill' | 'decode', pieces: number): EngineEntry => ({
	id: toId<EngineId>(id), address: '127.0.0.1:1', dataCentre, role, pieces, fencesOrders: true,
});

const patientRequest = {
	service: toId<ServiceName>('lm'), attempt: toId<AttemptNumber>(1), class: 'patient', promptTokens: 10, maxTokens: 10, pieces: 2, prefix: '', excluded: [],
} as const;

test('a queued request gets no placement on an engine that is marked as leaving while it waits', () => {
	const clock = new ManualClock();
	const self = toId<InstanceId>('i1');
	const pool = new EnginePool(self, new TwoChoicesPolicy(createSeededRandom(1)), {queue: 8}, {leaseMs: 60_000, orphanTimeoutMs: 60_000});
	const engines = [engine('p1', 'prefill', 40), engine('d1', 'decode', 2), engine('d2', 'decode', 2)];
	pool.step({kind: 'engines', engines, leaving: new Set()}, clock.now());
	const place = (id: string) => {
		const req: PlacementRequest = {
			...patientRequest, requestId: toId<RequestId>(id), holder: self, deadline: addMs(clock.now(), 60_000),
		};
		return pool.step({kind: 'place', req}, clock.now());
	};

	const granted = [...place('r1'), ...place('r2')].flatMap(effect => effect.kind === 'placed' ? [[effect.placement.decode.id, effect.hold] as const] : []);
	expect(place('r3')).toEqual([]);
	pool.step({kind: 'engines', engines, leaving: new Set([toId<EngineId>('d1')])}, clock.now());
	const onLeaving = granted.find(([id]) => id === 'd1');
	const onStaying = granted.find(([id]) => id === 'd2');
	expect(pool.step({kind: 'release', hold: onLeaving![1]}, clock.now())).toEqual([]);
	const effects = pool.step({kind: 'release', hold: onStaying![1]}, clock.now());
	expect(effects.map(effect => effect.kind === 'placed' ? effect.placement.decode.id : effect.kind)).toEqual(['d2']);
});
