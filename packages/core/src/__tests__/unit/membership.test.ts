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
	{name: 'one list shows the mark, another lags', views: [{marks: [leaving()], staleMs: 0}, {marks: [], staleMs: 0}], isLeaving: true},
	{name: 'the only list that showed it stopped', views: [{marks: [leaving()], staleMs: 29_000}, {marks: [], staleMs: 0}], isLeaving: true},
	{name: 'the list that showed it stopped long ago and others answer', views: [{marks: [leaving()], staleMs: 31_000}, {marks: [], staleMs: 0}], isLeaving: false},
	{name: 'every list stopped', views: [{marks: [leaving()], staleMs: 600_000}, {marks: [], staleMs: 600_000}], isLeaving: true},
	{name: 'back, and one list lags behind', views: [{marks: [leaving()], staleMs: 0}, {marks: [live()], staleMs: 0}], isLeaving: true},
	{name: 'back with a newer number', views: [{marks: [leaving(3)], staleMs: 0}, {marks: [live(4)], staleMs: 0}], isLeaving: false},
	{name: 'leaving again with a newer number', views: [{marks: [leaving(5)], staleMs: 0}, {marks: [live(4)], staleMs: 0}], isLeaving: true},
	{name: 'back in every list', views: [{marks: [live()], staleMs: 0}, {marks: [], staleMs: 0}], isLeaving: false},
];

describe('mergeLeaving', () => {
	test.each(mergeCases)('$name', ({views, isLeaving: isLeaving}) => {
		expect(mergeLeavingServers(views, timings.staleGraceMs).has('s')).toBe(isLeaving);
	});
});

const createPair = (clock: ManualClock): readonly [Membership, Membership] => [
	new Membership({id: toId<InstanceId>('i1'), dataCentre: toId<DataCentreId>('a'), incarnation: 1}, timings, clock.now()),
	new Membership({id: toId<InstanceId>('i2'), dataCentre: toId<DataCentreId>('a'), incarnation: 1}, timings, clock.now()),
];

describe('Membership', () => {
	test('passes a mark on to an instance whose list is cut off, and takes it back', () => {
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

	test('an older row that arrives late changes nothing', () => {
		const clock = new ManualClock();
		const [a, b] = createPair(clock);
		const before = a.rows;
		a.step({kind: 'list', entries: [leaving()]}, clock.now());
		b.step({kind: 'rows', rows: a.rows}, clock.now());
		b.step({kind: 'rows', rows: before}, clock.now());
		expect([...b.leaving]).toEqual(['s']);
	});

	test('a silent instance becomes suspect, then dead, and comes back with its next life', () => {
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
