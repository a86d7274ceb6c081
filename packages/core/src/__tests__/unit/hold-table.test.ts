import {describe, expect, test} from 'vitest';
import {HoldTable, toHold, toId} from '@baobabpier/core';
import type {
	AttemptNumber, EngineId, HeldPlace, EngineIncarnation, Instant, InstanceId, RequestId,
} from '@baobabpier/core';

const at = (ms: number): Instant => ms as Instant;
const holder = toId<InstanceId>('entry');
const engine = (id: string) => ({id: toId<EngineId>(id), address: id});
const place = (id: string, decode: string, pieces = 4): HeldPlace => ({...toHold(toId<RequestId>(id), toId<AttemptNumber>(1)), decode: engine(decode), pieces});

type Step =
	| {readonly grant: HeldPlace}
	| {readonly renew: readonly HeldPlace[]}
	| {readonly release: HeldPlace}
	/** An engine that knows requests only by their ids reports its runs. */
	| {readonly report: string; readonly runs: Readonly<Record<string, number>>};

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
		{
			name: 'a run that nobody tells of counts as long as its engine reports it',
			steps: [{grant: place('r1', 'd1')}, {report: 'd1', runs: {r1: 4, lost: 7}}],
			pieces: {d1: 11},
		},
		{
			name: 'it no longer counts after a report without it',
			steps: [{report: 'd1', runs: {lost: 7}}, {report: 'd1', runs: {}}],
			pieces: {d1: 0},
		},
		{
			name: 'a late report of a place given back since counts nothing',
			steps: [{grant: place('r1', 'd1')}, {release: place('r1', 'd1')}, {report: 'd1', runs: {r1: 4}}],
			pieces: {d1: 0},
		},
		{
			name: 'a late report of a stream that moved counts on its new engine only',
			steps: [{grant: place('r1', 'd1')}, {renew: [place('r1', 'd2')]}, {report: 'd1', runs: {r1: 4}}],
			pieces: {d1: 0, d2: 4},
		},
		{
			name: 'a run whose holder comes forward counts once',
			steps: [{report: 'd1', runs: {r1: 4}}, {renew: [place('r1', 'd1', 5)]}],
			pieces: {d1: 5},
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
			} else if ('release' in step) {
				holds.release(step.release, at(index));
			} else {
				holds.report({
					engine: toId<EngineId>(step.report),
					incarnation: toId<EngineIncarnation>('1'),
					role: 'decode',
					pieces: 40,
					freePieces: 0,
					queuedTokens: 0,
					running: 0,
					held: Object.entries(step.runs).map(([id, runPieces]) => ({requestId: toId<RequestId>(id), attempt: undefined, pieces: runPieces})),
				}, step.report, at(index));
			}
		}

		expect(Object.fromEntries(Object.keys(pieces).map(id => [id, holds.usage(toId<EngineId>(id), at(10)).pieces]))).toEqual(pieces);
	});
});
