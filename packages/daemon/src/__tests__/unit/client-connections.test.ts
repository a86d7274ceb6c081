/** Guards against clients that read nothing, or send many requests ahead, and so take memory or places without bound. */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {connect} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {afterEach, expect, test} from 'vitest';
import {CountedLog} from '../../counted-log.js';
import type {LogFields} from '../../log.js';
import {ServerConnections} from '../../server-connections.js';
import type {RequestHandler} from '../../server-connections.js';
import {parseResponses} from './raw-responses.js';

const waitMs = 10_000;
let connections: ServerConnections;
const clients: Socket[] = [];

const serve = async (handler: RequestHandler): Promise<void> => {
	connections = new ServerConnections(createServer(), handler);
	connections.server.listen(0, '127.0.0.1');
	await once(connections.server, 'listening');
};

const dial = async (): Promise<Socket> => {
	const socket = connect((connections.server.address() as AddressInfo).port, '127.0.0.1');
	clients.push(socket);
	socket.on('error', () => undefined);
	await once(socket, 'connect');
	return socket;
};

/** Collects what a client receives until it holds `count` responses, or its connection ends. */
const receive = async (socket: Socket, count: number): Promise<string> => {
	let text = '';
	socket.on('data', (bytes: Uint8Array) => {
		text += bytes.toString();
	});
	const deadline = Date.now() + waitMs;
	while (parseResponses(text).length < count && !socket.destroyed && Date.now() < deadline) {
		// eslint-disable-next-line no-await-in-loop
		await sleep(10);
	}

	return text;
};

afterEach(() => {
	for (const socket of clients.splice(0)) {
		socket.destroy();
	}

	connections.destroy();
});

test('a connection whose client reads nothing gives way to a new one', async () => {
	await serve((req, res) => {
		res.end(req.url === '/long' ? Buffer.alloc(32 * 1024 * 1024) : 'short');
	});
	connections.setBounds({guaranteed: 1, max: 1});
	const silent = await dial();
	silent.pause();
	silent.write('GET /long HTTP/1.1\r\nhost: h\r\n\r\n');
	const deadline = Date.now() + waitMs;
	let text = '';
	while (text === '' && Date.now() < deadline) {
		// eslint-disable-next-line no-await-in-loop
		await sleep(200);
		// eslint-disable-next-line no-await-in-loop
		const next = await dial();
		next.write('GET /short HTTP/1.1\r\nhost: h\r\n\r\n');
		// eslint-disable-next-line no-await-in-loop
		text = await receive(next, 1);
	}

	expect(text).toContain('short');
});

test('a connection is read no further while requests wait behind a slow one, and all are answered in the end', async () => {
	const requests = 100;
	const bodyBytes = 9000;
	let finish: (() => void) | undefined;
	let read = 0;
	await serve((req, res) => {
		req.resume();
		if (req.url === '/slow') {
			finish = () => {
				res.end('slow');
			};
		} else {
			res.end('done');
		}
	});
	connections.server.on('connection', (socket: Socket) => {
		setInterval(() => {
			read = Math.max(read, socket.bytesRead);
		}, 10).unref();
	});
	const client = await dial();
	const answers = receive(client, requests + 1);
	client.write('GET /slow HTTP/1.1\r\nhost: h\r\n\r\n');
	client.write(`POST /next HTTP/1.1\r\nhost: h\r\ncontent-length: ${bodyBytes}\r\n\r\n${'x'.repeat(bodyBytes)}`.repeat(requests));
	await sleep(500);
	expect(read).toBeLessThan(requests * bodyBytes / 2);
	finish!();
	const responses = parseResponses(await answers);
	expect(responses).toHaveLength(requests + 1);
	expect(responses.every(({status}) => status === 200)).toBe(true);
});

test('an event that clients cause without end is logged once in an interval, with its count', () => {
	const lines: LogFields[] = [];
	let now = 0;
	const log = Object.assign((_sentence: string, fields: LogFields = {}) => {
		lines.push(fields);
	}, {warn() {/* Not used */}});
	const counted = new CountedLog(log, 'Closed.', () => now);
	for (let event = 0; event < 5000; event++) {
		counted.add({port: 1});
		now += 10;
	}

	expect(counted.count).toBe(5000);
	expect(lines).toEqual([1, 1001, 2001, 3001, 4001].map(count => ({port: 1, count})));
});
