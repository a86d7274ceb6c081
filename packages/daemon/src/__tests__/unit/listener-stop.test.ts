import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {connect} from 'node:net';
import type {Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	addMs, createSeededRandom, ok, routerError, toId,
} from '@baobabpier/core';
import type {
	ErrorKind, RequestId, RouteName, RoutingTable, RoutingVersion, ServiceName,
} from '@baobabpier/core';
import {afterEach, expect, test} from 'vitest';
import type {CallScope} from '../../gateway/call-scope.js';
import {CallerListener} from '../../gateway/caller-listener.js';
import {GatewayMetrics} from '../../gateway/gateway-metrics.js';
import type {PlainRoute} from '../../gateway/plain-route.js';
import {errorReply} from '../../gateway/reply.js';
import {StartupGate} from '../../gateway/startup-gate.js';
import type {StreamOutput} from '../../gateway/stream-progress.js';
import type {StreamRoute} from '../../gateway/stream-route.js';
import type {Call, ResponseHead} from '../../gateway/types.js';
import {monotonicClock} from '../../monotonic-clock.js';
import {parseResponses} from './raw-responses.js';
import {closedRelayPort, noPartners} from './no-partners.js';
import {openQuotas} from './open-quotas.js';

const service = toId<ServiceName>('desk');
const shortMs = 20;
const routeTimeoutMs = 60_000;
const longBody = Buffer.alloc(32 * 1024 * 1024, 'x');
const head: ResponseHead = {
	status: 200, rawHeaders: [], isAuthentic: true, isNotExecuted: false, isMisdirected: false, isEncoded: false, load: undefined,
};
const routeDefaults = {
	host: 'a.example', timeoutMs: routeTimeoutMs, targetLatencyMs: 500, priority: 1, targets: [{service, weight: 1}], maxAttempts: 1, resumable: false, targetGapMs: 300,
};
const table: RoutingTable = {
	version: toId<RoutingVersion>(1),
	routes: (['stream', 'safe', 'unsafe'] as const).flatMap(kind => ['short', 'long'].map(length => ({
		...routeDefaults, name: toId<RouteName>(`${kind}-${length}`), prefix: `/${kind}/${length}/`, kind,
	}))),
	services: new Map(),
	limits: {
		headerBytes: 16_384, bodyBytes: 1000, headersTimeoutMs: 3000, idleTimeoutMs: 15_000,
	},
};

let listener: CallerListener;
let served: string[] = [];
let remainingMs: number[] = [];
const sockets: Socket[] = [];

const aborted = async ({signal}: CallScope): Promise<void> => {
	if (!signal.aborted) {
		await once(signal, 'abort');
	}
};

/** Ends the work for a call as the routes do: with the outcome that is known when the scope ends. */
const work = async ({target}: Call, scope: CallScope): Promise<ErrorKind | undefined> => {
	served.push(target);
	remainingMs.push(scope.remainingMs());
	if (target.includes('/short/')) {
		await sleep(shortMs);
		return undefined;
	}

	await aborted(scope);
	return target.endsWith('waiting') ? 'queueTimeout' : 'timeout';
};

const start = async (): Promise<void> => {
	served = [];
	remainingMs = [];
	const gate = new StartupGate(monotonicClock);
	listener = new CallerListener({
		quotas: openQuotas,
		relay: noPartners, relayPort: closedRelayPort,
		gate,
		clock: monotonicClock,
		random: createSeededRandom(1),
		dialect: {
			parseMetadata: headers => ok({
				requestId: toId<RequestId>('r'), promptTokens: 0, maxTokens: 0, lastEventId: undefined, sharedSegments: [],
				callerTimeoutMs: headers.deadline === undefined ? undefined : Number(headers.deadline),
			}),
			errorHeaders: (_id, retryAfterMs): Record<string, string> => retryAfterMs === undefined ? {} : {'retry-after': String(retryAfterMs / 1000)},
			takeUpHeaders: () => ({names: new Set(), headers: []}),
		},
		plain: {
			async serve(call: Call, _service: ServiceName, scope: CallScope) {
				const failure = await work(call, scope);
				return failure === undefined ? {kind: 'relay', head, body: call.target.endsWith('large') ? longBody : Buffer.from('done')} : errorReply(routerError(failure));
			},
		} as unknown as PlainRoute,
		streams: {
			async serve(call: Call, _service: ServiceName, scope: CallScope, out: StreamOutput) {
				if (call.target.endsWith('begun')) {
					out.start(head);
					out.write(Buffer.from('first '));
				}

				const failure = await work(call, scope);
				if (call.target.endsWith('torn/begun')) {
					out.abort();
					return {kind: 'streamed', detail: 'the engine closed the connection'};
				}

				if (call.target.endsWith('silent')) {
					return {kind: 'streamed'};
				}

				if (failure !== undefined && !out.isStarted) {
					return errorReply(routerError(failure));
				}

				if (failure === undefined) {
					out.end();
				} else {
					out.abort();
				}

				return {kind: 'streamed'};
			},
		} as unknown as StreamRoute,
		metrics: new GatewayMetrics(),
	});
	await listener.listen('127.0.0.1:0');
	listener.apply(table);
	gate.open();
};

/** A connection that collects what it receives. */
class Connection {
	static async open(): Promise<Connection> {
		const socket = connect(listener.port, '127.0.0.1');
		sockets.push(socket);
		const connection = new Connection(socket);
		await once(socket, 'connect');
		return connection;
	}

	isClosed = false;
	bytes = 0;
	readonly #chunks: Uint8Array[] = [];

	private constructor(readonly socket: Socket) {
		socket.on('error', () => undefined);
		socket.on('data', (chunk: Uint8Array) => {
			this.#chunks.push(chunk);
			this.bytes += chunk.length;
		});
		socket.on('close', () => {
			this.isClosed = true;
		});
	}

	get text(): string {
		return Buffer.concat(this.#chunks).toString('latin1');
	}

	send(path: string, deadlineMs?: number): void {
		this.socket.write(`GET ${path} HTTP/1.1\r\nhost: a.example\r\n${deadlineMs === undefined ? '' : `deadline: ${deadlineMs}\r\n`}\r\n`);
	}
}

const until = async (what: string, isTrue: () => boolean): Promise<void> => {
	const deadline = Date.now() + 4000;
	while (!isTrue()) {
		if (Date.now() > deadline) {
			throw new Error(`not within 4000 ms: ${what}`);
		}

		await sleep(5); // eslint-disable-line no-await-in-loop
	}
};

/** Begins a stop whose drain takes `ms` milliseconds and that callers may not know of for half of it. */
const beginStop = (ms: number): void => {
	const now = monotonicClock.now();
	listener.startClosing({knownAt: addMs(now, ms / 2), endsAt: addMs(now, ms)});
};

afterEach(() => {
	for (const socket of sockets.splice(0)) {
		socket.destroy();
	}

	listener.destroy();
});

test.each([
	{
		name: 'a non-idempotent call that was sent', path: '/unsafe/long/sent', status: 504, isComplete: true, fields: ['connection: close'], cause: 'timeout',
	},
	{
		name: 'a call that waits for a place', path: '/stream/long/waiting', status: 503, isComplete: true, fields: ['retry-after: 0.1', 'connection: close', '"run":"no"'], cause: 'shuttingDown',
	},
	{
		name: 'a stream without an event', path: '/stream/long/sent', status: 504, isComplete: true, fields: ['"run":"unknown"'], cause: 'timeout',
	},
	{
		name: 'a stream whose route determined no response', path: '/stream/long/silent', status: 502, isComplete: true, fields: ['"run":"unknown"'], cause: 'the stream ended without a response',
	},
	{
		name: 'a stream that has begun', path: '/stream/long/begun', status: 200, isComplete: false, fields: ['first '], cause: 'deadline',
	},
])('$name gets its outcome at the end of the drain', async ({path, status, isComplete, fields, cause}) => {
	await start();
	const connection = await Connection.open();
	connection.send(path);
	await until('the call is served', () => served.length === 1);
	beginStop(100);
	await until('the outcome is written', () => connection.isClosed);
	await listener.close(1000);
	expect(parseResponses(connection.text)).toMatchObject([{status, isComplete}]);
	expect(fields.filter(field => !connection.text.toLowerCase().includes(field))).toEqual([]);
	const [, kind] = path.split('/');
	expect(listener.drainEffects).toEqual({refused: '', cutShort: `${kind} 1`, brokenOff: ''});
	expect(listener.unfinishedCalls).toMatch(new RegExp(String.raw`^cutShort ${kind} r: ${cause}, after \d+ ms$`, 'v'));
});

test('a stream that breaks off during a stop is named with its cause, not with the end of the drain', async () => {
	await start();
	const connection = await Connection.open();
	connection.send('/stream/short/torn/begun');
	await until('the call is served', () => served.length === 1);
	beginStop(1000);
	await until('the stream has broken off', () => connection.isClosed);
	await until('the call is recorded', () => listener.inProgress === 0);
	expect(listener.drainEffects).toEqual({refused: '', cutShort: '', brokenOff: 'stream 1'});
	expect(listener.unfinishedCalls).toMatch(/^brokenOff stream r: the engine closed the connection, after \d+ ms$/v);
});

test.each([
	{
		name: 'a short call of a known kind', path: '/unsafe/short/1', deadlineMs: undefined, status: 200,
	},
	{
		name: 'a call that can\'t end in time', path: '/unsafe/long/1', deadlineMs: undefined, status: 503,
	},
	{
		name: 'a stream that can\'t end in time', path: '/stream/long/1', deadlineMs: undefined, status: 503,
	},
	{
		name: 'a call whose deadline lies within the drain', path: '/unsafe/long/1', deadlineMs: 200, status: 504,
	},
])('$name that arrives during the stop on a kept connection is answered $status', async ({path, deadlineMs, status}) => {
	await start();
	const connection = await Connection.open();
	for (let round = 1; round <= 20; round++) {
		connection.send('/unsafe/short/0');
		await until('a call before the stop is answered', () => connection.text.split('done').length > round); // eslint-disable-line no-await-in-loop
	}

	served = [];
	beginStop(3000);
	connection.send(path, deadlineMs);
	await until('the connection is closed', () => connection.isClosed);
	expect(parseResponses(connection.text).at(-1)).toMatchObject({status, isComplete: true});
	expect(connection.text.toLowerCase()).toContain('connection: close');
	expect(served).toEqual(status === 503 ? [] : [path]);
	expect(remainingMs.at(-1)).toBeLessThanOrEqual(status === 503 ? routeTimeoutMs : 3000);
	expect(listener.drainEffects.refused).toBe(status === 503 ? `${path.split('/')[1]!} 1` : '');
});

test('a connection whose stream began before the stop may be used once more', async () => {
	await start();
	const connection = await Connection.open();
	for (let round = 1; round <= 20; round++) {
		connection.send('/unsafe/short/0');
		await until('a call before the stop is answered', () => connection.text.split('done').length > round); // eslint-disable-line no-await-in-loop
	}

	connection.send('/stream/short/begun');
	await until('the stream has begun', () => connection.text.includes('first'));
	beginStop(3000);
	await until('the stream is over', () => connection.text.endsWith('0\r\n\r\n'));
	connection.send('/unsafe/short/1');
	await until('the connection is closed', () => connection.isClosed);
	expect(parseResponses(connection.text).slice(-2)).toMatchObject([{status: 200, body: 'first ', isComplete: true}, {status: 200, body: 'done', isComplete: true}]);
});

test('a caller that reads slowly gets its answer whole', async () => {
	await start();
	const connection = await Connection.open();
	connection.socket.pause();
	connection.send('/safe/short/large');
	await until('the answer is written', () => listener.inProgress === 0 && served.length === 1);
	beginStop(5000);
	const closed = listener.close(5000);
	expect(listener.isIdle).toBe(false);
	connection.socket.resume();
	await until('the answer is sent', () => listener.isIdle);
	await closed;
	await until('the connection is closed', () => connection.isClosed);
	expect(connection.bytes).toBeGreaterThan(longBody.length);
});

test('callers that read nothing or send half a request do not hold up the close', async () => {
	await start();
	const connection = await Connection.open();
	connection.socket.pause();
	connection.send('/safe/short/large');
	const half = await Connection.open();
	half.socket.write('POST /unsafe/short/1 HTTP/1.1\r\nhost: a.example\r\ncontent-length: 10\r\n\r\nhalf');
	await until('the answer is written', () => listener.inProgress === 0 && served.length === 1);
	beginStop(100);
	await sleep(100);
	await listener.close(200);
	await until('all connections are closed', () => listener.isIdle && half.isClosed);
	expect(served).toEqual(['/safe/short/large']);
});
