import {describe, expect, test} from 'vitest';
import {createSeededRandom, HedgingPolicy} from '../../index.js';
import type {RandomSource} from '../../index.js';

const noStart: RandomSource = {next: () => 0};
const learned = (maxFraction: number, random: RandomSource = noStart): HedgingPolicy => {
	const hedging = new HedgingPolicy({maxFraction, deviations: 3}, random);
	for (const ms of [30, 40, 35, 45, 30, 50, 40, 35]) {
		hedging.recordResponse('desk', ms);
	}

	return hedging;
};

describe('the delay', () => {
	test.each([
		{name: 'is not known before enough responses', responses: 7, isKnown: false},
		{name: 'is known afterwards', responses: 8, isKnown: true},
	])('$name', ({responses, isKnown}) => {
		const hedging = new HedgingPolicy({maxFraction: 0.1, deviations: 3}, noStart);
		for (let count = 0; count < responses; count++) {
			hedging.recordResponse('desk', 40);
		}

		expect(hedging.delayMs('desk') !== undefined).toBe(isKnown);
		expect(hedging.delayMs('other')).toBeUndefined();
	});

	test('lies above usual responses and below those of the tail', () => {
		const delayMs = learned(0.1).delayMs('desk')!;
		expect(delayMs).toBeGreaterThan(50);
		expect(delayMs).toBeLessThan(150);
	});
});

test.each([
	{
		name: 'at most the operator\'s fraction', maxFraction: 0.05, calls: 2000, load: 0.3, most: 101,
	},
	{
		name: 'none where the operator allows none', maxFraction: 0, calls: 2000, load: 0.3, most: 0,
	},
	{
		name: 'none at busy servers', maxFraction: 0.5, calls: 100, load: 0.8, most: 0,
	},
])('of calls that all are slow, $name get a hedged attempt', ({maxFraction, calls, load, most}) => {
	const hedging = learned(maxFraction);
	for (let call = 0; call < calls; call++) {
		hedging.recordCall();
		hedging.tryBegin(load);
	}

	expect(hedging.begun).toBeLessThanOrEqual(most);
});

test('77 instances with few calls each stay within the fraction together', () => {
	const random = createSeededRandom(5);
	const instances = Array.from({length: 77}, () => learned(0.05, random));
	const callsPerInstance = 20;
	for (const hedging of instances) {
		for (let call = 0; call < callsPerInstance; call++) {
			hedging.recordCall();
			hedging.tryBegin(0);
		}
	}

	const begun = instances.reduce((sum, hedging) => sum + hedging.begun, 0);
	// Of the random starts, half a try an instance adds to the fraction at most
	expect(begun).toBeLessThanOrEqual(77 * ((callsPerInstance * 0.05) + 0.5) * 1.1);
});

/** Responses of a server with a tail: one in fifty takes ten times as long. Calls come one after another, to two such servers. */
const playTail = (hedging: HedgingPolicy | undefined): {p99: number; extra: number} => {
	const random = createSeededRandom(11);
	const responseMs = (): number => random.next() < 0.02 ? 350 : 25 + (random.next() * 30);
	const calls = 5000;
	const times: number[] = [];
	for (let call = 0; call < calls; call++) {
		hedging?.recordCall();
		const first = responseMs();
		const delayMs = hedging?.delayMs('desk') ?? Number.POSITIVE_INFINITY;
		const ms = first > delayMs && hedging!.tryBegin(0.3) ? Math.min(first, delayMs + responseMs()) : first;
		hedging?.recordResponse('desk', ms);
		times.push(ms);
	}

	return {p99: times.toSorted((a, b) => a - b)[Math.floor(calls * 0.99)]!, extra: (hedging?.begun ?? 0) / calls};
};

test('hedged attempts cut the slowest answers within the operator\'s limit', () => {
	const without = playTail(undefined);
	const within = playTail(new HedgingPolicy({maxFraction: 0.03, deviations: 3}, noStart));
	expect(without.p99).toBe(350);
	expect(within.p99).toBeLessThan(200);
	expect(within.extra).toBeLessThanOrEqual(0.03);
});
