import {once} from 'node:events';
import {createServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';
import {afterAll, expect, test} from 'vitest';
import {headerValue} from '../../gateway/raw-headers.js';
import {ServerTransport} from '../../transport/server-transport.js';

const transport = new ServerTransport({maxConnectionsTo: () => 2, readResponseId: headers => headerValue(headers, 'x-id')});
const servers: Server[] = [];

/** Starts a server that responds to each connection's first data with `respond`; returns its address. */
const listen = async (respond: (socket: Socket) => void): Promise<string> => {
	const server = createServer(socket => {
		socket.on('error', () => undefined);
		socket.once('data', () => {
			respond(socket);
		});
	});
	servers.push(server);
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return `127.0.0.1:${(server.address() as AddressInfo).port}`;
};

afterAll(async () => {
	await transport.close();
	for (const server of servers) {
		server.close();
	}
});

const fetchBody = async (address: string): Promise<string> => {
	const response = await transport.sendRequest({
		kind: 'run', binding: {kind: 'echoed', requestId: 'r1'}, address, method: 'GET', target: '/', headers: [], body: undefined, signal: AbortSignal.timeout(2000),
	});
	if (response.kind !== 'head') {
		return response.kind;
	}

	const body = await transport.readBody(response);
	return 'kind' in body ? body.kind : body.toString();
};

const cases = [
	{
		name: 'a complete response with a length', head: 'content-length: 4', end: 'keep', expected: 'part',
	},
	{
		name: 'a response without a length that ends with its connection', head: 'x-none: 1', end: 'finish', expected: 'part',
	},
	{
		name: 'a response without a length whose connection is reset', head: 'x-none: 1', end: 'reset', expected: 'broken',
	},
	{
		name: 'a response without a length whose connection is reset together with its data', head: 'x-none: 1', end: 'resetAtOnce', expected: 'broken',
	},
	{
		name: 'a response shorter than its length', head: 'content-length: 9', end: 'finish', expected: 'broken',
	},
	{
		name: 'a chunked response without its last chunk', head: 'transfer-encoding: chunked', end: 'finish', expected: 'broken',
	},
] as const;

test.each(cases)('reads $name as $expected', async ({head, end, expected}) => {
	const address = await listen(socket => {
		socket.write(`HTTP/1.1 200 OK\r\nx-id: r1\r\n${head}\r\n\r\n${head.includes('chunked') ? '4\r\npart\r\n' : 'part'}`, () => {
			if (end === 'resetAtOnce') {
				socket.resetAndDestroy();
				return;
			}

			setTimeout(() => {
				if (end === 'finish') {
					socket.end();
				} else if (end === 'reset') {
					socket.resetAndDestroy();
				}
			}, 30);
		});
	});
	expect(await fetchBody(address)).toBe(expected);
});

test('reports a refused connection as unsent', async () => {
	const address = await listen(() => undefined);
	servers.at(-1)!.close();
	expect(await fetchBody(address)).toBe('unsent');
});
