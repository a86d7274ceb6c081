import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {connect} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {createSeededRandom, ok, toId} from '@baobabpier/core';
import type {
	RequestId, RouteName, RoutingTable, RoutingVersion, ServiceName,
} from '@baobabpier/core';
import {H3} from 'h3';
import {
	afterEach, describe, expect, test,
} from 'vitest';
import type {CallScope} from '../../gateway/call-scope.js';
import {CallerListener} from '../../gateway/caller-listener.js';
import {GatewayMetrics} from '../../gateway/gateway-metrics.js';
import type {PlainRoute} from '../../gateway/plain-route.js';
import {StartupGate} from '../../gateway/startup-gate.js';
import type {StreamOutput} from '../../gateway/stream-progress.js';
import type {StreamRoute} from '../../gateway/stream-route.js';
import type {Call, CallMetadata, ResponseHead} from '../../gateway/types.js';
import {openConnections} from '../../listen.js';
import {monotonicClock} from '../../monotonic-clock.js';
import {parseResponses} from './raw-responses.js';
import {closedRelayPort, noPartners} from './no-partners.js';
import {openQuotas} from './open-quotas.js';

const headersTimeoutMs = 300;
const waitMs = 4000;
const longBody = 'x'.repeat(2 * 1024 * 1024);

const metadata: CallMetadata = {
	requestId: toId<RequestId>('r'), callerTimeoutMs: undefined, promptTokens: 0, maxTokens: 0, lastEventId: undefined, sharedSegments: [],
};
const routeDefaults = {
	host: 'a.example', timeoutMs: 60_000, targetLatencyMs: 500, priority: 1, targets: [{service: toId<ServiceName>('desk'), weight: 1}], maxAttempts: 1, resumable: false, targetGapMs: 300,
};

/** A server whose handlers wait until the test ends their responses. */
type Subject = {
	readonly port: number;
	/** Paths of the requests that reached a handler. */
	readonly served: string[];
	/** Number of requests in progress. */
	readonly active: number;
	/** Ends the response to a request. */
	finish(path: string): void;
	close(): void;
};

class Pending {
	readonly served: string[] = [];
	readonly #finish = new Map<string, () => void>();

	async wait(path: string, scope?: CallScope): Promise<void> {
		this.served.push(path);
		await new Promise<void>(resolve => {
			this.#finish.set(path, resolve);
			scope?.signal.addEventListener('abort', () => {
				resolve();
			});
		});
	}

	finish(path: string): void {
		this.#finish.get(path)?.();
	}

	finishAll(): void {
		for (const path of this.served) {
			this.finish(path);
		}
	}
}

const startCallerListener = async (): Promise<Subject> => {
	const pending = new Pending();
	const table: RoutingTable = {
		version: toId<RoutingVersion>(1),
		routes: (['stream', 'safe'] as const).map(kind => ({
			...routeDefaults, name: toId<RouteName>(kind), prefix: `/${kind}/`, kind,
		})),
		services: new Map(),
		limits: {
			headerBytes: 16_384, bodyBytes: 1000, headersTimeoutMs, idleTimeoutMs: 15_000,
		},
	};
	const head: ResponseHead = {
		status: 200, rawHeaders: ['x-server', 's1'], isAuthentic: true, isNotExecuted: false, isMisdirected: false, isEncoded: false, load: undefined,
	};
	const gate = new StartupGate(monotonicClock);
	const listener = new CallerListener({
		quotas: openQuotas,
		relay: noPartners, relayPort: closedRelayPort,
		gate,
		clock: monotonicClock,
		random: createSeededRandom(1),
		dialect: {
			parseMetadata: () => ok(metadata),
			errorHeaders: () => ({}),
			takeUpHeaders: () => ({names: new Set(), headers: []}),
		},
		plain: {
			async serve({target}: Call, _service: ServiceName, scope: CallScope) {
				await pending.wait(target, scope);
				return {kind: 'relay', head, body: Buffer.from(`plain ${target}`)};
			},
		} as unknown as PlainRoute,
		streams: {
			async serve({target}: Call, _service: ServiceName, scope: CallScope, out: StreamOutput) {
				out.start(head);
				out.write(Buffer.from('first '));
				await pending.wait(target, scope);
				if (target.endsWith('broken')) {
					out.abort();
					return {kind: 'streamed'};
				}

				out.write(Buffer.from(`last ${target}`));
				out.end();
				return {kind: 'streamed'};
			},
		} as unknown as StreamRoute,
		metrics: new GatewayMetrics(),
	});
	await listener.listen('127.0.0.1:0');
	listener.apply(table);
	gate.open();
	return {
		port: listener.port,
		served: pending.served,
		finish(path) {
			pending.finish(path);
		},
		get active() {
			return listener.inProgress;
		},
		close() {
			pending.finishAll();
			listener.destroy();
		},
	};
};

const startPort = async (): Promise<Subject> => {
	const pending = new Pending();
	const app = new H3({silent: true});
	app.all('/**', async event => {
		const {req, res} = event.runtime!.node! as unknown as {req: IncomingMessage; res: ServerResponse};
		const path = req.url!;
		if (path.startsWith('/stream')) {
			res.writeHead(200);
			res.write('first ');
			void pending.wait(path).then(() => {
				res.end(`last ${path}`);
			});
		} else {
			void pending.wait(path).then(() => {
				const body = `plain ${path}`;
				res.writeHead(200, {'content-length': body.length}).end(body);
			});
		}

		return new Promise<never>(() => {/* The handler answers */});
	});
	const connections = await openConnections(app, '127.0.0.1:0', {headersTimeoutMs, maxHeaderBytes: 16_384, connections: {guaranteed: 100, max: 100}});
	const {server} = connections;
	return {
		port: (server.address() as AddressInfo).port,
		served: pending.served,
		finish(path) {
			pending.finish(path);
		},
		get active() {
			return connections.active;
		},
		close() {
			pending.finishAll();
			server.closeAllConnections();
			server.close();
		},
	};
};

let subject: Subject;

afterEach(() => {
	subject.close();
});

const get = (path: string, fields = ''): string => `GET ${path} HTTP/1.1\r\nhost: a.example\r\n${fields}\r\n`;

const until = async (what: string, isTrue: () => boolean): Promise<void> => {
	const deadline = Date.now() + waitMs;
	while (!isTrue()) {
		if (Date.now() > deadline) {
			throw new Error(`not within ${waitMs} ms: ${what}`);
		}

		await sleep(5); // eslint-disable-line no-await-in-loop
	}
};

/** A connection that collects what it receives. */
class Connection {
	static async open(): Promise<Connection> {
		const socket = connect(subject.port, '127.0.0.1');
		const connection = new Connection(socket);
		await once(socket, 'connect');
		return connection;
	}

	text = '';
	isClosed = false;
	error: string | undefined;

	private constructor(readonly socket: Socket) {
		socket.on('error', (error: NodeJS.ErrnoException) => {
			this.error = error.code;
		});
		socket.on('data', (bytes: Uint8Array) => {
			this.text += Buffer.from(bytes).toString();
		});
		socket.on('close', () => {
			this.isClosed = true;
		});
	}
}

/** Bytes that are no request, or the part of one that never comes whole. */
const malformed = [
	{name: 'bytes that are no request', bytes: 'no request at all\r\n\r\n', status: 400},
	{name: 'a head over its limit', bytes: get('/safe/big', `x: ${'x'.repeat(20_000)}\r\n`), status: 431},
	{
		name: 'a head that does not end', bytes: 'GET /safe/late HTTP/1.1\r\nhost: a.exa', status: 408, seenAfterMs: headersTimeoutMs + 1000,
	},
	{name: 'a request with two lengths', bytes: get('/safe/2', 'content-length: 1\r\ncontent-length: 2\r\n'), status: 400},
	{name: 'a request without a host', bytes: 'GET /safe/2 HTTP/1.1\r\n\r\n', status: 400},
	{name: 'a request for a tunnel', bytes: 'CONNECT b.example:1 HTTP/1.1\r\nhost: b.example:1\r\n\r\n', status: 400},
];

describe.each([
	{server: 'the caller listener', start: startCallerListener},
	{server: 'an own port', start: startPort},
])('$server', ({start}) => {
	test.each(malformed)('refuses $name', async ({bytes, status}) => {
		subject = await start();
		const connection = await Connection.open();
		connection.socket.write(bytes);
		await until('the refusal', () => connection.isClosed);
		expect(parseResponses(connection.text)).toMatchObject([{status, isComplete: true}]);
	});

	test.each(['/stream/1', '/safe/1'].flatMap(path => malformed.map(item => ({...item, path}))))('ends the answer to $path whole before it refuses $name', async ({path, bytes, status, seenAfterMs = 100}) => {
		subject = await start();
		const connection = await Connection.open();
		connection.socket.write(get(path));
		await until('the request is served', () => subject.served.length === 1);
		connection.socket.write(bytes);
		await sleep(seenAfterMs);
		expect(connection.isClosed).toBe(false);
		subject.finish(path);
		await until('the connection is closed', () => connection.isClosed);
		expect(parseResponses(connection.text)).toMatchObject([{status: 200, body: path === '/stream/1' ? 'first last /stream/1' : 'plain /safe/1', isComplete: true}, {status, isComplete: true}]);
		expect(subject.served).toEqual([path]);
	});

	test.each(['', 'expect: 100-continue\r\n'])('answers pipelined requests in their order, and passes on one with "%s" once the answer before is sent', async fields => {
		subject = await start();
		const connection = await Connection.open();
		connection.socket.write(`${get('/stream/1')}${get('/safe/2', fields)}no request\r\n\r\n`);
		await until('the first request is served', () => subject.served.length === 1);
		await sleep(50);
		expect(subject.served).toEqual(['/stream/1']);
		subject.finish('/stream/1');
		await until('the second request is served', () => subject.served.length === 2);
		subject.finish('/safe/2');
		await until('the connection is closed', () => connection.isClosed);
		expect(parseResponses(connection.text)).toMatchObject([
			{status: 200, body: 'first last /stream/1', isComplete: true}, {status: 200, body: 'plain /safe/2', isComplete: true}, {status: 400, isComplete: true},
		]);
	});

	test('closes the connection with the answer to a request for another protocol', async () => {
		subject = await start();
		const connection = await Connection.open();
		connection.socket.write(`${get('/safe/1', 'connection: upgrade\r\nupgrade: h2c\r\n')}${get('/safe/2')}`);
		await until('the request is served', () => subject.served.length === 1);
		subject.finish('/safe/1');
		await until('the connection is closed', () => connection.isClosed);
		expect(parseResponses(connection.text)).toMatchObject([{status: 200, body: 'plain /safe/1', isComplete: true}]);
		expect(subject.served).toEqual(['/safe/1']);
	});

	test('writes nothing when a caller leaves within a request behind a running answer', async () => {
		subject = await start();
		const connection = await Connection.open();
		connection.socket.write(get('/stream/1'));
		await until('the request is served', () => subject.served.length === 1);
		connection.socket.end('GET /safe/2 HT');
		await until('the connection is closed', () => connection.isClosed);
		expect(parseResponses(connection.text)).toMatchObject([{status: 200, body: 'first ', isComplete: false}]);
	});

	test('closes a connection without a byte when no request came in time', async () => {
		subject = await start();
		const connection = await Connection.open();
		await until('the connection is closed', () => connection.isClosed);
		expect(connection.text).toBe('');
	});

	test('does not pass on requests behind an answer whose caller has left', async () => {
		subject = await start();
		const connection = await Connection.open();
		connection.socket.write(`${get('/stream/1')}${get('/safe/2')}`);
		await until('the first request is served', () => subject.served.length === 1);
		connection.socket.destroy();
		await until('the caller is gone', () => subject.active === 0);
		subject.finish('/stream/1');
		await sleep(50);
		expect(subject.served).toEqual(['/stream/1']);
	});

	test('notices that a caller leaves whose refused bytes wait behind an answer', async () => {
		subject = await start();
		const connection = await Connection.open();
		connection.socket.write(get('/safe/1'));
		await until('the request is served', () => subject.served.length === 1);
		connection.socket.write('no request\r\n\r\n');
		await sleep(50);
		expect(subject.active).toBe(1);
		connection.socket.end();
		await until('the caller is gone', () => subject.active === 0);
	});
});

test.each([
	{name: 'of a length', fields: `content-length: ${longBody.length}`, body: longBody},
	{name: 'in chunks', fields: 'transfer-encoding: chunked', body: `${longBody.length.toString(16)}\r\n${longBody}\r\n0\r\n\r\n`},
].flatMap(item => ['', '/stream/1'].map(before => ({...item, before}))))('refuses a long body $name behind "$before" with an answer that its caller can read', async ({fields, body, before}) => {
	subject = await startCallerListener();
	const connection = await Connection.open();
	if (before !== '') {
		connection.socket.write(get(before));
		await until('the request is served', () => subject.served.length === 1);
	}

	connection.socket.write(`POST /safe/2 HTTP/1.1\r\nhost: a.example\r\n${fields}\r\n\r\n`);
	for (let sent = 0; sent < body.length; sent += 65_536) {
		connection.socket.write(body.slice(sent, sent + 65_536));
		await sleep(2); // eslint-disable-line no-await-in-loop
	}

	subject.finish(before);
	await until('the refusal', () => connection.isClosed);
	expect(connection.error).toBeUndefined();
	expect(parseResponses(connection.text)).toMatchObject([...(before === '' ? [] : [{status: 200, isComplete: true}]), {status: 413, isComplete: true}]);
});

test.each(['', '/stream/1'])('refuses a body with a malformed chunk behind "%s"', async before => {
	subject = await startCallerListener();
	const connection = await Connection.open();
	if (before !== '') {
		connection.socket.write(get(before));
		await until('the request is served', () => subject.served.length === 1);
	}

	connection.socket.write('POST /safe/2 HTTP/1.1\r\nhost: a.example\r\ntransfer-encoding: chunked\r\n\r\n');
	await sleep(20);
	connection.socket.write('no chunk\r\n');
	await sleep(20);
	subject.finish(before);
	await until('the refusal', () => connection.isClosed);
	expect(parseResponses(connection.text)).toMatchObject([...(before === '' ? [] : [{status: 200, isComplete: true}]), {status: 400, isComplete: true}]);
	expect(subject.served).not.toContain('/safe/2');
});

test('resets the connection of a broken stream whose end has no other mark', async () => {
	subject = await startCallerListener();
	const connection = await Connection.open();
	connection.socket.write('GET /stream/broken HTTP/1.0\r\nhost: a.example\r\n\r\n');
	await until('the first part of the stream', () => connection.text.includes('first'));
	subject.finish('/stream/broken');
	await until('the connection is closed', () => connection.isClosed);
	expect(connection.error).toBe('ECONNRESET');
});
