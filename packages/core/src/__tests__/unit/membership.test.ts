import {describe, expect, test} from 'vitest';
import {
	ManualClock, Membership, mergeLeavingServers, toId,
} from '@baobabpier/core';
import type {
	DataCentreId, InstanceId, ServerListEntry, ServerListView,
} from '@baobabpier/core';

const timings = {suspectTimeoutMs: 5000, deadTimeoutMs: 10_000, staleGraceMs: 30_000};

const leaving = (mark?: number): ServerListEntry => ({id: 's', state: 'leaving', mark});
const live = (mark?: number): ServerListEntry => ({id: 's', state: 'live', mark});

type MergeCase = {
	readonly name: string;
	readonly views: readonly ServerListView[];
	readonly isLeaving: boolean;
};

const mergeCases: readonly MergeCase[] = [
	{name: 'one list reports the server as leaving, another lags', views: [{marks: [leaving()], staleMs: 0}, {marks: [], staleMs: 0}], isLeaving: true},
	{name: 'the only list that reported it is stale within the grace period', views: [{marks: [leaving()], staleMs: 29_000}, {marks: [], staleMs: 0}], isLeaving: true},
	{name: 'the list that reported it is stale beyond the grace period and others are fresh', views: [{marks: [leaving()], staleMs: 31_000}, {marks: [], staleMs: 0}], isLeaving: false},
	{name: 'every list is stale', views: [{marks: [leaving()], staleMs: 600_000}, {marks: [], staleMs: 600_000}], isLeaving: true},
	{name: 'live again without a version, and one list lags', views: [{marks: [leaving()], staleMs: 0}, {marks: [live()], staleMs: 0}], isLeaving: true},
	{name: 'live again with a higher version', views: [{marks: [leaving(3)], staleMs: 0}, {marks: [live(4)], staleMs: 0}], isLeaving: false},
	{name: 'leaving again with a higher version', views: [{marks: [leaving(5)], staleMs: 0}, {marks: [live(4)], staleMs: 0}], isLeaving: true},
	{name: 'live in every list', views: [{marks: [live()], staleMs: 0}, {marks: [], staleMs: 0}], isLeaving: false},
];

describe('mergeLeavingServers', () => {
	test.each(mergeCases)('$name', ({views, isLeaving}) => {
		expect(mergeLeavingServers(views, timings.staleGraceMs).has('s')).toBe(isLeaving);
	});
});

const createPair = (clock: ManualClock): readonly [Membership, Membership] => [
	new Membership({id: toId<InstanceId>('i1'), dataCentre: toId<DataCentreId>('a'), incarnation: 1}, timings, clock.now()),
	new Membership({id: toId<InstanceId>('i2'), dataCentre: toId<DataCentreId>('a'), incarnation: 1}, timings, clock.now()),
];

describe('Membership', () => {
	test('forwards a leaving server to an instance that cannot read the list, and withdraws it', () => {
		const clock = new ManualClock();
		const [a, b] = createPair(clock);
		b.step({kind: 'listFailed'}, clock.now());
		expect(a.step({kind: 'list', entries: [leaving()]}, clock.now()).map(({kind}) => kind)).toEqual(['leavingChanged', 'push']);
		b.step({kind: 'rows', rows: a.rows}, clock.now());
		expect([...b.leaving]).toEqual(['s']);
		a.step({kind: 'list', entries: [live()]}, clock.now());
		b.step({kind: 'rows', rows: a.rows}, clock.now());
		expect([...b.leaving]).toEqual([]);
	});

	test('ignores an older row that arrives late', () => {
		const clock = new ManualClock();
		const [a, b] = createPair(clock);
		const before = a.rows;
		a.step({kind: 'list', entries: [leaving()]}, clock.now());
		b.step({kind: 'rows', rows: a.rows}, clock.now());
		b.step({kind: 'rows', rows: before}, clock.now());
		expect([...b.leaving]).toEqual(['s']);
	});

	test('an instance without updates becomes suspect, then dead, and is alive again after a restart', () => {
		const clock = new ManualClock();
		const [a, b] = createPair(clock);
		b.step({kind: 'rows', rows: a.rows}, clock.now());
		const id = toId<InstanceId>('i1');
		const states = [4000, 2000, 5000].map(ms => {
			clock.advance(ms);
			b.step({kind: 'rows', rows: a.rows}, clock.now());
			return b.stateOf(id, clock.now());
		});
		expect(states).toEqual(['alive', 'suspect', 'dead']);
		const restarted = new Membership({id, dataCentre: toId<DataCentreId>('a'), incarnation: 0}, timings, clock.now());
		restarted.step({kind: 'rows', rows: b.rows}, clock.now());
		restarted.step({kind: 'tick'}, clock.now());
		b.step({kind: 'rows', rows: restarted.rows}, clock.now());
		expect([b.stateOf(id, clock.now()), b.incarnationOf(id)]).toEqual(['alive', 2]);
	});
});
