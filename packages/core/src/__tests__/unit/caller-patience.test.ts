import {expect, test} from 'vitest';
import {CallerPatience, toId} from '@baobabpier/core';
import type {Instant, RouteName} from '@baobabpier/core';

const route = toId<RouteName>('read');

test.each<{name: string; calls: ReadonlyArray<readonly [at: number, patienceMs: number | undefined]>; elapsedMs: number}>([
	{name: 'a first caller is new', calls: [[0, 14_000]], elapsedMs: 0},
	{name: 'a caller with less time left comes back', calls: [[0, 14_000], [10, 11_500]], elapsedMs: 2500},
	{name: 'the time of a new connection is none', calls: [[0, 14_000], [10, 13_900]], elapsedMs: 0},
	{name: 'callers that state no time are new', calls: [[0, 14_000], [10, undefined]], elapsedMs: 0},
	{name: 'a shorter timeout of all callers makes none of them come back for long', calls: [[0, 14_000], [25_000, 9000], [50_000, 9000]], elapsedMs: 0},
])('$name', ({calls, elapsedMs}) => {
	const patience = new CallerPatience();
	const all = calls.map(([at, patienceMs]) => patience.elapsedMs(route, patienceMs, at as Instant));
	expect(all.at(-1)).toBe(elapsedMs);
});
