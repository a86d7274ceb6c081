import {describe, expect, test} from 'vitest';
import {
	at, createEntry, createPool, createRequest, enginePieces,
} from './forecast-pool.js';
import {EngineStarts, RejectionBackoff, toId} from '@baobabpier/core';
import type {EngineId, EngineIncarnation} from '@baobabpier/core';

describe('a decode engine whose memory is used by streams that the owner does not know', () => {
	/** Requests arrive every 30 ms for 900 ms; each one that is granted is rejected by the engine right after its prompt was read. */
	test('gets few prompts that it rejects', () => {
		const pool = createPool([createEntry('p1', 'prefill'), createEntry('d1', 'decode')]);
		let rejected = 0;
		for (let now = 0; now < 900; now += 30) {
			const effects = pool.step({kind: 'place', req: createRequest(`r${now}`)}, at(now));
			for (const effect of [...effects, ...pool.step({kind: 'tick'}, at(now))]) {
				if (effect.kind === 'placed') {
					rejected += 1;
					pool.step({kind: 'release', hold: effect.hold, rejectedBy: [effect.placement.decode.id]}, at(now + 10));
				}
			}
		}

		expect(rejected).toBeLessThanOrEqual(4);
	});

	test('gets none that its report leaves no memory for', () => {
		const pool = createPool([createEntry('p1', 'prefill'), createEntry('d1', 'decode')]);
		pool.step({
			kind: 'report', report: {
				engine: toId<EngineId>('d1'), incarnation: toId<EngineIncarnation>('1'), role: 'decode', pieces: enginePieces, freePieces: 300, queuedTokens: 0, running: 0, held: [],
			},
		}, at(0));
		expect(pool.step({kind: 'place', req: createRequest('r1')}, at(10))).toEqual([]);
	});
});

describe('the closing of an engine that rejects streams', () => {
	const engine = toId<EngineId>('d1');

	type Step = {readonly at: number; readonly kind: 'accepted' | 'granted' | 'rejected' | 'released'};

	test.each<{name: string; steps: readonly Step[]; at: number; isClosed: boolean}>([
		{
			name: 'a rejection closes it', steps: [{at: 0, kind: 'rejected'}], at: 90, isClosed: true,
		},
		{
			name: 'it opens again after a while', steps: [{at: 0, kind: 'rejected'}], at: 110, isClosed: false,
		},
		{
			name: 'it opens when a stream ends there', steps: [{at: 0, kind: 'rejected'}, {at: 20, kind: 'released'}], at: 30, isClosed: false,
		},
		{
			name: 'the next rejection closes it for longer', steps: [{at: 0, kind: 'rejected'}, {at: 110, kind: 'rejected'}], at: 290, isClosed: true,
		},
		{
			name: 'rejections of sends under way count once', steps: [{at: 0, kind: 'rejected'}, {at: 5, kind: 'rejected'}, {at: 9, kind: 'rejected'}], at: 110, isClosed: false,
		},
		{
			name: 'a reopened engine gets one stream', steps: [{at: 0, kind: 'rejected'}, {at: 110, kind: 'granted'}], at: 120, isClosed: true,
		},
		{
			name: 'and the next one once it accepted that stream', steps: [{at: 0, kind: 'rejected'}, {at: 110, kind: 'granted'}, {at: 150, kind: 'accepted'}], at: 160, isClosed: false,
		},
		{
			name: 'the rejection of that stream closes it for longer', steps: [{at: 0, kind: 'rejected'}, {at: 110, kind: 'granted'}, {at: 150, kind: 'rejected'}], at: 340, isClosed: true,
		},
		{
			name: 'an accepted stream ends the backoff', steps: [{at: 0, kind: 'rejected'}, {at: 110, kind: 'accepted'}, {at: 120, kind: 'rejected'}], at: 230, isClosed: false,
		},
	])('$name', ({steps, at: checkedAt, isClosed}) => {
		const rejections = new RejectionBackoff();
		for (const {at: stepAt, kind} of steps) {
			switch (kind) {
				case 'accepted': {
					rejections.recordAcceptance(engine);
					break;
				}

				case 'granted': {
					rejections.recordGrant(engine, at(stepAt));
					break;
				}

				case 'rejected': {
					rejections.recordRejection(engine, at(stepAt));
					break;
				}

				case 'released': {
					rejections.recordRelease(engine, at(stepAt));
					break;
				}
			}
		}

		expect(rejections.isClosed(engine, at(checkedAt))).toBe(isClosed);
	});
});

describe('reports from the address of a lost engine', () => {
	const engine = toId<EngineId>('d1');

	test.each<{name: string; starts: ReadonlyArray<readonly [start: number, at: number]>; isTrusted: boolean}>([
		{name: 'the first report is trusted', starts: [[1, 0]], isTrusted: true},
		{name: 'reports of one start are trusted', starts: [[1, 0], [1, 500]], isTrusted: true},
		{name: 'another start is not', starts: [[1, 0], [2, 500]], isTrusted: false},
		{name: 'nor shortly after', starts: [[1, 0], [2, 500], [2, 3400]], isTrusted: false},
		{name: 'it is once the list had the time to drop the engine', starts: [[1, 0], [2, 500], [2, 3500]], isTrusted: true},
		{name: 'a second restart counts anew', starts: [[1, 0], [2, 500], [3, 3600]], isTrusted: false},
	])('$name', ({starts, isTrusted}) => {
		const tracker = new EngineStarts();
		const trusted = starts.map(([start, reportedAt]) => tracker.isTrusted(engine, start, at(reportedAt)));
		expect(trusted.at(-1)).toBe(isTrusted);
	});

	test('an engine that left the list begins anew', () => {
		const tracker = new EngineStarts();
		tracker.isTrusted(engine, 1, at(0));
		tracker.retain(new Set());
		expect(tracker.isTrusted(engine, 2, at(500))).toBe(true);
	});
});
