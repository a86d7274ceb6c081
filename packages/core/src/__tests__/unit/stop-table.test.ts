import {describe, expect, test} from 'vitest';
import {parseCatalogue, StopTable, toId} from '@baobabpier/core';
import type {
	DataCentreId, InstanceId, LogTime, OrderId, Revision, StopTarget, StopPlanResult,
} from '@baobabpier/core';

const catalogue = parseCatalogue(`
[services.lm]
kind = "model"
owner = "o"
class = "patient"
engines = [
	{id = "p1", address = "127.0.0.1:1", dataCentre = "a", role = "prefill", pieces = 40},
	{id = "p2", address = "127.0.0.1:2", dataCentre = "b", role = "prefill", pieces = 40},
	{id = "d1", address = "127.0.0.1:3", dataCentre = "a", role = "decode", pieces = 40},
	{id = "d2", address = "127.0.0.1:4", dataCentre = "b", role = "decode", pieces = 40},
]

[services.desk]
kind = "plain"
owner = "o"
class = "urgent"
backends = [{id = "desk-1", address = "127.0.0.1:5", dataCentre = "a"}, {id = "desk-2", address = "127.0.0.1:6", dataCentre = "b"}]
`, toId<Revision>(1)).unwrap();

const instances = [['a1', 'a', true], ['a2', 'a', false], ['b1', 'b', true], ['b2', 'b', false], ['c1', 'c', true]].map(([id, dataCentre, replica]) => ({
	id: toId<InstanceId>(id as string), dataCentre: toId<DataCentreId>(dataCentre as string), replica: replica as boolean,
}));

const at = toId<LogTime>(1);

const plan = (table: StopTable, [kind, id]: readonly [StopTarget['kind'], string], orderId: string, dead: readonly string[] = []): StopPlanResult => table.plan({
	orderId: toId<OrderId>(orderId), target: {kind, id}, author: 'op', withinMs: 1000, facts: {instances, dead: dead.map(name => toId<InstanceId>(name))},
}, catalogue, at);

type Case = {
	readonly name: string;
	readonly first: readonly [StopTarget['kind'], string] | undefined;
	readonly dead?: readonly string[];
	readonly target: readonly [StopTarget['kind'], string];
	/** Undefined when the stop is planned. */
	readonly reason: string | undefined;
};

const cases: readonly Case[] = [
	{
		name: 'one replica of three', first: undefined, target: ['instance', 'a1'], reason: undefined,
	},
	{
		name: 'a second replica of three', first: ['instance', 'a1'], target: ['instance', 'b1'], reason: '1 of 3 replicas would be left, the quorum is 2',
	},
	{
		name: 'a replica while another is dead', first: undefined, dead: ['c1'], target: ['instance', 'b1'], reason: '1 of 3 replicas would be left, the quorum is 2',
	},
	{
		name: 'an instance without a replica beside a replica', first: ['instance', 'a1'], target: ['instance', 'b2'], reason: undefined,
	},
	{
		name: 'a decode engine', first: undefined, target: ['engine', 'd1'], reason: undefined,
	},
	{
		name: 'the last decode engine', first: ['engine', 'd1'], target: ['engine', 'd2'], reason: 'service "lm" would have no decode engine left',
	},
	{
		name: 'the last prefill engine by its data centre', first: ['engine', 'p1'], target: ['dataCentre', 'b'], reason: 'service "lm" would have no prefill engine left',
	},
	{
		name: 'the last backend server', first: ['backend', 'desk-2'], target: ['backend', 'desk-1'], reason: 'service "desk" would have no backend server left',
	},
	{
		name: 'a data centre', first: undefined, target: ['dataCentre', 'a'], reason: undefined,
	},
	{
		name: 'a second data centre', first: ['dataCentre', 'a'], target: ['dataCentre', 'c'], reason: '1 of 3 replicas would be left, the quorum is 2',
	},
	{
		name: 'an engine while replicas are dead', first: undefined, dead: ['b1', 'c1'], target: ['engine', 'd1'], reason: undefined,
	},
	{
		name: 'an unknown target', first: undefined, target: ['engine', 'd9'], reason: 'no engine "d9"',
	},
];

describe('StopTable', () => {
	test.each(cases)('$name', ({first, dead, target, reason}) => {
		const table = new StopTable();
		if (first !== undefined) {
			expect(plan(table, first, 'first').kind).toBe('planned');
		}

		const result = plan(table, target, 'second', dead);
		expect(result.kind === 'refused' ? result.reason : undefined).toBe(reason);
	});

	test('a resend gets the first result, a cancelled stop no longer blocks others, and a snapshot keeps both', () => {
		const table = new StopTable();
		plan(table, ['instance', 'a1'], 'first');
		expect(plan(table, ['instance', 'b1'], 'second').kind).toBe('refused');
		table.complete(toId<OrderId>('first'));
		const copy = new StopTable();
		copy.restore(structuredClone(table.takeSnapshot()));
		expect(copy.stops.map(({state}) => state)).toEqual(['stopped']);
		expect(copy.cancel(toId<OrderId>('first'))?.state).toBe('stopped');
		expect(copy.cancel(toId<OrderId>('first'))).toBeUndefined();
		expect(plan(copy, ['instance', 'b1'], 'second').kind).toBe('refused');
		expect(plan(copy, ['instance', 'b1'], 'third').kind).toBe('planned');
	});
});
