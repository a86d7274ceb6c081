/** Response heads whose status is that of no response, on calls of every kind. */
import {once} from 'node:events';
import {createServer} from 'node:net';
import type {AddressInfo, Server} from 'node:net';
import type {ResponseBinding} from '@baobabpier/core';
import {
	afterAll, afterEach, expect, test,
} from 'vitest';
import {headerValue} from '../../gateway/raw-headers.js';
import {ServerTransport} from '../../transport/server-transport.js';
import type {CallKind} from '../../transport/types.js';

/** Time within which the call fails, in milliseconds: far less than its deadline. */
const maxFailureMs = 1000;
const deadlineMs = 4000;
const transport = new ServerTransport({maxConnectionsTo: () => 2, readResponseId: headers => headerValue(headers, 'x-id')});
let server: Server;

afterEach(() => {
	server.close();
});
afterAll(async () => transport.close());

/** Starts a server that sends `bytes` once a request has arrived, and keeps the connection. */
const listen = async (bytes: string): Promise<string> => {
	server = createServer(socket => {
		socket.on('error', () => undefined);
		socket.on('data', () => {
			socket.write(bytes);
		});
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	return `127.0.0.1:${(server.address() as AddressInfo).port}`;
};

type Result = {readonly status: number | string; readonly detail: string; readonly ms: number};

const send = async (address: string, kind: CallKind, binding: ResponseBinding): Promise<Result> => {
	const startedAt = performance.now();
	const response = await transport.sendRequest({
		kind, binding, address, method: 'POST', target: '/', headers: [], body: new Uint8Array(9), signal: AbortSignal.timeout(deadlineMs),
	});
	const ms = performance.now() - startedAt;
	if (response.kind === 'head') {
		response.body.resume();
		return {status: response.status, detail: '', ms};
	}

	return {status: response.kind, detail: response.detail, ms};
};

const echoed: ResponseBinding = {kind: 'echoed', requestId: 'r1'};
const echoedIfSupported: ResponseBinding = {kind: 'echoedIfSupported', requestId: 'r1'};
const ownConnection: ResponseBinding = {kind: 'ownConnection'};
const bindings: Readonly<Record<CallKind, ResponseBinding>> = {
	run: echoed,
	prefill: echoed,
	relay: echoed,
	plain: echoedIfSupported,
	engine: echoedIfSupported,
	rpc: echoedIfSupported,
	lease: ownConnection,
	release: ownConnection,
	free: ownConnection,
	order: ownConnection,
	liveness: ownConnection,
	list: ownConnection,
	report: {kind: 'interchangeable', lane: 'report'},
};
const kinds = Object.keys(bindings) as readonly CallKind[];
const endings = [
	{framing: 'a length', rest: 'content-length: 4\r\n\r\npart'},
	{framing: 'chunks', rest: 'transfer-encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n'},
	{framing: 'nothing behind it', rest: '\r\n'},
] as const;
const invalidCases = ['000', '001', '099', '101', '104', '199', '600', '999'].flatMap(status => endings.map(ending => ({status, ...ending})));

// Guards against callers that get bytes of a failing server as its answer, or wait for one until their deadline
test.each(invalidCases)('status $status with $framing is no response to a call of any kind', async ({status, rest}) => {
	const address = await listen(`HTTP/1.1 ${status} Odd\r\nx-id: r1\r\n${rest}`);
	for (const kind of kinds) {
		// eslint-disable-next-line no-await-in-loop
		const result = await send(address, kind, bindings[kind]);
		expect({kind, ...result}).toMatchObject({kind, status: 'broken'});
		expect(result.ms).toBeLessThan(maxFailureMs);
	}
});

test.each(['104', '199', '600', '999', '000'])('a failure names the status %s', async status => {
	const address = await listen(`HTTP/1.1 ${status} Odd\r\nx-id: r1\r\ncontent-length: 0\r\n\r\n`);
	expect(await send(address, 'run', echoed)).toMatchObject({detail: `no response has the status ${Number(status)}`});
});

test.each([
	{name: 'an interim response', before: 'HTTP/1.1 103 Early Hints\r\n\r\n', status: 200},
	{name: 'two interim responses', before: 'HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n', status: 200},
	{name: 'nothing', before: '', status: 599},
	{name: 'nothing', before: '', status: 200},
])('status $status behind $name is a response', async ({before, status}) => {
	const address = await listen(`${before}HTTP/1.1 ${status} Fine\r\nx-id: r1\r\ncontent-length: 4\r\n\r\npart`);
	for (const kind of kinds) {
		// eslint-disable-next-line no-await-in-loop
		expect(await send(address, kind, bindings[kind])).toMatchObject({status});
	}
});
