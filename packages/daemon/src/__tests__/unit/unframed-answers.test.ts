/** Answers of backend servers without a length, which end with their connection. */
import {once} from 'node:events';
import {createServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';
import {text} from 'node:stream/consumers';
import {toId} from '@baobabpier/core';
import type {
	BackendId, DataCentreId, OwnerName, PlainService, RequestId, ServiceName,
} from '@baobabpier/core';
import {
	afterAll, afterEach, expect, test,
} from 'vitest';
import {BackendSender} from '../../requests/backend-sender.js';

const sender = new BackendSender();
let server: Server;

afterEach(() => {
	server.close();
});

afterAll(async () => {
	await sender.close();
});

/** Long enough for the part before to be passed on. */
const pauseMs = 20;
const earlier = 'HTTP/1.1 200 OK\r\ncontent-length: 7\r\nx-request-id: r0-bp00000000-1\r\n\r\nearlier';

type Ending = (socket: Socket) => void;

const later = (end: Ending): Ending => socket => {
	setTimeout(() => {
		end(socket);
	}, pauseMs);
};

const cases: ReadonlyArray<{readonly name: string; readonly end: Ending; readonly expected: string}> = [
	{name: 'that is closed', end: later(socket => socket.end()), expected: 'part'},
	{name: 'that is closed with its last bytes', end: socket => socket.end(), expected: 'part'},
	{name: 'that is reset', end: later(socket => socket.resetAndDestroy()), expected: 'broken'},
	{name: 'that is reset with its last bytes', end: socket => socket.resetAndDestroy(), expected: 'broken'},
	{name: 'that carries an earlier answer before it is closed', end: later(socket => socket.end(earlier)), expected: 'broken'},
	{name: 'that carries an earlier answer with its last bytes', end: socket => socket.end(earlier), expected: 'broken'},
];

const service: PlainService = {
	name: toId<ServiceName>('desk'), owner: toId<OwnerName>('hire'), class: 'urgent', kind: 'plain', idempotent: [], nonIdempotent: [], backends: [], limits: {
		inFlight: 9, requestsPerSecond: 9, tokensPerSecond: 9, queue: 9, queueMs: 9, bodyBytes: 100, totalMs: 900,
	},
};

const fieldLines = ['', 'transfer-encoding: identity\r\n'];

test.each(fieldLines.flatMap(fields => cases.map(item => ({...item, fields}))))('an answer with "$fields" on a connection $name reads as $expected', async ({end, expected, fields}) => {
	server = createServer(socket => {
		socket.on('error', () => undefined);
		socket.once('data', () => {
			socket.write(`HTTP/1.1 200 OK\r\n${fields}\r\npart`, () => {
				end(socket);
			});
		});
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	const answer = await sender.send({
		requestId: toId<RequestId>('r1'), service, method: 'GET', path: '/', search: '', headers: {}, key: undefined, body: new Uint8Array(), signal: AbortSignal.timeout(2000),
	}, undefined, {
		backend: {id: toId<BackendId>('b1'), address: `127.0.0.1:${(server.address() as AddressInfo).port}`, dataCentre: toId<DataCentreId>('a')}, signal: AbortSignal.timeout(2000),
	});
	const read = async (): Promise<string> => {
		try {
			return answer.ok ? await text(answer.val.body) : 'broken';
		} catch {
			return 'broken';
		}
	};

	expect(await read()).toBe(expected);
});
