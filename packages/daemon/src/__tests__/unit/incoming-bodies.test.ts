/** Bodies arrive whole and in order, and their memory is returned. */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {connect} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {defaultResourceLimits, ManualClock} from '@baobabpier/core';
import {afterEach, expect, test} from 'vitest';
import {ServerConnections} from '../../server-connections.js';
import type {RequestHandler} from '../../server-connections.js';
import {IncomingBodies} from '../../transport/incoming-bodies.js';
import type {BodyBounds, BodyFailure} from '../../transport/incoming-bodies.js';

const mebibyte = 1024 * 1024;
const open: ServerConnections[] = [];
const clients: Socket[] = [];

afterEach(() => {
	for (const client of clients.splice(0)) {
		client.destroy();
	}

	for (const connections of open.splice(0)) {
		connections.destroy();
	}
});

const serve = async (handler: RequestHandler): Promise<{connections: ServerConnections; dial: () => Promise<Socket>}> => {
	const connections = new ServerConnections(createServer({requestTimeout: 0}), handler);
	open.push(connections);
	connections.server.listen(0, '127.0.0.1');
	await once(connections.server, 'listening');
	const dial = async (): Promise<Socket> => {
		const socket = connect((connections.server.address() as AddressInfo).port, '127.0.0.1');
		clients.push(socket);
		socket.on('error', () => undefined);
		socket.setNoDelay(true);
		await once(socket, 'connect');
		return socket;
	};

	return {connections, dial};
};

let tests = 0;
afterEach(() => {
	tests += 1;
});

/** Waits for a condition; the test's own time limit ends a wait in vain. */
const until = async (isMet: () => boolean): Promise<void> => {
	const test = tests;
	// A later test has changed the count
	// eslint-disable-next-line no-unmodified-loop-condition
	while (!isMet() && test === tests) {
		// eslint-disable-next-line no-await-in-loop
		await nextTurn();
	}
};

const chunked = (chunks: readonly Uint8Array[], end = true): Uint8Array => Buffer.concat([
	...chunks.flatMap(chunk => [Buffer.from(`${chunk.length.toString(16)}\r\n`), chunk, Buffer.from('\r\n')]), Buffer.from(end ? '0\r\n\r\n' : ''),
]);
const chunkedHead = 'POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n';
const fill = (sizes: readonly number[]): Uint8Array[] => {
	let next = 0;
	return sizes.map(size => Buffer.from(Array.from({length: size}, () => {
		next += 1;
		return next % 251;
	})));
};

const repeat = (sizes: readonly number[], times: number): number[] => Array.from({length: times}, () => sizes).flat();

test.each([
	{guardsAgainst: 'an empty body that never ends', sizes: []},
	{guardsAgainst: 'a body of one byte being lost', sizes: [1]},
	{guardsAgainst: 'joined chunks in a wrong order', sizes: repeat([1, 2, 3], 2000)},
	{guardsAgainst: 'a large chunk overtaking small ones', sizes: repeat([1, 4095, 4096, 7, 20_000], 30)},
	{guardsAgainst: 'bytes lost at the edges of blocks', sizes: [1023, 1, 1, 16_383, 1, 16_384, 1, 1024]},
	{guardsAgainst: 'a body of the greatest length being refused', sizes: [mebibyte]},
])('guards against $guardsAgainst', async ({sizes}) => {
	const bodies = new IncomingBodies(8 * mebibyte);
	const results: Array<BodyFailure | Uint8Array> = [];
	const {connections, dial} = await serve((req, res) => {
		void bodies.read(req, res, {maxBytes: mebibyte, timeoutMs: 60_000}).then(body => {
			results.push(body);
			res.end();
		});
	});
	const chunks = fill(sizes);
	const whole = Buffer.concat(chunks);
	const socket = await dial();
	socket.resume();
	// The second and third request are pipelined, so their bodies arrive before they are read
	socket.write(chunkedHead);
	socket.write(chunked(chunks));
	socket.write(chunkedHead);
	socket.write(chunked(chunks));
	socket.write(`POST / HTTP/1.1\r\nhost: a\r\ncontent-length: ${whole.length}\r\n\r\n`);
	socket.write(whole);
	await until(() => results.length === 3 && connections.active === 0);
	for (const body of results) {
		expect(Buffer.isBuffer(body) && body.equals(whole)).toBe(true);
	}

	expect(bodies.bytes).toBe(0);
});

test('a body that is alone and within the bound of the operators\' port has room', async () => {
	const bodies = new IncomingBodies(defaultResourceLimits.bodyBytes);
	let result: BodyFailure | Uint8Array | undefined;
	const {dial} = await serve((req, res) => {
		void bodies.read(req, res, {maxBytes: 16 * mebibyte, timeoutMs: 60_000}).then(body => {
			result = body;
			res.end();
		});
	});
	const socket = await dial();
	socket.resume();
	const body = Buffer.alloc(12 * mebibyte, 7);
	socket.write(`PUT / HTTP/1.1\r\nhost: a\r\ncontent-length: ${body.length}\r\n\r\n`);
	socket.write(body);
	await until(() => result !== undefined);
	expect(Buffer.isBuffer(result) ? result.length : result).toBe(body.length);
});

const small: BodyBounds = {maxBytes: 1000, timeoutMs: 60_000};
test.each([
	{
		guardsAgainst: 'a declared length above the bound being read', head: 'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1001\r\n\r\n', rest: '', bounds: small, kind: 'tooLarge',
	},
	{
		guardsAgainst: 'chunks above the bound being kept', head: chunkedHead, rest: chunked(fill([600, 600]), false), bounds: small, kind: 'tooLarge',
	},
	{
		guardsAgainst: 'a body that never ends staying', head: chunkedHead, rest: chunked(fill([600]), false), bounds: {...small, timeoutMs: 30}, kind: 'late',
	},
	{
		guardsAgainst: 'a body above the memory for all', head: chunkedHead, rest: chunked(fill([9000]), false), bounds: {...small, maxBytes: 10_000}, kind: 'noRoom',
	},
	{
		guardsAgainst: 'a reader that waits for a closed connection', head: chunkedHead, rest: chunked(fill([600]), false), bounds: small, kind: 'broken', leaves: true,
	},
	{
		guardsAgainst: 'a reader that waits behind a malformed chunk', head: chunkedHead, rest: 'zz\r\n', bounds: small, kind: 'broken',
	},
])('guards against $guardsAgainst', async ({head, rest, bounds, kind, leaves = false}) => {
	const bodies = new IncomingBodies(8 * 1024);
	let result: BodyFailure | Uint8Array | undefined;
	const {dial} = await serve((req, res) => {
		void bodies.read(req, res, bounds).then(body => {
			result = body;
		});
	});
	const socket = await dial();
	socket.write(head);
	socket.write(rest);
	if (leaves) {
		socket.end();
		socket.destroy();
	}

	await until(() => result !== undefined);
	expect(result).toMatchObject({kind});
	expect(bodies.bytes).toBe(0);
});

// Guards against a crowd that is told the same delay however long it comes back
test('bodies without room are told a longer delay while there is none', async () => {
	const clock = new ManualClock();
	const bodies = new IncomingBodies(8 * 1024, clock);
	const delaysMs: number[] = [];
	const {dial} = await serve((req, res) => {
		void bodies.read(req, res, {maxBytes: 10_000, timeoutMs: 60_000}).then(body => {
			delaysMs.push((body as {retryAfterMs: number}).retryAfterMs);
		});
	});
	for (const [refusals, waitMs] of [0, 3000, 4000, 9000].entries()) {
		clock.advance(waitMs);
		// eslint-disable-next-line no-await-in-loop
		const socket = await dial();
		socket.write(chunkedHead);
		socket.write(chunked(fill([9000]), false));
		// eslint-disable-next-line no-await-in-loop
		await until(() => delaysMs.length === refusals + 1);
	}

	expect(delaysMs.map(ms => [2000, 4000, 8000, 16_000].findLast(delay => delay <= ms))).toEqual([2000, 4000, 8000, 16_000]);
});

test('the start of a long body and the rest of it give all its bytes in order', async () => {
	const bodies = new IncomingBodies(8 * mebibyte);
	const chunks = fill(repeat([1, 3000, 5000, 10], 40));
	const parts: Uint8Array[] = [];
	let isOver = false;
	const {dial} = await serve((req, res) => {
		void (async () => {
			const body = await bodies.read(req, res, {maxBytes: 1000, timeoutMs: 60_000, keepsStart: true});
			parts.push((body as {start: Uint8Array}).start);
			await nextTurn();
			for await (const part of req.iterator({destroyOnReturn: false}) as AsyncIterable<Uint8Array>) {
				parts.push(part);
				await nextTurn();
			}

			isOver = true;
		})();
	});
	const socket = await dial();
	socket.write(chunkedHead);
	socket.write(chunked(chunks));
	await until(() => isOver);
	expect(Buffer.concat(parts).equals(Buffer.concat(chunks))).toBe(true);
});

test('a small chunk that came while the reader paused is passed on without waiting for a further one', async () => {
	let req: IncomingMessage | undefined;
	const {dial} = await serve(request => {
		req = request;
	});
	let length = 0;
	const socket = await dial();
	socket.write(chunkedHead);
	await until(() => req !== undefined);
	req!.on('data', (chunk: Uint8Array) => {
		length += chunk.length;
	});
	socket.write(chunked(fill([1]), false));
	await until(() => length === 1);
	req!.pause();
	socket.write(chunked(fill([5000]), false));
	await until(() => req!.readableLength === 5000);
	const {bytesRead} = req!.socket;
	socket.write(chunked(fill([10]), false));
	await until(() => req!.socket.bytesRead > bytesRead);
	await nextTurn();
	req!.resume();
	// All bytes have arrived in the process, so no further input is needed
	// eslint-disable-next-line no-unmodified-loop-condition
	for (let turn = 0; turn < 1000 && length < 5011; turn += 1) {
		// eslint-disable-next-line no-await-in-loop
		await nextTurn();
	}

	expect(length).toBe(5011);
});

test('pipelined requests that wait for a response do not take memory without bound', async () => {
	let received = 0;
	const {connections, dial} = await serve((_req: IncomingMessage, _res: ServerResponse) => {
		received += 1;
	});
	const socket = await dial();
	const request = Buffer.concat([Buffer.from('POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 15000\r\n\r\n'), Buffer.alloc(15_000)]);
	let isWritten = false;
	socket.write(Buffer.concat(Array.from({length: 2000}, () => request)), () => {
		isWritten = true;
	});
	await until(() => received === 1);
	// More than the buffers of the connection hold
	// eslint-disable-next-line no-unmodified-loop-condition
	for (let turn = 0; turn < 5000 && !isWritten; turn += 1) {
		// eslint-disable-next-line no-await-in-loop
		await nextTurn();
	}

	expect(connections.active).toBeLessThan(1000);
});

test('a connection whose response is in progress is not displaced', async () => {
	const {connections, dial} = await serve((_req, res) => {
		res.writeHead(200);
		res.write('begun');
	});
	connections.setBounds({guaranteed: 1, max: 1});
	const first = await dial();
	let isClosed = false;
	first.once('close', () => {
		isClosed = true;
	});
	first.write(chunkedHead);
	await once(first, 'data');
	const second = await dial();
	second.resume();
	let isSecondClosed = false;
	second.once('close', () => {
		isSecondClosed = true;
	});
	await until(() => isClosed || isSecondClosed);
	expect(isClosed).toBe(false);
});
