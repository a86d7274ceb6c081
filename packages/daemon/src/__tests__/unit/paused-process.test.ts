/** Waits of a process that is paused while their responses arrive. */
import {once} from 'node:events';
import {setImmediate as nextTurn, setTimeout as sleep} from 'node:timers/promises';
import {Worker} from 'node:worker_threads';
import {addMs, toId} from '@baobabpier/core';
import type {BackendId, RequestId, RpcMethod} from '@baobabpier/core';
import {
	afterAll, beforeAll, expect, test,
} from 'vitest';
import {CallScope} from '../../gateway/call-scope.js';
import {PlainAttempt} from '../../gateway/plain-attempt.js';
import {headerValue} from '../../gateway/raw-headers.js';
import {monotonicClock} from '../../monotonic-clock.js';
import {createPolledSignal} from '../../polled-timeout.js';
import {RpcClient} from '../../rpc/rpc-client.js';
import {createTimedConnect} from '../../timed-connect.js';
import {ServerTransport} from '../../transport/server-transport.js';
import type {OpenResponse, TransportFailure} from '../../transport/types.js';

/** A server on a thread of its own, which answers while this one stands still. */
const serverCode = `
const {createServer} = require('node:http');
const {parentPort} = require('node:worker_threads');
const server = createServer((req, res) => {
	let body = '';
	req.on('data', bytes => { body += bytes; });
	req.on('end', () => setTimeout(() => {
		const id = body.startsWith('{') ? JSON.parse(body).id : undefined;
		res.writeHead(200, {'x-id': req.headers['x-id'] ?? '', 'x-request-id': req.headers['x-request-id'] ?? '', 'content-type': 'application/json'});
		res.end(JSON.stringify({jsonrpc: '2.0', id, result: 'done'}));
	}, 60));
});
server.listen(0, '127.0.0.1', () => parentPort.postMessage(server.address().port));
`;
/** Timeout of each wait, and the pause of the process that spans it, in milliseconds: the server answers in between. */
const timeoutMs = 150;
const pauseMs = 400;

let worker: Worker;
let address = '';

beforeAll(async () => {
	worker = new Worker(serverCode, {eval: true});
	const [port] = await once(worker, 'message') as [number];
	address = `127.0.0.1:${port}`;
});

afterAll(async () => {
	await worker.terminate();
});

/** Stops the event loop once what was begun is on its way, behind the poll phase, so that timers run next. */
const pause = async (): Promise<void> => {
	await sleep(20);
	await nextTurn();
	Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, pauseMs);
};

const newTransport = (): ServerTransport => new ServerTransport({
	maxConnectionsTo: () => 4, readResponseId: headers => headerValue(headers, 'x-id'), onForeignResponse() {
		throw new Error('a response of another request');
	},
});

const send = async (transport: ServerTransport, signal: AbortSignal): Promise<OpenResponse | TransportFailure> => transport.sendRequest({
	kind: 'run', binding: {kind: 'echoed', requestId: toId<RequestId>('r1')}, server: toId<BackendId>('e1'), address, method: 'GET', target: '/', headers: ['x-id', 'r1'], body: undefined, signal,
});

const scopeOf = (ms: number): CallScope => new CallScope(monotonicClock, addMs(monotonicClock.now(), ms));

type Case = {
	readonly name: string;
	readonly wait: (transport: ServerTransport) => Promise<string>;
	readonly result: string;
};

const cases: readonly Case[] = [
	{
		name: 'a call with a deadline', async wait(transport) {
			const {kind} = await send(transport, scopeOf(timeoutMs).signal);
			return kind;
		}, result: 'head',
	},
	{
		name: 'a call whose deadline is brought forward', async wait(transport) {
			const scope = scopeOf(60_000);
			scope.limitTo(addMs(monotonicClock.now(), timeoutMs));
			const {kind} = await send(transport, scope.signal);
			return kind;
		}, result: 'head',
	},
	{
		name: 'a part of a call with a limit', async wait(transport) {
			const {kind} = await send(transport, scopeOf(60_000).createTimeout(timeoutMs).signal);
			return kind;
		}, result: 'head',
	},
	{
		name: 'a call with a signal of its own', async wait(transport) {
			const {kind} = await send(transport, createPolledSignal(timeoutMs));
			return kind;
		}, result: 'head',
	},
	{
		name: 'an attempt beside which another one may begin', async wait(transport) {
			const attempt = new PlainAttempt(scopeOf(60_000), async ({signal}) => send(transport, signal), {silenceMs: timeoutMs});
			const settled = await Promise.race([attempt.settled, attempt.silence]);
			return settled === 'silence' ? 'silent' : settled.outcome.kind;
		}, result: 'head',
	},
	{
		name: 'a call to a peer', async wait() {
			const client = new RpcClient(address, 'secret');
			const method = {method: 'test'} as unknown as RpcMethod<Record<string, never>, string>;
			return client.call(method, {}, timeoutMs);
		}, result: 'done',
	},
];

// Guards against responses that are given up because the process was paused when they arrived
test.each(cases)('$name gets the response that arrived during a pause', async ({wait, result}) => {
	const transport = newTransport();
	const [got] = await Promise.all([wait(transport), pause()]);
	await transport.close();
	expect(got).toBe(result);
});

// Guards against sound servers that count as unreachable because the process was paused as it connected
test('a connection is open that was established during a pause', async () => {
	const [host, port] = address.split(':');
	await nextTurn();
	const result = new Promise<string>(resolve => {
		createTimedConnect(timeoutMs)({
			hostname: host!, port: port!, protocol: 'http:', host: host!,
		}, (...[error, socket]) => {
			socket?.destroy();
			resolve(error === null ? 'open' : error.message);
		});
	});
	Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, pauseMs);
	expect(await result).toBe('open');
});

test('a timeout expires where nothing arrives', async () => {
	const signal = createPolledSignal(timeoutMs);
	await once(signal, 'abort');
	expect((signal.reason as Error).message).toBe(`no response within ${timeoutMs} ms`);
});
