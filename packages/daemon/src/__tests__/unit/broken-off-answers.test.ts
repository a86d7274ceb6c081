/** Answers that are broken off in the turn of the event loop in which they were written. */
import {createServer} from 'node:http';
import {connect} from 'node:net';
import type {AddressInfo} from 'node:net';
import {once} from 'node:events';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {afterEach, expect, test} from 'vitest';
import {breakOff, ServerConnections} from '../../server-connections.js';

let connections: ServerConnections | undefined;
afterEach(() => {
	connections?.destroy();
});

// Guards against callers that get nothing at all, neither an answer nor a refusal, where a stream begins and breaks off at once
test.each<{readonly name: string; readonly wait?: () => Promise<unknown>}>([
	{name: 'at once'},
	{
		name: 'later in the same turn', async wait() {
			await Promise.resolve();
		},
	},
	{name: 'in the next turn', wait: nextTurn},
])('an answer that is broken off $name reaches its caller as far as it was written', async ({wait}) => {
	const server = createServer();
	connections = new ServerConnections(server, async (_req, res) => {
		// As in the code, a response is written in a chain of promises
		await Promise.resolve();
		res.writeHead(200, {'content-type': 'text/event-stream'});
		res.write('id: 1\ndata: piece 1\n\n');
		res.write('id: 2\ndata: piece 2\n\n');
		await wait?.();
		breakOff(res);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
	let text = '';
	socket.on('error', () => undefined);
	socket.on('data', (bytes: Uint8Array) => {
		text += bytes.toString();
	});
	socket.write('POST / HTTP/1.1\r\nhost: h.example\r\ncontent-length: 0\r\n\r\n');
	await once(socket, 'close');
	expect(text).toMatch(/^HTTP\/1\.1 200 OK\r\n/v);
	expect(text).toContain('piece 2');
	expect(text.endsWith('0\r\n\r\n')).toBe(false);
});
