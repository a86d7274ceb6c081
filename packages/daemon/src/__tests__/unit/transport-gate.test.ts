import {once} from 'node:events';
import {createServer} from 'node:http';
import type {Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {
	afterEach, beforeEach, expect, test,
} from 'vitest';
import {toId} from '@baobabpier/core';
import type {BackendId} from '@baobabpier/core';
import {ServerTransport} from '../../transport/server-transport.js';
import type {OutgoingRequest} from '../../transport/types.js';
import {openGate} from './open-gate.js';

const server = toId<BackendId>('s1');
let backend: Server;
let transport: ServerTransport;
let connections: number;
let isOpen: boolean;
const waiting: ServerResponse[] = [];

beforeEach(async () => {
	connections = 0;
	isOpen = true;
	waiting.length = 0;
	backend = createServer((req, res) => {
		res.setHeader('x-request-id', String(req.headers['x-request-id']));
		waiting.push(res);
	}).listen(0, '127.0.0.1');
	backend.on('connection', () => {
		connections += 1;
	});
	await once(backend, 'listening');
	transport = new ServerTransport({
		maxConnectionsTo: () => 1,
		readResponseId: headers => headers[headers.indexOf('x-request-id') + 1],
		gate: {...openGate, maySend: () => isOpen},
	});
});

afterEach(async () => {
	await transport.close();
	backend.closeAllConnections();
	backend.close();
});

/** Sends a request; resolves with the status of its response, or with what became of it. */
const send = async (requestId: string): Promise<number | string> => {
	const request: OutgoingRequest = {
		kind: 'run', binding: {kind: 'echoed', requestId}, server, address: `127.0.0.1:${(backend.address() as AddressInfo).port}`, method: 'GET', target: '/', headers: ['x-request-id', requestId], body: undefined, signal: AbortSignal.timeout(5000),
	};
	const response = await transport.sendRequest(request);
	if (response.kind !== 'head') {
		return response.kind === 'unsent' && response.isHeldBack === true ? 'held back' : response.kind;
	}

	await transport.readBody(response);
	return response.status;
};

const answerNext = async (): Promise<void> => {
	await expect.poll(() => waiting.length).toBeGreaterThan(0);
	waiting.shift()!.end('done');
};

test('requests that wait for a connection are withdrawn when it is free, and leave it as it is', async () => {
	const first = send('r1');
	await expect.poll(() => waiting.length).toBe(1);
	const queued = Array.from({length: 5000}, async (_, index) => send(`w${index}`));
	isOpen = false;
	await answerNext();
	expect(await first).toBe(200);
	expect(await Promise.all(queued)).toEqual(queued.map(() => 'held back'));
	isOpen = true;
	const last = send('r5');
	await answerNext();
	expect([await last, connections, waiting.length]).toEqual([200, 1, 0]);
});

test('no connection is opened for a request that may not be sent', async () => {
	isOpen = false;
	expect(await send('r1')).toBe('held back');
	expect(connections).toBe(0);
});
