import {request} from 'undici';
import {expect, test} from 'vitest';
import {startBackend, startEngine, startPlatformList} from '@baobabpier/stand-ins';

const parameters = {
	id: 'e1', role: 'decode', pieces: 4, prefillTokensPerSecond: 1e6, tokenMs: 1, tokenMsPerStream: 0, kvKeepMs: 100, linkTokensPerSecond: 1e6, fencesOrders: true, outputTokens: 1,
} as const;

const servers = {
	backend: async (returnsIds: boolean) => startBackend('desk', 0, returnsIds),
	engine: async (returnsIds: boolean) => startEngine({...parameters}, 0, returnsIds),
	list: async (returnsIds: boolean) => startPlatformList(returnsIds ? 0 : 1, 0),
} as const;

test.each([
	{
		name: 'an answer', server: 'backend', method: 'GET', path: '/availability', body: undefined, status: 200,
	},
	{
		name: 'a long answer', server: 'backend', method: 'GET', path: '/bytes?n=200000', body: undefined, status: 200,
	},
	{
		name: 'a refusal of bad input', server: 'backend', method: 'POST', path: '/bookings', body: '{}', status: 400,
	},
	{
		name: 'a path that is not there', server: 'backend', method: 'GET', path: '/none', body: undefined, status: 404,
	},
	{
		name: 'a report', server: 'engine', method: 'GET', path: '/report', body: undefined, status: 200,
	},
	{
		name: 'a hold that is gone', server: 'engine', method: 'POST', path: '/decode', body: '{"requestId":"r1","attempt":1}', status: 410,
	},
	{
		name: 'a list', server: 'list', method: 'GET', path: '/instances', body: undefined, status: 200,
	},
] as const)('$server returns the id with $name', async ({server: kind, method, path, body, status}) => {
	const server = await servers[kind](true);
	const answer = await request(`http://${server.address}${path}`, {method, headers: {'x-request-id': 'r.1-2'}, body});
	await answer.body.dump();
	expect([answer.statusCode, answer.headers['x-request-id']]).toEqual([status, 'r.1-2']);
	await server.close();
});

test.each(['backend', 'engine'] as const)('%s returns no id when told so', async kind => {
	const server = await servers[kind](false);
	const answer = await request(`http://${server.address}/counters`, {headers: {'x-request-id': 'r.1-2'}});
	await answer.body.dump();
	expect(answer.headers['x-request-id']).toBeUndefined();
	await server.close();
});
