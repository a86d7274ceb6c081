import {describe, expect, test} from 'vitest';
import {HoldTable, toHold, toId} from '@baobabpier/core';
import type {
	AttemptNumber, EngineId, HeldPlacement, EngineIncarnation, Instant, InstanceId, RequestId,
} from '@baobabpier/core';

const at = (ms: number): Instant => ms as Instant;
const holder = toId<InstanceId>('entry');
const engine = (id: string) => ({id: toId<EngineId>(id), address: id});
const placement = (id: string, decode: string, pieces = 4): HeldPlacement => ({...toHold(toId<RequestId>(id), toId<AttemptNumber>(1)), decode: engine(decode), pieces});

type Step =
	| {readonly grant: HeldPlacement}
	| {readonly renew: readonly HeldPlacement[]}
	| {readonly release: HeldPlacement}
	/** A report of an engine that identifies requests only by their ids: pieces by request. */
	| {readonly report: string; readonly piecesByRequest: Readonly<Record<string, number>>; readonly otherPieces?: number};

describe('placements that their holders renew', () => {
	test.each<{name: string; steps: readonly Step[]; pieces: Readonly<Record<string, number>>}>([
		{
			name: 'a placement taken without the owner counts from its first renewal',
			steps: [{renew: [placement('r1', 'd1')]}],
			pieces: {d1: 4, d2: 0},
		},
		{
			name: 'a stream that moved counts on its new engine only',
			steps: [{grant: placement('r1', 'd1')}, {renew: [placement('r1', 'd2')]}],
			pieces: {d1: 0, d2: 4},
		},
		{
			name: 'a moved stream is released from its new engine',
			steps: [{grant: placement('r1', 'd1')}, {renew: [placement('r1', 'd2')]}, {release: placement('r1', 'd2')}],
			pieces: {d1: 0, d2: 0},
		},
		{
			name: 'a renewal that arrives after the release restores nothing',
			steps: [{grant: placement('r1', 'd1')}, {release: placement('r1', 'd1')}, {renew: [placement('r1', 'd2')]}],
			pieces: {d1: 0, d2: 0},
		},
		{
			name: 'a hold that no holder renews counts as long as its engine reports it',
			steps: [{grant: placement('r1', 'd1')}, {report: 'd1', piecesByRequest: {r1: 4, lost: 7}}],
			pieces: {d1: 11},
		},
		{
			name: 'an unclaimed hold no longer counts after a report without it',
			steps: [{report: 'd1', piecesByRequest: {lost: 7}}, {report: 'd1', piecesByRequest: {}}],
			pieces: {d1: 0},
		},
		{
			name: 'a delayed report of a placement released since counts nothing',
			steps: [{grant: placement('r1', 'd1')}, {release: placement('r1', 'd1')}, {report: 'd1', piecesByRequest: {r1: 4}}],
			pieces: {d1: 0},
		},
		{
			name: 'a stream that moved counts on its new engine only after a delayed report of its old one',
			steps: [{grant: placement('r1', 'd1')}, {renew: [placement('r1', 'd2')]}, {report: 'd1', piecesByRequest: {r1: 4}}],
			pieces: {d1: 0, d2: 4},
		},
		{
			name: 'a reported hold counts once after its holder renews it',
			steps: [{report: 'd1', piecesByRequest: {r1: 4}}, {renew: [placement('r1', 'd1', 5)]}],
			pieces: {d1: 5},
		},
		{
			name: 'memory in use that no stream explains counts beside the grants, such as leases of other instances',
			steps: [{grant: placement('r1', 'd1')}, {report: 'd1', piecesByRequest: {r1: 4}, otherPieces: 9}],
			pieces: {d1: 13},
		},
		{
			name: 'a grant that the report does not list yet may be part of the memory in use and counts once',
			steps: [{grant: placement('r1', 'd1')}, {report: 'd1', piecesByRequest: {}, otherPieces: 9}],
			pieces: {d1: 9},
		},
		{
			name: 'streams that outgrew their grants count with what they hold',
			steps: [{grant: placement('r1', 'd1')}, {grant: placement('r2', 'd1')}, {report: 'd1', piecesByRequest: {r1: 9, r2: 3}}],
			pieces: {d1: 12},
		},
		{
			name: 'a placement granted again on another engine does not hide what the report of its first engine tells',
			steps: [{grant: placement('r1', 'd1')}, {grant: placement('r1', 'd2')}, {release: placement('r1', 'd2')}, {report: 'd1', piecesByRequest: {}, otherPieces: 3}],
			pieces: {d1: 7, d2: 0},
		},
		{
			name: 'streams that hold less than their grants count with their grants',
			steps: [{grant: placement('r1', 'd1')}, {report: 'd1', piecesByRequest: {r1: 2}}],
			pieces: {d1: 4},
		},
	])('$name', ({steps, pieces}) => {
		const holds = new HoldTable({leaseMs: 5000, orphanTimeoutMs: 6000});
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
				holds.applyReport({
					engine: toId<EngineId>(step.report),
					incarnation: toId<EngineIncarnation>('1'),
					role: 'decode',
					pieces: 40,
					freePieces: 40 - Object.values(step.piecesByRequest).reduce((sum, reported) => sum + reported, step.otherPieces ?? 0),
					queuedTokens: 0,
					running: 0,
					held: Object.entries(step.piecesByRequest).map(([id, reportedPieces]) => ({requestId: toId<RequestId>(id), attempt: undefined, pieces: reportedPieces})),
				}, step.report, at(index));
			}
		}

		expect(Object.fromEntries(Object.keys(pieces).map(id => [id, holds.usage(toId<EngineId>(id), at(10)).pieces]))).toEqual(pieces);
	});
});
