/** Which bodies are ended when the memory for bodies runs short. */
import {expect, test} from 'vitest';
import {BodyBudget} from '../../transport/body-budget.js';
import type {BodyHandle} from '../../transport/body-budget.js';
import type {Instant} from '../../time.js';

type Step =
	| {readonly do: 'open' | 'complete' | 'close'; readonly body: string; readonly at?: number}
	| {readonly do: 'grow'; readonly body: string; readonly bytes: number; readonly at: number; readonly ends?: readonly string[]}
	| {readonly do: 'bound'; readonly bytes: number};

type Case = {readonly guardsAgainst: string; readonly maxBytes: number; readonly steps: readonly Step[]; readonly left: number};

const cases: readonly Case[] = [
	{
		guardsAgainst: 'a body that fits exactly being refused', maxBytes: 100, left: 100,
		steps: [{do: 'open', body: 'a'}, {
			do: 'grow', body: 'a', bytes: 100, at: 1,
		}],
	},
	{
		guardsAgainst: 'a body above the whole bound being kept', maxBytes: 100, left: 0,
		steps: [{do: 'open', body: 'a'}, {
			do: 'grow', body: 'a', bytes: 101, at: 1, ends: ['a'],
		}],
	},
	{
		guardsAgainst: 'a new body being ended in place of an old one of the same size', maxBytes: 100, left: 60,
		steps: [{do: 'open', body: 'old', at: 0}, {
			do: 'grow', body: 'old', bytes: 60, at: 1,
		}, {do: 'open', body: 'new', at: 50}, {
			do: 'grow', body: 'new', bytes: 60, at: 60, ends: ['old'],
		}],
	},
	{
		guardsAgainst: 'a whole body, whose call may run, being ended', maxBytes: 100, left: 60,
		steps: [{do: 'open', body: 'whole', at: 0}, {
			do: 'grow', body: 'whole', bytes: 60, at: 1,
		}, {do: 'complete', body: 'whole'}, {do: 'open', body: 'new', at: 50}, {
			do: 'grow', body: 'new', bytes: 60, at: 60, ends: ['new'],
		}],
	},
	{
		guardsAgainst: 'memory counting twice or below zero after two closes', maxBytes: 100, left: 0,
		steps: [{do: 'open', body: 'a'}, {
			do: 'grow', body: 'a', bytes: 60, at: 1,
		}, {do: 'close', body: 'a'}, {do: 'close', body: 'a'}],
	},
	{
		guardsAgainst: 'a closed body counting again', maxBytes: 100, left: 0,
		steps: [{do: 'open', body: 'a'}, {do: 'close', body: 'a'}, {
			do: 'grow', body: 'a', bytes: 60, at: 1, ends: ['a'],
		}],
	},
	{
		guardsAgainst: 'too few bodies being ended for a large one', maxBytes: 100, left: 90,
		steps: [
			{do: 'open', body: 'a', at: 0},
			{do: 'open', body: 'b', at: 0},
			{
				do: 'grow', body: 'a', bytes: 50, at: 1,
			},
			{
				do: 'grow', body: 'b', bytes: 40, at: 1,
			},
			{do: 'open', body: 'c', at: 90},
			{
				do: 'grow', body: 'c', bytes: 90, at: 91, ends: ['a', 'b'],
			},
		],
	},
	{
		guardsAgainst: 'a lower bound ending bodies before any grows', maxBytes: 100, left: 80,
		steps: [{do: 'open', body: 'a', at: 0}, {
			do: 'grow', body: 'a', bytes: 80, at: 1,
		}, {do: 'bound', bytes: 50}],
	},
	{
		guardsAgainst: 'a body that holds no memory being ended, which frees none', maxBytes: 100, left: 100,
		steps: [
			{do: 'open', body: 'whole', at: 0},
			{
				do: 'grow', body: 'whole', bytes: 100, at: 1,
			},
			{do: 'complete', body: 'whole'},
			{do: 'open', body: 'empty', at: 5},
			{do: 'open', body: 'new', at: 10},
			{
				do: 'grow', body: 'new', bytes: 10, at: 10, ends: ['new'],
			},
		],
	},
];

test.each(cases)('guards against $guardsAgainst', ({maxBytes, steps, left}) => {
	const budget = new BodyBudget(maxBytes);
	const handles = new Map<string, BodyHandle>();
	for (const step of steps) {
		switch (step.do) {
			case 'open': {
				handles.set(step.body, budget.open((step.at ?? 0) as Instant));
				break;
			}

			case 'grow': {
				const ended = budget.grow(handles.get(step.body)!, step.bytes, step.at as Instant);
				expect(ended.map(handle => [...handles].find(([, other]) => other === handle)![0])).toEqual(step.ends ?? []);
				break;
			}

			case 'bound': {
				budget.setMaxBytes(step.bytes);
				break;
			}

			default: {
				budget[step.do](handles.get(step.body)!);
			}
		}
	}

	expect(budget.bytes).toBe(left);
});
