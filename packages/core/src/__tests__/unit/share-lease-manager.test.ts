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

test('a candidate whose take is under way, or may still enter the log, promises nothing', () => {
	const clock = new ManualClock();
	const table = new ShareTable();
	table.take({...table.recordOf(id), candidate: holder});
	const keeper = new ShareLeaseManager(candidate, timings, one => table.recordOf(one));
	const positions = [{record: table.recordOf(id), holderRuns: false, isPreferred: true}];
	const renewals = [{id, fencing: table.recordOf(id).fencing}];
	keeper.step({kind: 'read', records: [table.recordOf(id)]}, clock.now());
	expect(keeper.promise(renewals, clock.now())).toEqual(renewals);
	keeper.step({kind: 'read', records: [table.recordOf(id)]}, clock.now());
	expect(keeper.step({kind: 'tick', statuses: positions}, clock.now())).toEqual([]);
	clock.advance(timings.candidateLeaseMs);
	const [effect] = keeper.step({kind: 'tick', statuses: positions}, clock.now());
	expect(effect?.kind).toBe('take');
	expect(keeper.promise(renewals, clock.now())).toEqual([]);
	if (effect?.kind === 'take') {
		keeper.step({
			kind: 'takeAnswered', take: effect.take, sentAt: clock.now(), taken: undefined,
		}, clock.now());
	}

	expect(keeper.promise(renewals, clock.now())).toEqual([]);
	table.renew(holder, renewals);
	expect(keeper.promise(renewals, clock.now())).toEqual(renewals);
});

test('a holder that slept past its lease does not act when it wakes', () => {
	const clock = new ManualClock();
	const table = new ShareTable();
	const keeper = new ShareLeaseManager(holder, timings, one => table.recordOf(one));
	const [effect] = keeper.step({kind: 'tick', statuses: [{record: table.recordOf(id), isHolderAlive: false, isPreferred: true}]}, clock.now());
	if (effect?.kind === 'take') {
		table.take(effect.take);
		keeper.step({
			kind: 'takeAnswered', take: effect.take, sentAt: clock.now(), taken: true,
		}, clock.now());
	}

	expect(keeper.holds(id, clock.now())).toBe(true);
	clock.advance(timings.holderLeaseMs);
	expect(keeper.holds(id, clock.now())).toBe(false);
});
