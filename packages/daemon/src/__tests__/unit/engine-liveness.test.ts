import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';
import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {afterAll, expect, test} from 'vitest';
import {toId} from '@baobabpier/core';
import type {EngineId} from '@baobabpier/core';
import {EngineLiveness} from '../../control-node/engine-liveness.js';
import type {OrderDialect} from '../../control-node/role-task.js';
import {headerValue} from '../../gateway/raw-headers.js';
import {ServerTransport} from '../../transport/server-transport.js';

const transport = new ServerTransport({maxConnectionsTo: () => 1, readResponseId: headers => headerValue(headers, 'x-id')});
const servers: Server[] = [];
const dialect = {
	statusCall: () => ({
		method: 'GET', target: '/', headers: [], body: undefined,
	}),
	readStatus: (body: Uint8Array) => JSON.parse(Buffer.from(body).toString()) as ReturnType<OrderDialect['readStatus']>,
} as unknown as OrderDialect;

const listen = async (respond: () => {readonly status: number; readonly start?: number} | undefined): Promise<string> => {
	const server = createServer((_req, res) => {
		const response = respond();
		if (response !== undefined) {
			res.writeHead(response.status).end(JSON.stringify({start: response.start}));
		}
	});
	servers.push(server);
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return `127.0.0.1:${(server.address() as AddressInfo).port}`;
};

afterAll(async () => {
	await transport.close();
	for (const server of servers) {
		server.closeAllConnections();
		server.close();
	}
});

const crashedAt = 1_000_000;

test.each([
	{name: 'an engine that answers with an old start runs', responses: [{status: 200, start: 5}], expected: ['running']},
	{name: 'an engine that started after the crash ended', responses: [{status: 200, start: crashedAt + 900}], expected: ['ended']},
	{name: 'an engine whose start changed ended', responses: [{status: 200, start: 5}, {status: 200, start: 9}], expected: ['running', 'ended']},
	{name: 'an engine without a start runs', responses: [{status: 200}], expected: ['running']},
	{name: 'an address that another engine has is proof of the end', responses: [{status: 421}], expected: ['ended']},
	{name: 'an engine that fails the call is unknown', responses: [{status: 500}], expected: ['unknown']},
	{name: 'a silent engine is unknown', responses: [undefined], expected: ['unknown']},
])('$name', async ({responses, expected}) => {
	let index = 0;
	const address = await listen(() => responses[index++]);
	const liveness = new EngineLiveness({transport, dialect});
	const states: string[] = [];
	while (states.length < responses.length) {
		// eslint-disable-next-line no-await-in-loop
		states.push(await liveness.check(toId<EngineId>('e1'), address, crashedAt));
	}

	expect(states).toEqual(expected);
});

test('an address that refuses connections is proof of the end', async () => {
	const address = await listen(() => undefined);
	const server = servers.pop()!;
	server.close();
	await once(server, 'close');
	expect(await new EngineLiveness({transport, dialect}).check(toId<EngineId>('e1'), address, crashedAt)).toBe('ended');
});
