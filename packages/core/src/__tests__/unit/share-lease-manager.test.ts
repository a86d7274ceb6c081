import {expect, test} from 'vitest';
import {
	ManualClock, ShareLeaseManager, ShareTable, toId,
} from '@baobabpier/core';
import type {
	DataCentreId, InstanceId, ServiceName, ShareId,
} from '@baobabpier/core';

const id: ShareId = {kind: 'limits', service: toId<ServiceName>('lm'), dataCentre: toId<DataCentreId>('a')};
const timings = {holderLeaseMs: 3000, candidateLeaseMs: 4000};
const [holder, candidate] = [toId<InstanceId>('i0'), toId<InstanceId>('i1')];

test('a candidate whose take is in flight, or may still enter the log, gives no promise', () => {
	const clock = new ManualClock();
	const table = new ShareTable();
	table.take({...table.recordOf(id), candidate: holder});
	const manager = new ShareLeaseManager(candidate, timings, one => table.recordOf(one));
	const statuses = [{record: table.recordOf(id), isHolderAlive: false, isPreferred: true}];
	const renewals = [{id, fencing: table.recordOf(id).fencing}];
	manager.step({kind: 'read', records: [table.recordOf(id)]}, clock.now());
	expect(manager.promise(renewals, clock.now())).toEqual(renewals);
	manager.step({kind: 'read', records: [table.recordOf(id)]}, clock.now());
	expect(manager.step({kind: 'tick', statuses}, clock.now())).toEqual([]);
	clock.advance(timings.candidateLeaseMs);
	const [effect] = manager.step({kind: 'tick', statuses}, clock.now());
	expect(effect?.kind).toBe('take');
	expect(manager.promise(renewals, clock.now())).toEqual([]);
	if (effect?.kind === 'take') {
		manager.step({
			kind: 'takeAnswered', take: effect.take, sentAt: clock.now(), taken: undefined,
		}, clock.now());
	}

	expect(manager.promise(renewals, clock.now())).toEqual([]);
	table.renew(holder, renewals);
	expect(manager.promise(renewals, clock.now())).toEqual(renewals);
});

test('a holder that was suspended past its lease does not act as holder afterwards', () => {
	const clock = new ManualClock();
	const table = new ShareTable();
	const manager = new ShareLeaseManager(holder, timings, one => table.recordOf(one));
	const [effect] = manager.step({kind: 'tick', statuses: [{record: table.recordOf(id), isHolderAlive: false, isPreferred: true}]}, clock.now());
	if (effect?.kind === 'take') {
		table.take(effect.take);
		manager.step({
			kind: 'takeAnswered', take: effect.take, sentAt: clock.now(), taken: true,
		}, clock.now());
	}

	expect(manager.holds(id, clock.now())).toBe(true);
	clock.advance(timings.holderLeaseMs);
	expect(manager.holds(id, clock.now())).toBe(false);
});
