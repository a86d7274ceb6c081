import {describe, expect, test} from 'vitest';
import {HoldTable, toHold, toId} from '@baobabpier/core';
import type {
	AttemptNumber, EngineId, HeldPlace, Instant, InstanceId, RequestId,
} from '@baobabpier/core';

const at = (ms: number): Instant => ms as Instant;
const holder = toId<InstanceId>('entry');
const engine = (id: string) => ({id: toId<EngineId>(id), address: id});
const place = (id: string, decode: string, pieces = 4): HeldPlace => ({...toHold(toId<RequestId>(id), toId<AttemptNumber>(1)), decode: engine(decode), pieces});

type Step =
	| {readonly grant: HeldPlace}
	| {readonly renew: readonly HeldPlace[]}
	| {readonly release: HeldPlace};

describe('places that their holders tell of', () => {
	test.each<{name: string; steps: readonly Step[]; pieces: Readonly<Record<string, number>>}>([
		{
			name: 'a place taken without the owner counts from its first renewal',
			steps: [{renew: [place('r1', 'd1')]}],
			pieces: {d1: 4, d2: 0},
		},
		{
			name: 'a stream that moved counts on its new engine only',
			steps: [{grant: place('r1', 'd1')}, {renew: [place('r1', 'd2')]}],
			pieces: {d1: 0, d2: 4},
		},
		{
			name: 'a moved stream is released from its new engine',
			steps: [{grant: place('r1', 'd1')}, {renew: [place('r1', 'd2')]}, {release: place('r1', 'd2')}],
			pieces: {d1: 0, d2: 0},
		},
		{
			name: 'a renewal that was overtaken by a release brings nothing back',
			steps: [{grant: place('r1', 'd1')}, {release: place('r1', 'd1')}, {renew: [place('r1', 'd2')]}],
			pieces: {d1: 0, d2: 0},
		},
	])('$name', ({steps, pieces}) => {
		const holds = new HoldTable({leaseMs: 5000, orphanMs: 6000});
		for (const [index, step] of steps.entries()) {
			if ('grant' in step) {
				holds.grant({
					...step.grant, holder, prefill: engine('p1'), promptTokens: 100,
				}, at(index));
			} else if ('renew' in step) {
				holds.renew(holder, step.renew, at(index));
			} else {
				holds.release(step.release, at(index));
			}
		}

		expect(Object.fromEntries(Object.keys(pieces).map(id => [id, holds.usage(toId<EngineId>(id), at(10)).pieces]))).toEqual(pieces);
	});
});
