import {once} from 'node:events';
import {createServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';
import {afterAll, expect, test} from 'vitest';
import {ServerTransport} from '../../gateway/server-transport.js';

const transport = new ServerTransport(() => 2);
const servers: Server[] = [];

/** Listens with a server that answers each request as told; returns its address. */
const listen = async (answer: (socket: Socket) => void): Promise<string> => {
	const server = createServer(socket => {
		socket.on('error', () => undefined);
		socket.once('data', () => {
			answer(socket);
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

const read = async (address: string): Promise<string> => {
	const answer = await transport.sendRequest({
		address, method: 'GET', target: '/', headers: [], body: undefined, signal: AbortSignal.timeout(2000),
	});
	if (answer.kind !== 'head') {
		return answer.kind;
	}

	const body = await transport.readBody(answer);
	return 'kind' in body ? body.kind : body.toString();
};

const cases = [
	{
		name: 'a whole answer with a length', head: 'content-length: 4', end: 'keep', seen: 'part',
	},
	{
		name: 'an answer without a length that ends with its connection', head: 'x-none: 1', end: 'finish', seen: 'part',
	},
	{
		name: 'an answer without a length whose connection is reset', head: 'x-none: 1', end: 'reset', seen: 'broken',
	},
	{
		name: 'an answer without a length whose connection is reset together with its data', head: 'x-none: 1', end: 'resetAtOnce', seen: 'broken',
	},
	{
		name: 'an answer shorter than its length', head: 'content-length: 9', end: 'finish', seen: 'broken',
	},
	{
		name: 'chunks without their end', head: 'transfer-encoding: chunked', end: 'finish', seen: 'broken',
	},
] as const;

test.each(cases)('reads $name as $seen', async ({head, end, seen}) => {
	const address = await listen(socket => {
		socket.write(`HTTP/1.1 200 OK\r\n${head}\r\n\r\n${head.includes('chunked') ? '4\r\npart\r\n' : 'part'}`, () => {
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
	expect(await read(address)).toBe(seen);
});

test('reports a refused connection as unsent', async () => {
	const address = await listen(() => undefined);
	servers.at(-1)!.close();
	expect(await read(address)).toBe('unsent');
});
