import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {connect} from 'node:net';
import type {Socket} from 'node:net';
import {
	addMs, createSeededRandom, ok, toId,
} from '@baobabpier/core';
import type {
	RequestId, RouteName, RoutingTable, RoutingVersion, ServiceName,
} from '@baobabpier/core';
import {afterEach, expect, test} from 'vitest';
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

const applyTable = (): void => {
	listener.apply(table);
	gate.open();
};

const openConnection = async (hasTable = true): Promise<Socket> => {
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
			parseMetadata: headers => ok({
				requestId: toId<RequestId>(String(headers['x-id'])), callerTimeoutMs: undefined, promptTokens: 0, maxTokens: 0, lastEventId: undefined, sharedSegments: [],
			}),
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
		applyTable();
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
