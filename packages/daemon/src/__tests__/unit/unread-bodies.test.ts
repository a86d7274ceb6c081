/** Servers that answer before they have read a long body, and read on later. */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';
import {afterAll, expect, test} from 'vitest';
import {readIssuedId, requestIdHeader, RequestIdSource} from '../../transport/request-id.js';
import {ServerTransport} from '../../transport/server-transport.js';

/** More than the buffers of a connection hold. */
const longBody = Buffer.alloc(32 * 1024 * 1024);
/** A request that waits longer stands behind the unread body. */
const promptMs = 1000;

const transport = new ServerTransport({maxConnectionsTo: () => 4, readResponseId: readIssuedId});
const ids = new RequestIdSource();
const sockets = new Set<Socket>();
let server: Server;

afterAll(async () => {
	await transport.close();
	for (const socket of sockets) {
		socket.destroy();
	}

	server.close();
});

const send = async (method: string, body: Uint8Array | undefined): Promise<string> => {
	const {value, binding} = ids.issue();
	const response = await transport.sendRequest({
		kind: 'plain', binding, address: `127.0.0.1:${(server.address() as AddressInfo).port}`, method, target: '/', headers: [requestIdHeader, value], body, signal: AbortSignal.timeout(promptMs),
	});
	if (response.kind !== 'head') {
		return response.kind;
	}

	const bytes = await transport.readBody(response);
	return 'kind' in bytes ? bytes.kind : Buffer.from(bytes).toString();
};

test('a request is not written behind a body that its server has not read', async () => {
	server = createServer(socket => {
		sockets.add(socket);
		socket.on('error', () => undefined);
		socket.once('data', (bytes: Uint8Array) => {
			const id = /^x-request-id: (?<id>\S+)/imv.exec(Buffer.from(bytes).toString('latin1'))!.groups!.id!;
			// Once it has answered, it reads nothing for the duration of the test
			socket.pause();
			socket.write(`HTTP/1.1 200 OK\r\ncontent-length: 2\r\nx-request-id: ${id}\r\n\r\nok`);
		});
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	expect(await send('POST', longBody)).toBe('ok');
	expect(await send('GET', undefined)).toBe('ok');
	expect(sockets.size).toBe(2);
});
