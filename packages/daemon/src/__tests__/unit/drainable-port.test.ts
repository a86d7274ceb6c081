import {once} from 'node:events';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {connect} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {H3} from 'h3';
import {afterEach, expect, test} from 'vitest';
import {DrainablePort} from '../../fleet/drainable-port.js';
import {openConnections} from '../../listen.js';
import type {ServerConnections} from '../../server-connections.js';
import {parseResponses} from './raw-responses.js';

const longBody = 'x'.repeat(32 * 1024 * 1024);
const stallMs = 300;

let connections: ServerConnections;
let port: DrainablePort;
let socket: Socket;
let text = '';

const start = async (): Promise<void> => {
	const app = new H3({silent: true});
	app.all('/**', async event => {
		const {req, res} = event.runtime!.node! as unknown as {req: IncomingMessage; res: ServerResponse};
		const body = req.url === '/long' ? longBody : 'done';
		setTimeout(() => {
			res.writeHead(200, {'content-length': body.length}).end(body);
		}, 50);
		return new Promise<never>(() => {/* The response is written above */});
	});
	connections = await openConnections(app, '127.0.0.1:0');
	port = new DrainablePort(connections, stallMs);
	socket = connect((connections.server.address() as AddressInfo).port, '127.0.0.1');
	socket.on('error', () => undefined);
	text = '';
	socket.on('data', (bytes: Uint8Array) => {
		text += bytes.toString();
	});
	await once(socket, 'connect');
};

const send = (path: string): void => {
	socket.write(`GET ${path} HTTP/1.1\r\nhost: a.example\r\n\r\n`);
};

const until = async (what: string, isTrue: () => boolean): Promise<void> => {
	const deadline = Date.now() + 4000;
	while (!isTrue()) {
		if (Date.now() > deadline) {
			throw new Error(`not within 4000 ms: ${what}`);
		}

		await sleep(5); // eslint-disable-line no-await-in-loop
	}
};

afterEach(() => {
	socket.destroy();
	connections.destroy();
});

test('answers a request that arrives during the close on a kept connection, and closes with the answer', async () => {
	await start();
	send('/1');
	await until('the first answer', () => text.endsWith('done'));
	port.setClosing(true);
	send('/2');
	await until('the request is read', () => port.active === 1);
	await port.close();
	await until('the connection is closed', () => socket.destroyed);
	expect(parseResponses(text)).toMatchObject([{status: 200, isComplete: true}, {status: 200, isComplete: true}]);
	expect(text.toLowerCase()).toContain('connection: close');
});

test('sends an answer whole to a caller that reads slowly', async () => {
	await start();
	socket.pause();
	send('/long');
	await until('the answer is written', () => connections.isSending);
	port.setClosing(true);
	const closed = port.close();
	for (let round = 0; round < 10; round++) {
		await sleep(50); // eslint-disable-line no-await-in-loop
		socket.resume();
		await sleep(5); // eslint-disable-line no-await-in-loop
		socket.pause();
	}

	socket.resume();
	await closed;
	await until('the connection is closed', () => socket.destroyed);
	expect(parseResponses(text)).toMatchObject([{status: 200, isComplete: true}]);
});

test('does not wait for a caller that reads nothing', async () => {
	await start();
	socket.pause();
	send('/long');
	await until('the answer is written', () => connections.isSending);
	port.setClosing(true);
	await until('the answer counts no more', () => port.active === 0);
	await port.close();
});

test('does not wait for requests behind an answer whose caller has left', async () => {
	await start();
	send('/1');
	send('/2');
	await until('both requests are read', () => port.active === 2);
	socket.destroy();
	await until('the caller is gone', () => port.active === 0);
	await port.close();
});
