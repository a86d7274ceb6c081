import {expect, test} from 'vitest';
import {
	addMs, fitsDrain, ManualClock, UsualDuration,
} from '@baobabpier/core';
import type {Repeatability} from '@baobabpier/core';

const start = new ManualClock().now();
const knownMs = 2600;
const endMs = 7650;
const window = {knownAt: addMs(start, knownMs), endsAt: addMs(start, endMs)};

/** Calls that take 3 s, give or take 0.9 s. */
const aroundThreeSeconds = (): UsualDuration => {
	const usual = new UsualDuration();
	for (let round = 0; round < 200; round++) {
		usual.add(round % 2 === 0 ? 2100 : 3900);
	}

	return usual;
};

type Case = {
	readonly name: string;
	readonly atMs: number;
	readonly deadlineMs: number;
	readonly hasUsual: boolean;
	readonly taken: Readonly<Record<Repeatability, boolean>>;
};

test.each<Case>([
	{
		name: 'its deadline lies within the drain', atMs: 5000, deadlineMs: endMs, hasUsual: false, taken: {whole: true, resumed: true, no: true},
	},
	{
		name: 'its deadline lies beyond, and nothing is known of its kind', atMs: 0, deadlineMs: endMs + 1, hasUsual: false, taken: {whole: false, resumed: false, no: false},
	},
	{
		name: 'its kind fits with a wide margin', atMs: 0, deadlineMs: 14_000, hasUsual: true, taken: {whole: true, resumed: true, no: true},
	},
	{
		name: 'its kind fits with a small margin', atMs: 2500, deadlineMs: 14_000, hasUsual: true, taken: {whole: true, resumed: true, no: false},
	},
	{
		name: 'the stop is known, and its kind fits with a small margin', atMs: knownMs, deadlineMs: 14_000, hasUsual: true, taken: {whole: false, resumed: false, no: false},
	},
	{
		name: 'its kind does not fit', atMs: 5000, deadlineMs: 14_000, hasUsual: true, taken: {whole: false, resumed: false, no: false},
	},
])('a call is taken or not when $name', ({atMs, deadlineMs, hasUsual, taken}) => {
	const usual = hasUsual ? aroundThreeSeconds() : undefined;
	const repeatabilities: readonly Repeatability[] = ['whole', 'resumed', 'no'];
	const deadlineAt = addMs(start, deadlineMs);
	const decisions = repeatabilities.map(repeatability => [repeatability, fitsDrain({deadlineAt, repeatability, usual}, window, addMs(start, atMs))]);
	expect(Object.fromEntries(decisions)).toEqual(taken);
});

test.each<{atMs: number; taken: boolean}>([
	{atMs: knownMs, taken: true}, {atMs: 7500, taken: true}, {atMs: 7620, taken: false},
])('a short safe call that arrives $atMs ms after the signal is taken: $taken', ({atMs, taken}) => {
	const usual = new UsualDuration();
	for (let round = 0; round < 100; round++) {
		usual.add(round % 2 === 0 ? 38 : 48);
	}

	expect(fitsDrain({deadlineAt: addMs(start, 14_000), repeatability: 'whole', usual}, window, addMs(start, atMs))).toBe(taken);
});
