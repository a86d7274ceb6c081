import {expect, test} from 'vitest';
import {toId} from '@baobabpier/core';
import type {InstanceId, OrderId} from '@baobabpier/core';
import {InstanceStop} from '../../fleet/instance-stop.js';

const orderId = toId<OrderId>('o-1');
const timings = {readinessDelayMs: 1, quorumWaitMs: 10, withinMs: 1000};

test.each([
	{name: 'the log has the cancel before the end of the drain: it serves on', recorded: async () => false, drained: false},
	{name: 'the end of the drain comes first: it ends', recorded: async () => true, drained: true},
	{
		name: 'the end of the drain can\'t be recorded: it ends', drained: true, async recorded() {
			throw new Error('no quorum');
		},
	},
])('$name', async ({recorded, drained}) => {
	const closings: boolean[] = [];
	const stop = new InstanceStop({
		self: toId<InstanceId>('a-1'), timings, inProgress: () => 0, plan: async () => expect.unreachable(), complete: recorded, setClosing(closing) {
			closings.push(closing);
		},
	});
	expect(await stop.drainForOrder(orderId, 1000)).toBe(drained);
	expect([closings, stop.isStopping]).toEqual([drained ? [true] : [true, false], drained]);
});

test('a signalled stop ends also when its record is gone', async () => {
	const stop = new InstanceStop({
		self: toId<InstanceId>('a-1'), timings, inProgress: () => 0, setClosing: () => undefined, complete: async () => false,
		plan: async signalled => ({
			kind: 'planned', stop: {
				orderId: signalled, target: {kind: 'instance', id: 'a-1'}, author: 'signal', withinMs: 1000, at: 0 as never, state: 'draining',
			},
		}),
	});
	expect(await stop.drainOnSignal()).toBe(true);
});
