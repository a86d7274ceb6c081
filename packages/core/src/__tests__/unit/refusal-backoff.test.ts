/** Retry delays of callers that are refused for lack of room. Guards against a crowd that comes back as often as it is refused. */
import {describe, expect, test} from 'vitest';
import {
	createSeededRandom, defaultBackoffLimits, ManualClock, RefusalBackoff,
} from '@baobabpier/core';

const stepMs = 10;

/** Replays clients of which each one is refused and comes back; returns their refusals in each period. */
const replay = (clients: number, returnMs: (retryAfterMs: number) => number, {periods, periodMs}: {readonly periods: number; readonly periodMs: number}): {readonly refusals: readonly number[]; readonly longest: readonly number[]} => {
	const clock = new ManualClock();
	const backoff = new RefusalBackoff(defaultBackoffLimits, createSeededRandom(1));
	const dueAt = Array.from({length: clients}, () => 0);
	const refusals = Array.from({length: periods}, () => 0);
	const longest = Array.from({length: periods}, () => 0);
	for (let now = 0; now < periods * periodMs; now += stepMs) {
		const period = Math.floor(now / periodMs);
		for (const [client, at] of dueAt.entries()) {
			if (at <= now) {
				const retryAfterMs = backoff.refuse(clock.now());
				refusals[period]! += 1;
				longest[period] = Math.max(longest[period]!, retryAfterMs);
				dueAt[client] = now + returnMs(retryAfterMs);
			}
		}

		clock.advance(stepMs);
	}

	return {refusals, longest};
};

describe('a crowd of 400 clients', () => {
	test('that come back when they are told returns less and less often', () => {
		const {refusals} = replay(400, retryAfterMs => retryAfterMs, {periods: 6, periodMs: 20_000});
		expect(refusals[5]).toBeLessThan(refusals[0]! / 2);
		// Fewer than one return in the longest delay of each client
		expect(refusals[5]).toBeLessThanOrEqual(400 * 20_000 / defaultBackoffLimits.maxMs);
	});

	test('that come back at once is told later each time, up to the bound', () => {
		const {longest} = replay(400, () => stepMs, {periods: 20, periodMs: 1000});
		expect(longest).toEqual(longest.toSorted((a, b) => a - b));
		expect(longest[0]).toBeLessThanOrEqual(3000);
		expect(longest.at(-1)).toBeGreaterThan(defaultBackoffLimits.maxMs);
		expect(longest.at(-1)).toBeLessThanOrEqual(defaultBackoffLimits.maxMs * 1.5);
	});
});

test.each([
	{name: 'a single refusal', waitsMs: [0], expected: [2000]},
	{name: 'refusals at the same moment', waitsMs: [0, 0, 10, 100], expected: [2000, 2000, 2000, 2000]},
	{name: 'refusals that go on', waitsMs: [0, 2000, 2000, 2000, 4000, 1000], expected: [2000, 4000, 4000, 8000, 8000, 8000]},
	{name: 'a refusal after a quiet time', waitsMs: [0, 2000, 8001], expected: [2000, 4000, 2000]},
])('$name', ({waitsMs, expected}) => {
	const clock = new ManualClock();
	const backoff = new RefusalBackoff(defaultBackoffLimits, {next: () => 0});
	expect(waitsMs.map(waitMs => {
		clock.advance(waitMs);
		return backoff.refuse(clock.now());
	})).toEqual(expected);
});
