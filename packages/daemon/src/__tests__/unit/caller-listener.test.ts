import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {connect} from 'node:net';
import type {Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	addMs, createSeededRandom, err, ok, routerError, toId,
} from '@baobabpier/core';
import type {
	RequestId, RouteName, RoutingTable, RoutingVersion, ServiceName,
} from '@baobabpier/core';
import {
	afterEach, describe, expect, test,
} from 'vitest';
import {CallerListener} from '../../gateway/caller-listener.js';
import {GatewayMetrics} from '../../gateway/gateway-metrics.js';
import type {PlainRoute} from '../../gateway/plain-route.js';
import {StartupGate} from '../../gateway/startup-gate.js';
import type {StreamOutput} from '../../gateway/stream-progress.js';
import type {StreamRoute} from '../../gateway/stream-route.js';
import type {ResponseHead, Call} from '../../gateway/types.js';
import {monotonicClock} from '../../monotonic-clock.js';
import {closedRelayPort, noPartners} from './no-partners.js';
import {openQuotas} from './open-quotas.js';

const service = toId<ServiceName>('desk');
const table: RoutingTable = {
	version: toId<RoutingVersion>(1),
	routes: (['stream', 'unsafe'] as const).map(kind => ({
		name: toId<RouteName>(kind), host: 'a.example', prefix: `/${kind}/`, kind, timeoutMs: 2000, targetLatencyMs: 500, priority: 1, targets: [{service, weight: 1}], maxAttempts: 1, resumable: false, targetGapMs: 300,
	})),
	services: new Map(),
	limits: {
		headerBytes: 16_384, bodyBytes: 1000, headersTimeoutMs: 3000, idleTimeoutMs: 15_000,
	},
};
const head: ResponseHead = {
	status: 200, rawHeaders: ['x-server', 's1'], isAuthentic: true, isNotExecuted: false, isMisdirected: false, isEncoded: false, load: undefined,
};

let listener: CallerListener;
let gate: StartupGate;
let servedCalls: Call[] = [];
let outputs: StreamOutput[] = [];
let finish: (() => void) | undefined;

const applyTable = (applied = table): void => {
	listener.apply(applied);
	gate.open();
};

const openConnection = async (hasTable = true, applied = table): Promise<Socket> => {
	const address = '127.0.0.1:0';
	servedCalls = [];
	outputs = [];
	gate = new StartupGate(monotonicClock);
	listener = new CallerListener({
		quotas: openQuotas,
		relay: noPartners, relayPort: closedRelayPort,
		gate,
		clock: monotonicClock,
		random: createSeededRandom(1),
		dialect: {
			parseMetadata: headers => headers['x-fault'] === undefined
				? ok({
					requestId: toId<RequestId>(String(headers['x-id'])), callerTimeoutMs: headers['x-timeout'] === undefined ? undefined : Number(headers['x-timeout']), promptTokens: 0, maxTokens: 0, lastEventId: undefined, sharedSegments: [],
				})
				: err(routerError('malformedRequest', 'x-fault')),
			errorHeaders: (_id, retryAfterMs): Record<string, string> => retryAfterMs === undefined ? {} : {'retry-after': String(retryAfterMs / 1000)},
			takeUpHeaders: () => ({names: new Set(), headers: []}),
		},
		plain: {
			async serve(call: Call) {
				servedCalls.push(call);
				return {kind: 'relay', head, body: Buffer.from('done')};
			},
		} as unknown as PlainRoute,
		streams: {
			async serve(call: Call, _service: ServiceName, _scope: unknown, out: StreamOutput) {
				servedCalls.push(call);
				outputs.push(out);
				out.start(head);
				out.write(Buffer.from('id: 1\n\n'));
				await new Promise<void>(resolve => {
					finish = resolve;
				});
				out.end();
				return {kind: 'streamed'};
			},
		} as unknown as StreamRoute,
		metrics: new GatewayMetrics(),
	});
	await listener.listen(address);
	if (hasTable) {
		applyTable(applied);
	}

	const socket = connect(listener.port, '127.0.0.1');
	socket.on('error', () => undefined);
	await once(socket, 'connect');
	return socket;
};

const send = (socket: Socket, path: string, id = 'r', body = ''): void => {
	socket.write(`POST ${path} HTTP/1.1\r\nhost: a.example\r\nx-id: ${id}\r\ncontent-length: ${body.length}\r\n\r\n${body}`);
};

const receiveUntil = async (socket: Socket, isComplete: (text: string) => boolean): Promise<string> => {
	let text = '';
	const deadline = Date.now() + 2000;
	socket.on('data', (chunk: Uint8Array) => {
		text += chunk.toString();
	});
	while (!isComplete(text) && Date.now() < deadline) {
		// eslint-disable-next-line no-await-in-loop
		await new Promise(resolve => {
			setTimeout(resolve, 5);
		});
	}

	return text;
};

afterEach(() => {
	finish?.();
	listener.destroy();
});

test('closes the connection of a stream that started before the stop', async () => {
	const socket = await openConnection();
	send(socket, '/stream/1');
	await receiveUntil(socket, text => text.includes('id: 1'));
	listener.startClosing({knownAt: monotonicClock.now(), endsAt: addMs(monotonicClock.now(), 60_000)});
	finish!();
	await once(socket, 'close');
	expect(servedCalls).toHaveLength(1);
});

test('serves a call that arrived before the first configuration once one is applied', async () => {
	const socket = await openConnection(false);
	send(socket, '/unsafe/1', 'early');
	setTimeout(applyTable, 100);
	expect(await receiveUntil(socket, text => text.includes('\r\n\r\n'))).toContain('200 OK');
	expect(servedCalls.map(({requestId}) => requestId)).toEqual(['early']);
});

test('refuses a call that arrives while the listener closes, and forwards nothing', async () => {
	const socket = await openConnection();
	send(socket, '/unsafe/1', 'first');
	expect(await receiveUntil(socket, text => text.includes('done'))).toContain('200 OK');
	const closed = listener.close(1000);
	send(socket, '/unsafe/2', 'second');
	expect(await receiveUntil(socket, text => text.includes('shuttingDown'))).toContain('503 ');
	await closed;
	expect(servedCalls.map(({requestId}) => requestId)).toEqual(['first']);
});

const refusals = [
	{
		name: 'a path without a route', path: '/none/1', body: '', status: 404,
	},
	{
		name: 'a body over the limit', path: '/unsafe/1', body: 'x'.repeat(1001), status: 413,
	},
];

test.each(refusals)('refuses $name with $status and forwards nothing', async ({path, body, status}) => {
	const socket = await openConnection();
	send(socket, path, 'r', body);
	expect(await receiveUntil(socket, text => text.includes('\r\n\r\n'))).toContain(`HTTP/1.1 ${status} `);
	expect(servedCalls).toEqual([]);
});

const stopping = (): void => {
	listener.startClosing({knownAt: monotonicClock.now(), endsAt: monotonicClock.now()});
};

/** Calls that can't be served whatever their bodies are. */
const refusedHeads: ReadonlyArray<{readonly name: string; readonly path?: string; readonly more?: string; readonly applied?: RoutingTable; readonly before?: () => void; readonly status: number}> = [
	{name: 'a path without a route', path: '/none/1', status: 404},
	{name: 'a malformed header', more: 'x-fault: 1\r\n', status: 400},
	{name: 'no key', applied: {...table, teams: []}, status: 401},
	{name: 'a deadline that is over', more: 'x-timeout: 0\r\n', status: 503},
	{name: 'a stop that ends before the call does', before: stopping, status: 503},
];

// Guards against callers that wait, and bodies that take memory, for a call that is refused anyway
describe.each([
	{body: 'chunks', header: 'transfer-encoding: chunked', start: '5\r\nbegun\r\n'},
	{body: 'a length', header: 'content-length: 900000', start: 'begun'},
])('a body with $body that never ends', ({header, start}) => {
	test.each(refusedHeads)('is not waited for where the call has $name', async ({path = '/unsafe/1', more = '', applied = {...table, limits: {...table.limits, bodyBytes: 1_000_000}}, before, status}) => {
		const socket = await openConnection(true, applied);
		before?.();
		socket.write(`POST ${path} HTTP/1.1\r\nhost: a.example\r\nx-id: r\r\n${more}${header}\r\n\r\n${start}`);
		const text = await receiveUntil(socket, received => received.includes('\r\n\r\n'));
		expect(text).toContain(`HTTP/1.1 ${status} `);
		expect(text.toLowerCase()).toContain('connection: close');
		expect(servedCalls).toEqual([]);
	});
});

test('a short body of a refused call is read, and its connection kept', async () => {
	const socket = await openConnection();
	send(socket, '/none/1', 'r', 'x'.repeat(500));
	expect(await receiveUntil(socket, text => text.includes('\r\n\r\n'))).toContain('404');
	send(socket, '/unsafe/1', 'next');
	expect(await receiveUntil(socket, text => text.includes('done'))).toContain('200 OK');
});

test('a caller that is refused while it sends a long body gets the response', async () => {
	const socket = await openConnection();
	let failure: Error | undefined;
	socket.on('error', error => {
		failure = error;
	});
	const received = receiveUntil(socket, text => text.includes('unknownService'));
	socket.write('POST /none/1 HTTP/1.1\r\nhost: a.example\r\nx-id: r\r\ntransfer-encoding: chunked\r\n\r\n');
	for (let sent = 0; sent < 20; sent++) {
		socket.write(`10000\r\n${'x'.repeat(0x1_00_00)}\r\n`);
		// eslint-disable-next-line no-await-in-loop
		await sleep(5);
	}

	expect(await received).toContain('HTTP/1.1 404 ');
	expect(failure).toBeUndefined();
});
