import {describe, expect, test} from 'vitest';
import {
	boundHoldBack, ServerAvailability, spreadRetryDelay, toId,
} from '@baobabpier/core';
import type {
	BackendId, Instant, SendBlock, SendEffect,
} from '@baobabpier/core';

const at = (ms: number): Instant => ms as Instant;
const server = (name: string): BackendId => toId<BackendId>(name);
const listOf = (...names: readonly string[]): ReadonlySet<BackendId> => new Set(names.map(name => server(name)));

type Step =
	| {readonly at: number; readonly list: readonly string[]}
	| {readonly at: number; readonly leaves: string}
	| {readonly at: number; readonly asks: string; readonly ms: number}
	| {readonly at: number; readonly sends: string; readonly effect: SendEffect; readonly count?: number};

const play = (steps: readonly Step[]): ServerAvailability => {
	const availability = new ServerAvailability();
	for (const step of steps) {
		if ('list' in step) {
			availability.retain(listOf(...step.list), at(step.at));
		} else if ('leaves' in step) {
			availability.recordLeaving(server(step.leaves), at(step.at));
		} else if ('asks' in step) {
			availability.recordHoldBack(server(step.asks), step.ms, at(step.at));
		} else {
			for (let sent = 0; sent < (step.count ?? 1); sent++) {
				availability.recordSend(server(step.sends), step.effect, at(step.at));
			}
		}
	}

	return availability;
};

const listed: Step = {at: 0, list: ['x', 'y']};

describe('what a server gets', () => {
	const cases: ReadonlyArray<{readonly name: string; readonly steps: readonly Step[]; readonly effect?: SendEffect; readonly at: number; readonly block: SendBlock | undefined}> = [
		{
			name: 'work, unless it said something', steps: [listed, {at: 1, leaves: 'y'}], at: 1, block: undefined,
		},
		{
			name: 'no work from the moment it leaves', steps: [listed, {at: 1, leaves: 'x'}], at: 1, block: 'leaving',
		},
		{
			name: 'no work long after it left while it is listed', steps: [listed, {at: 1, leaves: 'x'}, {at: 900_000, list: ['x']}], at: 900_000, block: 'leaving',
		},
		{
			name: 'calls that return capacity while it leaves', steps: [listed, {at: 1, leaves: 'x'}], effect: 'release', at: 1, block: undefined,
		},
		{
			name: 'probes while it leaves', steps: [listed, {at: 1, leaves: 'x'}], effect: 'probe', at: 1, block: undefined,
		},
		{
			name: 'no work after a list that lacks it for a moment', steps: [listed, {at: 1, leaves: 'x'}, {at: 700, list: ['y']}, {at: 1400, list: ['x', 'y']}, {at: 7000, list: ['x', 'y']}], at: 7000, block: 'leaving',
		},
		{
			name: 'no work when it says so after it was unlisted and is listed again', steps: [{at: 0, list: ['y']}, {at: 1, leaves: 'x'}, {at: 700, list: ['x', 'y']}, {at: 7000, list: ['x', 'y']}], at: 7000, block: 'leaving',
		},
		{
			name: 'work when its id is listed again after it was gone', steps: [listed, {at: 1, leaves: 'x'}, {at: 700, list: ['y']}, {at: 5700, list: ['x', 'y']}], at: 5700, block: undefined,
		},
		{
			name: 'no work within the time it asked for', steps: [listed, {at: 0, asks: 'x', ms: 2000}], at: 1999, block: 'heldBack',
		},
		{
			name: 'no probe within the time it asked for', steps: [listed, {at: 0, asks: 'x', ms: 2000}], effect: 'probe', at: 1999, block: 'heldBack',
		},
		{
			name: 'one call that returns capacity within that time', steps: [listed, {at: 0, asks: 'x', ms: 2000}], effect: 'release', at: 1999, block: undefined,
		},
		{
			name: 'no second one, also after it asked for more', steps: [listed, {at: 0, asks: 'x', ms: 2000}, {at: 1000, sends: 'x', effect: 'release'}, {at: 1500, asks: 'x', ms: 2000}], effect: 'release', at: 1600, block: 'heldBack',
		},
		{
			name: 'one request when the time is over', steps: [listed, {at: 0, asks: 'x', ms: 2000}], at: 2000, block: undefined,
		},
		{
			name: 'no second request right then', steps: [listed, {at: 0, asks: 'x', ms: 2000}, {at: 2000, sends: 'x', effect: 'work'}], at: 2000, block: 'slowStart',
		},
		{
			name: 'twice as many in the next step', steps: [listed, {at: 0, asks: 'x', ms: 2000}, {
				at: 2050, sends: 'x', effect: 'work', count: 2,
			}], at: 2050, block: undefined,
		},
		{
			name: 'as many as there are after the slow start', steps: [listed, {at: 0, asks: 'x', ms: 2000}, {
				at: 2000, sends: 'x', effect: 'work', count: 1000,
			}], at: 2300, block: undefined,
		},
		{
			name: 'the longer of two times', steps: [listed, {at: 0, asks: 'x', ms: 2000}, {at: 100, asks: 'x', ms: 500}], at: 1900, block: 'heldBack',
		},
		{
			name: 'nothing held back for a time of zero', steps: [listed, {at: 0, asks: 'x', ms: 0}], at: 0, block: undefined,
		},
		{
			name: 'nothing within its time after a list that lacks it for a moment', steps: [listed, {at: 0, asks: 'x', ms: 9000}, {at: 700, list: ['y']}, {at: 1400, list: ['x', 'y']}], at: 8000, block: 'heldBack',
		},
		{
			name: 'no work after its time if it also leaves', steps: [listed, {at: 0, asks: 'x', ms: 2000}, {at: 0, leaves: 'x'}, {at: 9000, list: ['x']}], at: 9000, block: 'leaving',
		},
	];
	test.each(cases)('$name', ({steps, effect = 'work', at: now, block}) => {
		expect(play(steps).findBlock(server('x'), effect, at(now))).toBe(block);
	});
});

test.each([
	{requested: 1500, ms: 1500, isBounded: false},
	{requested: 0.5, ms: 0.5, isBounded: false},
	{requested: 0, ms: 0, isBounded: false},
	{requested: -3000, ms: 1000, isBounded: true},
	{requested: Number.NaN, ms: 1000, isBounded: true},
	{requested: 172_800_000, ms: 300_000, isBounded: true},
	{requested: Number.POSITIVE_INFINITY, ms: 300_000, isBounded: true},
])('a server that asks for $requested ms is held back for $ms ms', ({requested, ms, isBounded}) => {
	expect(boundHoldBack(requested)).toEqual({ms, isBounded});
});

test.each<{readonly name: string; readonly steps: readonly Step[]; readonly at: number; readonly ms: number}>([
	{
		name: 'one is free', steps: [listed, {at: 0, asks: 'x', ms: 2000}], at: 0, ms: 0,
	},
	{
		name: 'both asked for time', steps: [listed, {at: 0, asks: 'x', ms: 2000}, {at: 0, asks: 'y', ms: 7000}], at: 500, ms: 1500,
	},
	{
		name: 'one asked for long and the other leaves', steps: [listed, {at: 0, asks: 'x', ms: 7000}, {at: 0, leaves: 'y'}], at: 500, ms: 6500,
	},
	{
		name: 'both leave', steps: [listed, {at: 0, leaves: 'x'}, {at: 0, leaves: 'y'}], at: 500, ms: 1000,
	},
	{
		name: 'the step of one\'s slow start is used up', steps: [listed, {at: 0, asks: 'x', ms: 2000}, {at: 0, asks: 'y', ms: 7000}, {at: 2010, sends: 'x', effect: 'work'}], at: 2020, ms: 30,
	},
])('work is possible in $ms ms when $name', ({steps, at: now, ms}) => {
	expect(play(steps).availableInMs(listOf('x', 'y'), at(now))).toBe(ms);
});

test.each([
	{availableInMs: 2000, draw: 0, delay: 2000},
	{availableInMs: 2000, draw: 1, delay: 3000},
	{availableInMs: 0, draw: 0.5, delay: 100},
])('callers wait $delay ms for a server that is available in $availableInMs ms, at a draw of $draw', ({availableInMs, draw, delay}) => {
	expect(spreadRetryDelay(availableInMs, draw)).toBe(delay);
});

test('only what is in force is remembered', () => {
	const availability = play([listed, {at: 0, asks: 'x', ms: 100}, {at: 0, leaves: 'y'}]);
	expect(availability).toMatchObject({size: 2, leaving: ['y']});
	expect(availability.heldBack(at(50))).toEqual(['x']);
	expect(availability.nextEnd(at(50))).toBe(100);
	expect(availability.nextEnd(at(100))).toBeUndefined();
	expect(availability.retain(listOf('x', 'y'), at(1000))).toEqual(['x']);
	expect(availability.recordLeaving(server('y'), at(1000))).toBe(false);
	expect(availability.retain(listOf(), at(1000))).toEqual([]);
	expect(availability.retain(listOf(), at(6000))).toEqual(['y']);
	expect(availability.size).toBe(0);
});

test('the memory is bounded, and unlisted servers are dropped first', () => {
	const availability = play([listed, {at: 0, leaves: 'x'}]);
	for (let count = 0; count < 20_000; count++) {
		availability.recordLeaving(server(`u${count}`), at(1));
	}

	expect(availability.size).toBe(20_000);
	expect(availability.findBlock(server('x'), 'work', at(2))).toBe('leaving');
	expect(availability.findBlock(server('u0'), 'work', at(2))).toBeUndefined();
});
