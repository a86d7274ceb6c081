import {expect, test} from 'vitest';
import {readLogLines, summarizeStreams} from '@baobabpier/cli';

const limits = {waitMs: 400, pauseMs: 300};

type Event = Readonly<Record<string, unknown>>;

const logOf = (requestId: string, events: readonly Event[]): string => events.map((event, index) => JSON.stringify({
	level: 30, time: `2026-01-30T23:14:1${index}.000Z`, instance: 'entry-1', part: 'stream', requestId, ...event,
})).join('\n');

const placed = (waitedMs: number): Event => ({
	event: 'A stream got a place.', prefill: 'p1', decode: 'd1', tokens: 5000, waitedMs,
});
const prefilled: Event = {
	event: 'A prompt was read.', engine: 'p1', tokens: 5000, ms: 100, isRead: true,
};
const outcome = (change: Event): Event => ({
	event: 'A stream got an outcome at an engine.', engine: 'd1', purpose: 'decode', outcome: 'complete', firstEventMs: 9, longestPauseMs: 60, ...change,
});
const rejected = outcome({outcome: 'notRun', firstEventMs: undefined, longestPauseMs: undefined});
const broken = outcome({outcome: 'broken', detail: 'read ECONNRESET'});

test.each<{name: string; events: readonly Event[]; cause: string; wastedTokens: number}>([
	{
		name: 'a stream in time', events: [placed(3), prefilled, outcome({})], cause: 'complete, in time', wastedTokens: 0,
	},
	{
		name: 'a long wait', events: [placed(900), prefilled, outcome({})], cause: 'complete, late: waited', wastedTokens: 0,
	},
	{
		name: 'a long pause', events: [placed(3), prefilled, outcome({longestPauseMs: 310})], cause: 'complete, late: paused', wastedTokens: 0,
	},
	{
		name: 'a stream that went on elsewhere', events: [placed(3), prefilled, broken, outcome({purpose: 'resume'})], cause: 'complete, late: resumed', wastedTokens: 5000,
	},
	{
		name: 'a rejection after the prefill', events: [placed(3), prefilled, rejected], cause: 'refused after an engine rejected it', wastedTokens: 5000,
	},
	{
		name: 'a refusal without a send', events: [{event: 'A stream got no place.', kind: 'overloaded'}], cause: 'refused without a send: overloaded', wastedTokens: 0,
	},
	{
		name: 'a caller that left', events: [placed(3), prefilled, outcome({outcome: 'broken', ended: 'callerGone'})], cause: 'broken off: callerGone', wastedTokens: 5000,
	},
	{
		name: 'an instance that was lost', events: [placed(3), prefilled], cause: 'no outcome: its instance was lost or stopped logging', wastedTokens: 5000,
	},
])('counts $name', ({events, cause, wastedTokens}) => {
	const summary = summarizeStreams(readLogLines(logOf('r1', events)).lines, limits);
	expect(summary.causes).toEqual([{
		cause, streams: 1, wastedTokens, examples: ['r1'],
	}]);
});

test('counts causes over all streams and rejections by engine, and leaves out plain calls', () => {
	const text = [
		logOf('r1', [placed(3), prefilled, outcome({})]),
		logOf('r2', [placed(3), prefilled, rejected]),
		logOf('r3', [placed(3), prefilled, rejected]),
		logOf('r4', [{event: 'A call got an outcome at a server.', outcome: 'answer'}]),
	].join('\n');
	const {streams, causes, rejections} = summarizeStreams(readLogLines(text).lines, limits);
	expect([streams, causes.map(({cause, streams: count}) => [cause, count]), [...rejections]]).toEqual([
		3, [['refused after an engine rejected it', 2], ['complete, in time', 1]], [['d1', 2]],
	]);
});
