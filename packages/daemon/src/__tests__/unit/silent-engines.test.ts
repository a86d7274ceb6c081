/** Sound engines that fall silent and go on, seen from their callers. */
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, beforeEach, expect, test,
} from 'vitest';
import {exchangeRaw, GatewayHarness} from './gateway-harness.js';
import type {EngineRequest, RawEngine} from './gateway-harness.js';

let harness: GatewayHarness;

beforeEach(() => {
	harness = new GatewayHarness();
});

afterEach(() => {
	harness.close();
});

/** Longer than the silence after which another engine is sought, before the first event and between two events, in milliseconds. */
const beforeHeadMs = 2200;
const betweenEventsMs = 1400;
const eventCount = 4;

const head = (id: string, framing: string, status = '200 OK'): string => `HTTP/1.1 ${status}\r\nx-id: ${id}\r\nx-stamp: s\r\n${framing}\r\n`;
const refusal = (id: string): string => `HTTP/1.1 503 Service Unavailable\r\nx-id: ${id}\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n`;
const chunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;
const numbersFrom = (first: number): readonly number[] => Array.from({length: eventCount + 1 - first}, (_, index) => first + index);
const eventsFrom = (first: number, run: string): string => numbersFrom(first).map(number => chunk(`id: ${number}\ndata: ${run}\n\n`)).join('');
const streamHead = (id: string): string => head(id, 'transfer-encoding: chunked\r\n');
const last = '0\r\n\r\n';

/** The events of a stream as the caller got them, such as `1a 2a 3b`, and whether its end came. */
const eventsOf = (answer: string): string => `${[...answer.matchAll(/id: (?<number>\d+)\ndata: (?<run>\w+)/gv)].map(({groups}) => `${groups!.number}${groups!.run}`).join(' ')}${answer.endsWith(last) ? ' end' : ''}`;
const statusOf = (answer: string): string => answer.slice(9, 12);
const runsOf = ({requests}: RawEngine): number => requests.filter(({line, purpose}) => !line.includes('/lease') && !line.startsWith('DELETE') && purpose !== 'prefill').length;

type Respond = (request: EngineRequest) => Promise<void> | void;

/** Sends two events, is silent, and goes on. */
const pausing = (run: string, pauseMs: number): Respond => async ({socket, id}) => {
	socket.write(streamHead(id) + chunk(`id: 1\ndata: ${run}\n\n`) + chunk(`id: 2\ndata: ${run}\n\n`));
	await sleep(pauseMs);
	if (!socket.destroyed) {
		socket.write(eventsFrom(3, run) + last);
	}
};

/** Is silent before its head. */
const late = (run: string, pauseMs: number): Respond => async ({socket, id}) => {
	await sleep(pauseMs);
	if (!socket.destroyed) {
		socket.write(streamHead(id) + eventsFrom(1, run) + last);
	}
};

/** Resumes a stream after its second event, after a while. */
const resuming = (run: string, pauseMs = 0): Respond => async ({socket, id}) => {
	await sleep(pauseMs);
	if (!socket.destroyed) {
		socket.write(streamHead(id) + eventsFrom(3, run) + last);
	}
};

const full: Respond = ({socket, id}) => {
	socket.write(refusal(id));
};

/** Fails with a response of its own. */
const failing: Respond = ({socket, id}) => {
	socket.write(`${head(id, 'content-length: 6\r\n', '500 Internal Server Error')}failed`);
};

const breaking = (run: string, pauseMs: number): Respond => async ({socket, id}) => {
	socket.write(streamHead(id) + chunk(`id: 1\ndata: ${run}\n\n`) + chunk(`id: 2\ndata: ${run}\n\n`));
	await sleep(pauseMs);
	socket.destroy();
};

/** Leases are refused, prompts are read at once. */
const withCalls = (respond: Respond): Respond => async request => {
	const {socket, line, purpose, id} = request;
	if (line.includes('/lease') || line.startsWith('DELETE')) {
		socket.write('HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n');
	} else if (purpose === 'prefill') {
		socket.write(`${head(id, 'content-length: 6\r\n')}handle`);
	} else {
		await respond(request);
	}
};

type Case = {
	readonly name: string;
	readonly first: Respond;
	/** No other engine has a place when undefined. */
	readonly second: Respond | undefined;
	readonly status: string;
	readonly events: string;
	/** Runs that reached the first engine and the second one. */
	readonly runs: readonly [number, number];
};

const cases: readonly Case[] = [
	{
		name: 'an engine is silent between events and goes on, no other one has a place', first: pausing('a', betweenEventsMs), second: undefined, status: '200', events: '1a 2a 3a 4a end', runs: [1, 0],
	},
	{
		name: 'an engine is silent between events and goes on, the other one is full', first: pausing('a', betweenEventsMs), second: full, status: '200', events: '1a 2a 3a 4a end', runs: [1, 1],
	},
	{
		name: 'an engine is silent between events and goes on, the other one is silent too', first: pausing('a', 1700), second: resuming('b', 2000), status: '200', events: '1a 2a 3a 4a end', runs: [1, 1],
	},
	{
		name: 'an engine is silent between events, the other one delivers', first: pausing('a', 2800), second: resuming('b'), status: '200', events: '1a 2a 3b 4b end', runs: [1, 1],
	},
	{
		name: 'an engine is silent between events and goes on, the other one fails', first: pausing('a', 1900), second: failing, status: '200', events: '1a 2a 3a 4a end', runs: [1, 2],
	},
	{
		name: 'an engine is silent between events and breaks off, the other one fails', first: breaking('a', 1500), second: failing, status: '200', events: '1a 2a', runs: [1, 2],
	},
	{
		name: 'an engine is silent between events and breaks off, the other one is silent and delivers', first: breaking('a', 1500), second: resuming('b', 700), status: '200', events: '1a 2a 3b 4b end', runs: [1, 1],
	},
	{
		name: 'an engine is silent between events and breaks off, no other one has a place', first: breaking('a', 1500), second: undefined, status: '200', events: '1a 2a', runs: [1, 0],
	},
	{
		name: 'an engine is silent before its head and goes on, no other one has a place', first: late('a', beforeHeadMs), second: undefined, status: '200', events: '1a 2a 3a 4a end', runs: [1, 0],
	},
	{
		name: 'an engine is silent before its head and goes on, the other one is full', first: late('a', beforeHeadMs), second: full, status: '200', events: '1a 2a 3a 4a end', runs: [1, 1],
	},
	{
		name: 'an engine is silent before its head and goes on, the other one fails', first: late('a', 2700), second: failing, status: '200', events: '1a 2a 3a 4a end', runs: [1, 2],
	},
	{
		name: 'an engine is silent before its head, the other one delivers', first: late('a', 2900), second: late('b', 0), status: '200', events: '1b 2b 3b 4b end', runs: [1, 1],
	},
	{
		name: 'an engine closes the connection before its head, no other one has a place', first({socket}) {
			socket.destroy();
		}, second: undefined, status: '502', events: '', runs: [1, 0],
	},
	{
		name: 'an engine closes the connection before its head, the other one is full', first({socket}) {
			socket.destroy();
		}, second: full, status: '502', events: '', runs: [1, 2],
	},
];

// Guards against answers that end because an engine pauses, against two runs joined in one answer, and against refusals of what an engine got
test.concurrent.each(cases)('when $name, the caller gets "$events"', async ({first, second, status, events, runs}) => {
	const own = new GatewayHarness();
	const prefill = await own.startEngine('p1', 'prefill', withCalls(full));
	const one = await own.startEngine('d1', 'decode', withCalls(first));
	const other = await own.startEngine('d2', 'decode', withCalls(second ?? full));
	const gateway = await own.startGateway([[prefill, one], ...Array.from({length: 20}, () => second === undefined ? undefined : [other, other] as const)], 4);
	const answer = await exchangeRaw(gateway, '/stream/', 'r1');
	own.close();
	expect({status: statusOf(answer), events: eventsOf(answer), runs: [runsOf(one), runsOf(other)]}).toEqual({status, events, runs});
}, 10_000);

type PlainCase = {
	readonly name: string;
	readonly path: '/safe/' | '/unsafe/';
	/** Time until each server in the order in which they get the call answers, in milliseconds; undefined where it is full. */
	readonly answerMs: ReadonlyArray<number | undefined>;
	readonly status: string;
	/** Position of the server that answered. */
	readonly answeredBy: number | undefined;
	readonly runs: number;
};

const plainCases: readonly PlainCase[] = [
	{
		name: 'a server is silent and the others answer', path: '/safe/', answerMs: [2000, 0, 0], status: '200', answeredBy: 1, runs: 2,
	},
	{
		name: 'a server is silent and goes on, the others are full', path: '/safe/', answerMs: [1400, undefined, undefined], status: '200', answeredBy: 0, runs: 3,
	},
	{
		name: 'all servers are silent, the first one goes on first', path: '/safe/', answerMs: [1400, 1800, 1900], status: '200', answeredBy: 0, runs: 3,
	},
	{
		name: 'all servers are silent, the last one goes on first', path: '/safe/', answerMs: [1900, 1800, 500], status: '200', answeredBy: 2, runs: 3,
	},
	{
		name: 'a server of a call that may run once is silent', path: '/unsafe/', answerMs: [1400, 0, 0], status: '200', answeredBy: 0, runs: 1,
	},
	{
		name: 'a server is silent until the deadline, the others are full', path: '/safe/', answerMs: [4000, undefined, undefined], status: '504', answeredBy: undefined, runs: 3,
	},
];

// Guards against attempts of plain calls that are given up for others that answer later or not at all
test.concurrent.each(plainCases)('when $name, a plain call ends with $status', async ({path, answerMs, status, answeredBy, runs}) => {
	const own = new GatewayHarness();
	let arrived = 0;
	const respond: Respond = async ({socket, id}) => {
		const position = arrived++;
		const ms = answerMs[position];
		if (ms === undefined) {
			socket.write(refusal(id));
			return;
		}

		await sleep(ms);
		if (!socket.destroyed) {
			socket.write(`${head(id, 'content-length: 1\r\n')}${position}`);
		}
	};

	const engines = await Promise.all(answerMs.map(async (_, index) => own.startEngine(`e${index}`, 'decode', respond)));
	const gateway = await own.startGateway(engines.map(engine => [engine, engine] as const));
	const answer = await exchangeRaw(gateway, path, 'r1');
	own.close();
	expect({status: statusOf(answer), runs: arrived, answeredBy: status === '200' ? Number(answer.at(-1)) : undefined}).toEqual({status, runs, answeredBy});
}, 10_000);

// Guards against one silent engine whose streams all begin again elsewhere at once
test('of many streams of an engine that is silent for a moment, few begin at another one', async () => {
	const streams = 40;
	const prefill = await harness.startEngine('p1', 'prefill', withCalls(full));
	const one = await harness.startEngine('d1', 'decode', withCalls(pausing('a', betweenEventsMs)));
	const other = await harness.startEngine('d2', 'decode', withCalls(resuming('b', 1000)));
	const gateway = await harness.startGateway([...Array.from({length: streams}, () => [prefill, one] as const), ...Array.from({length: streams}, () => [other, other] as const)], streams);
	const answers = await Promise.all(Array.from({length: streams}, async (_, index) => exchangeRaw(gateway, '/stream/', `r${index}`)));
	expect(answers.map(answer => eventsOf(answer))).toEqual(answers.map(() => '1a 2a 3a 4a end'));
	expect(runsOf(one)).toBe(streams);
	expect(runsOf(other)).toBeLessThanOrEqual(4);
}, 10_000);
