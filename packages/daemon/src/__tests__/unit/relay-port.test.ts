/** What an instance does with calls while it reaches no server, and with those that others relay to it. */
import {setTimeout as sleep} from 'node:timers/promises';
import {
	createSeededRandom, ok, routerError, toId,
} from '@baobabpier/core';
import type {
	ErrorKind, RequestId, RouteName, RoutingTable, RoutingVersion, ServiceName,
} from '@baobabpier/core';
import {request} from 'undici';
import {
	afterEach, expect, test,
} from 'vitest';
import {CallerListener} from '../../gateway/caller-listener.js';
import {GatewayMetrics} from '../../gateway/gateway-metrics.js';
import type {PlainRoute} from '../../gateway/plain-route.js';
import {errorReply} from '../../gateway/reply.js';
import type {Reply} from '../../gateway/reply.js';
import {StartupGate} from '../../gateway/startup-gate.js';
import type {StreamRoute} from '../../gateway/stream-route.js';
import type {Call} from '../../gateway/types.js';
import {monotonicClock} from '../../monotonic-clock.js';
import type {RelayOutcome} from '../../relay/relay-client.js';
import {relayHeaders} from '../../relay/relay-headers.js';
import {openQuotas} from './open-quotas.js';

const secret = 's';
const service = toId<ServiceName>('desk');
const table: RoutingTable = {
	version: toId<RoutingVersion>(3),
	routes: [{
		name: toId<RouteName>('unsafe'), host: 'a.example', prefix: '/unsafe/', kind: 'unsafe', timeoutMs: 2000, targetLatencyMs: 500, priority: 1, targets: [{service, weight: 1}], maxAttempts: 1, resumable: false, targetGapMs: 300,
	}],
	services: new Map(),
	limits: {
		headerBytes: 16_384, bodyBytes: 1000, headersTimeoutMs: 3000, idleTimeoutMs: 15_000,
	},
};
const whole: Reply = {
	kind: 'relay', body: new TextEncoder().encode('done'), head: {
		status: 200, rawHeaders: ['x-server', 's1'], isAuthentic: true, isNotExecuted: false, isMisdirected: false, isEncoded: false, load: undefined,
	},
};
let listener: CallerListener | undefined;
afterEach(() => {
	listener?.destroy();
});

type State = {
	/** Whether no server is reached, before a call and after it has failed. */
	readonly isCut?: readonly [boolean, boolean];
	/** The same, as the port for relays asks. */
	readonly isPathLost?: readonly [boolean, boolean];
	readonly own?: Reply;
	readonly partner?: RelayOutcome;
	/** Versions that come into force after the first one, each 50 ms after the one before. */
	readonly laterVersions?: readonly number[];
	/** Time that the answer to that takes, in milliseconds. */
	readonly pathCheckMs?: number;
	/** When the listener closes, in milliseconds after the call was sent. */
	readonly closesAfterMs?: number;
};

const versionGapMs = 50;
/** Time that a stop leaves for the last responses, in milliseconds: less than a call may wait for a configuration. */
const closeMs = 60;

/** Sends a call to a port; returns the answer, and how often servers and partners got it. */
const send = async (port: 'callers' | 'relays', {isCut = [false, false], isPathLost = [false, false], own = whole, partner = {kind: 'reply', reply: whole}, laterVersions = [], closesAfterMs, pathCheckMs = 0}: State, headers: string[] = []) => {
	const calls: Call[] = [];
	/** Time that each call had left when it was served, in milliseconds. */
	const leftMs: number[] = [];
	let relayed = 0;
	const gate = new StartupGate(monotonicClock);
	const made = new CallerListener({
		quotas: openQuotas,
		gate,
		clock: monotonicClock,
		random: createSeededRandom(1),
		dialect: {
			parseMetadata: all => ok({
				requestId: toId<RequestId>(String(all['x-id'])), callerTimeoutMs: undefined, promptTokens: 0, maxTokens: 0, lastEventId: undefined, sharedSegments: [],
			}),
			errorHeaders: () => ({}),
			takeUpHeaders: () => ({names: new Set(), headers: []}),
		},
		plain: {
			async serve(call: Call) {
				calls.push(call);
				leftMs.push(call.deadlineAt - monotonicClock.now());
				return own;
			},
		} as unknown as PlainRoute,
		streams: {} as unknown as StreamRoute,
		metrics: new GatewayMetrics(),
		relay: {
			isNeeded: isCut[0],
			becomesNeeded: async () => isCut[1],
			async send() {
				relayed += 1;
				return partner;
			},
		},
		relayPort: {
			secret,
			async isPathLost() {
				await sleep(pathCheckMs);
				return isPathLost[Math.min(calls.length, 1)]!;
			},
		},
	});
	listener = made;
	await made.listen('127.0.0.1:0');
	await made.listenForRelays('127.0.0.1:0');
	made.apply(table);
	gate.open();
	for (const [index, version] of laterVersions.entries()) {
		setTimeout(() => {
			made.apply({...table, version: toId<RoutingVersion>(version)});
		}, (index + 1) * versionGapMs);
	}

	if (closesAfterMs !== undefined) {
		setTimeout(() => {
			void made.close(closeMs);
		}, closesAfterMs);
	}

	const res = await request(`http://127.0.0.1:${port === 'callers' ? made.port : made.relayTcpPort}/unsafe/x`, {method: 'POST', headers: ['host', 'a.example', 'x-id', 'r1', ...headers], body: 'b'});
	await res.body.text();
	return {
		status: res.statusCode, isDeclined: res.headers['x-relay-declined'] === '1', calls, relayed, leftMs,
	};
};

const refusal = (kind: ErrorKind): Reply => errorReply(routerError(kind));

test.each<{readonly name: string; readonly state: State; readonly status: number; readonly own: number; readonly relayed: number}>([
	{
		name: 'that reaches servers', state: {}, status: 200, own: 1, relayed: 0,
	},
	{
		name: 'that reaches none', state: {isCut: [true, true]}, status: 200, own: 0, relayed: 1,
	},
	{
		name: 'that turns out to reach none', state: {isCut: [false, true], own: refusal('noBackend')}, status: 200, own: 1, relayed: 1,
	},
	{
		name: 'that reaches none, where the call may have run', state: {isCut: [false, true], own: refusal('answerLost')}, status: 502, own: 1, relayed: 0,
	},
	{
		name: 'that reaches servers, where all are full', state: {own: refusal('overloaded')}, status: 503, own: 1, relayed: 0,
	},
	{
		name: 'that reaches none, where no partner takes the call', state: {isCut: [true, true], own: refusal('noBackend'), partner: {kind: 'declined'}}, status: 503, own: 1, relayed: 2,
	},
	{
		name: 'that reaches none, whose partner breaks off', state: {isCut: [true, true], partner: {kind: 'broken', detail: 'reset'}}, status: 502, own: 0, relayed: 1,
	},
])('a caller of an instance $name', async ({state, status, own, relayed}) => {
	const sent = await send('callers', state);
	expect([sent.status, sent.calls.length, sent.relayed]).toEqual([status, own, relayed]);
});

const trusted = relayHeaders({remainingMs: 700, routingVersion: 3}, secret);

// Guards against calls that go round between instances without a path to servers
test.each<{readonly name: string; readonly state?: State; readonly headers?: string[]; readonly status: number; readonly isDeclined: boolean; readonly own: number}>([
	{
		name: 'is served', status: 200, isDeclined: false, own: 1,
	},
	{
		name: 'goes to no third instance', state: {isCut: [true, true], own: refusal('noBackend')}, status: 503, isDeclined: false, own: 1,
	},
	{
		name: 'is declined by an instance that reaches no server', state: {isPathLost: [true, true]}, status: 503, isDeclined: true, own: 0,
	},
	{
		name: 'is declined by an instance that turns out to reach no server', state: {isPathLost: [false, true], own: refusal('noBackend')}, status: 503, isDeclined: true, own: 1,
	},
	{
		name: 'is not declined where it may have run', state: {isPathLost: [false, true], own: refusal('answerLost')}, status: 502, isDeclined: false, own: 1,
	},
	{
		name: 'is declined under an older configuration', headers: relayHeaders({remainingMs: 700, routingVersion: 4}, secret), status: 503, isDeclined: true, own: 0,
	},
	{
		name: 'waits for the configuration of its sender', state: {laterVersions: [4, 5]}, headers: relayHeaders({remainingMs: 700, routingVersion: 5}, secret), status: 200, isDeclined: false, own: 1,
	},
	{
		name: 'is declined if that does not come', state: {laterVersions: [4]}, headers: relayHeaders({remainingMs: 700, routingVersion: 5}, secret), status: 503, isDeclined: true, own: 0,
	},
	{
		name: 'is declined by an instance that stops meanwhile', state: {closesAfterMs: 50}, headers: relayHeaders({remainingMs: 700, routingVersion: 5}, secret), status: 503, isDeclined: true, own: 0,
	},
	{
		name: 'is refused with a wrong secret', headers: relayHeaders({remainingMs: 700, routingVersion: 3}, 'x'), status: 401, isDeclined: false, own: 0,
	},
])('a relayed call $name', async ({state = {}, headers = trusted, status, isDeclined, own}) => {
	const sent = await send('relays', state, headers);
	expect([sent.status, sent.isDeclined, sent.calls.length, sent.relayed]).toEqual([status, isDeclined, own, 0]);
	for (const {rawHeaders, deadlineAt, arrivedAt} of sent.calls) {
		expect(rawHeaders.filter(header => header.startsWith('x-relay'))).toEqual([]);
		expect(Math.round(deadlineAt - arrivedAt)).toBe(700);
	}
});

// Guards against servers that are handed more time than the caller waits
test('a relayed call has no more time left for the check of its partner\'s path', async () => {
	const {leftMs} = await send('relays', {pathCheckMs: 300}, trusted);
	expect(leftMs).toHaveLength(1);
	expect(leftMs[0]).toBeLessThanOrEqual(400);
});

test('a caller can\'t pass for another instance', async () => {
	const sent = await send('callers', {isPathLost: [true, true]}, trusted);
	expect([sent.status, sent.calls.length]).toEqual([200, 1]);
});
