/** Streams that have begun and go on through a partner, seen from their callers. */
import {Buffer} from 'node:buffer';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, beforeEach, expect, test,
} from 'vitest';
import type {RelayClient, RelayOutcome} from '../../relay/relay-client.js';
import {exchangeRaw, GatewayHarness} from './gateway-harness.js';
import type {EngineRequest} from './gateway-harness.js';

let harness: GatewayHarness;
beforeEach(() => {
	harness = new GatewayHarness();
});
afterEach(() => {
	harness.close();
});

const chunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;
const event = (number: number, run: string): string => `id: ${number}\ndata: ${run}\n\n`;
const head = (id: string): string => `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-stamp: s\r\ntransfer-encoding: chunked\r\n\r\n`;
const last = '0\r\n\r\n';
/** Longer than the silence between two events after which the rest is sought elsewhere, in milliseconds. */
const silenceMs = 1300;

/** Sends two events, and goes on after a silence, or resets the connection. */
const beginning = (end: 'goesOn' | 'isReset', pauseMs: number) => async ({socket, id}: EngineRequest): Promise<void> => {
	socket.write(head(id) + chunk(event(1, 'engine')) + chunk(event(2, 'engine')));
	await sleep(pauseMs);
	if (end === 'isReset') {
		socket.resetAndDestroy();
	} else if (!socket.destroyed) {
		socket.write(chunk(event(3, 'engine')) + chunk(event(4, 'engine')) + last);
	}
};

type Partner = {
	readonly kind: RelayOutcome['kind'];
	/** Time before its first event, in milliseconds. */
	readonly delayMs: number;
};

/** A partner that goes on after event 2; it repeats that event. */
const createRelay = ({kind, delayMs}: Partner): Pick<RelayClient, 'isNeeded' | 'send'> & {calls: number} => ({
	calls: 0,
	isNeeded: true,
	async send(_call, scope, sink): Promise<RelayOutcome> {
		this.calls += 1;
		if (kind === 'declined') {
			return {kind};
		}

		await sleep(delayMs);
		if (scope.reason !== undefined) {
			return {kind: 'broken', detail: scope.reason};
		}

		sink.start({
			status: 200, rawHeaders: [], isAuthentic: true, isNotExecuted: false, isMisdirected: false, isEncoded: false, load: undefined,
		});
		for (const number of [2, 3, 4]) {
			sink.write({id: String(number), bytes: Buffer.from(event(number, 'partner'))});
		}

		sink.end();
		return {kind: 'complete'};
	},
});

/** Resets the connection without an answer. */
const breaking = ({socket}: EngineRequest): void => {
	socket.resetAndDestroy();
};

const eventsOf = (answer: string): string => `${[...answer.matchAll(/id: (?<number>\d+)\ndata: (?<run>\w)/gv)].map(({groups}) => `${groups!.number}${groups!.run}`).join(' ')}${answer.endsWith(last) ? ' end' : ''}`;

// Guards against streams that are written to by two runs, or go on after their end, where a partner takes them over
test.each<{readonly name: string; readonly end: 'goesOn' | 'isReset'; readonly pauseMs: number; readonly partner: Partner; readonly events: string; readonly calls: number}>([
	{
		name: 'breaks', end: 'isReset', pauseMs: 30, partner: {kind: 'complete', delayMs: 0}, events: '1e 2e 3p 4p end', calls: 1,
	},
	{
		name: 'is silent for long', end: 'goesOn', pauseMs: 2500, partner: {kind: 'complete', delayMs: 0}, events: '1e 2e 3p 4p end', calls: 1,
	},
	{
		name: 'goes on before the partner delivers', end: 'goesOn', pauseMs: silenceMs + 200, partner: {kind: 'complete', delayMs: 600}, events: '1e 2e 3e 4e end', calls: 1,
	},
])('a stream whose engine $name has each event once', async ({end, pauseMs, partner, events, calls}) => {
	const engine = await harness.startEngine('e', 'decode', request => {
		void beginning(end, pauseMs)(request);
	});
	const relay = createRelay(partner);
	harness.relay = relay;
	const gateway = await harness.startGateway([[engine, engine], undefined], 4);
	const answer = await exchangeRaw(gateway, '/stream/x', 'r');
	expect([eventsOf(answer), relay.calls]).toEqual([events, calls]);
});

// Guards against streams that end unserved because they break before their first event, and against relays through a third instance
test.each<{readonly name: string; readonly path: '/stream/x' | '/once/x'; readonly partner: Partner; readonly events: string; readonly calls: number}>([
	{
		name: 'is begun by a partner', path: '/stream/x', partner: {kind: 'complete', delayMs: 0}, events: '2p 3p 4p end', calls: 1,
	},
	{
		name: 'is not begun anew where it may run once only', path: '/once/x', partner: {kind: 'complete', delayMs: 0}, events: '', calls: 0,
	},
])('a stream that breaks before its first event $name', async ({path, partner, events, calls}) => {
	const engine = await harness.startEngine('e', 'decode', breaking);
	const relay = createRelay(partner);
	harness.relay = relay;
	const gateway = await harness.startGateway([[engine, engine], undefined], 4);
	const answer = await exchangeRaw(gateway, path, 'r');
	expect([eventsOf(answer), relay.calls]).toEqual([events, calls]);
});

test('a broken stream that another instance relays goes to no third one', async () => {
	const engine = await harness.startEngine('e', 'decode', request => {
		void beginning('isReset', 30)(request);
	});
	const relay = createRelay({kind: 'complete', delayMs: 0});
	harness.relay = relay;
	const gateway = await harness.startGateway([[engine, engine], undefined], 4);
	const answer = await exchangeRaw(gateway, '/stream/x', 'r', 'relays');
	expect([eventsOf(answer), relay.calls]).toEqual(['1e 2e', 0]);
});
