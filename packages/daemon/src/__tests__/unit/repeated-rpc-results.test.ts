/** Instances that send a result again where a later one is due. */
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, describe, expect, test,
} from 'vitest';
import {defineRpcMethod} from '@baobabpier/core';
import {request} from 'undici';
import {RepeatingServer, responseOf} from './repeating-server.js';
import type {RawRequest, RepeatMoment, ReturnedId} from './repeating-server.js';
import {
	openPort, RpcCallError, RpcClient, RpcServer,
} from '@baobabpier/daemon';

const ECHO = defineRpcMethod<{n: number}, {n: number}>('echo'); // eslint-disable-line @typescript-eslint/naming-convention
const secret = 's';

/** Long enough for a kept connection to be free again. */
const betweenCallsMs = 20;
const callMs = 2000;

type RpcRequest = {readonly id: number; readonly params: {readonly n: number}};

const json = 'content-type: application/json\r\n';
const resultOf = ({body}: RawRequest, idLine: string): string => {
	const {id, params} = JSON.parse(body) as RpcRequest;
	return responseOf(200, json + idLine, JSON.stringify({jsonrpc: '2.0', id, result: params}));
};

/** The first call fails, the others succeed. */
const failureFirst = (req: RawRequest, idLine: string): string => {
	const {id} = JSON.parse(req.body) as RpcRequest;
	return req.number === 1
		? responseOf(200, json + idLine, JSON.stringify({jsonrpc: '2.0', id, error: {code: 0, message: 'the first call failed'}}))
		: resultOf(req, idLine);
};

const refusalFirst = (req: RawRequest, idLine: string): string => req.number === 1
	? responseOf(401, json + idLine, JSON.stringify({error: {kind: 'unauthorized'}}))
	: resultOf(req, idLine);

const open: Array<{close(): Promise<void>}> = [];

afterEach(async () => {
	await Promise.all(open.splice(0).map(async part => part.close()));
});

const start = async (repeat: RepeatMoment, returns: ReturnedId, respond: (req: RawRequest, idLine: string) => string): Promise<{server: RepeatingServer; client: RpcClient}> => {
	const server = await RepeatingServer.start({repeat, returns, respond});
	const client = new RpcClient(server.address, secret);
	open.push(server, client);
	return {server, client};
};

/** The result of a call, or its error. */
const callOnce = async (client: RpcClient, n: number): Promise<unknown> => {
	try {
		return await client.call(ECHO, {n}, callMs);
	} catch (error) {
		return error;
	}
};

/** Calls three times, each on a connection that is free again. */
const callThrice = async (client: RpcClient): Promise<unknown[]> => {
	const outcomes: unknown[] = [];
	for (const n of [1, 2, 3]) {
		// eslint-disable-next-line no-await-in-loop
		outcomes.push(await callOnce(client, n));
		// eslint-disable-next-line no-await-in-loop
		await sleep(betweenCallsMs);
	}

	return outcomes;
};

const returns: readonly ReturnedId[] = ['same', 'none'];
const moments: readonly RepeatMoment[] = ['beforeNext', 'togetherWithNext', 'insteadOfNext', 'atOnce', 'never'];
const firsts = [
	{first: 'a result', respond: resultOf},
	{first: 'an error', respond: failureFirst},
	{first: 'a refusal', respond: refusalFirst},
] as const;
const cases = returns.flatMap(returned => moments.flatMap(repeat => firsts.map(row => [`${row.first}; id returned: ${returned}; ${repeat}`, {returned, repeat, ...row}] as const)));

describe('a second call gets its own result or none, from an instance that repeats the first answer', () => {
	test.each(cases)('%s', async (_, {returned, repeat, first, respond}) => {
		const {server, client} = await start(repeat, returned, respond);
		const [one, two, three] = await callThrice(client);
		if (first === 'a result') {
			expect(one).toEqual({n: 1});
		} else {
			expect(one).toBeInstanceOf(RpcCallError);
		}

		if (returned === 'same' && server.copies > 0 && repeat !== 'atOnce') {
			expect(two).toMatchObject({name: 'RpcCallError', sent: true});
			expect((two as Error).message).not.toContain('the first call failed');
			expect((two as Error).message).not.toContain('401');
		} else {
			expect(two).toEqual({n: 2});
		}

		expect(three).toEqual({n: 3});
		expect(server.requests).toHaveLength(3);
	});
});

test('a result under the id of another call is no result', async () => {
	const {client} = await start('never', 'none', ({body}, idLine) => {
		const {id, params} = JSON.parse(body) as RpcRequest;
		return responseOf(200, json + idLine, JSON.stringify({jsonrpc: '2.0', id: params.n === 1 ? id + 1 : id, result: params}));
	});
	expect(await callOnce(client, 1)).toMatchObject({name: 'RpcCallError', sent: true});
	expect(await callOnce(client, 2)).toEqual({n: 2});
});

test.each([
	{returned: 'same', connections: 1},
	{returned: 'none', connections: 4},
] as const)('four calls to an instance that returns an id ($returned) take $connections connections', async ({returned, connections}) => {
	const {server, client} = await start('never', returned, resultOf);
	for (const n of [1, 2, 3, 4]) {
		// eslint-disable-next-line no-await-in-loop
		expect(await callOnce(client, n)).toEqual({n});
		// eslint-disable-next-line no-await-in-loop
		await sleep(betweenCallsMs);
	}

	expect(server.connections).toBe(connections);
});

describe('an instance returns the id of a request', () => {
	const call = JSON.stringify({
		jsonrpc: '2.0', id: 1, method: 'echo', params: {n: 1},
	});
	test.each([
		{
			name: 'with a result', path: '/rpc', bearer: secret, body: call, status: 200,
		},
		{
			name: 'with an error', path: '/rpc', bearer: secret, body: call.replace('echo', 'unknown'), status: 200,
		},
		{
			name: 'with an empty answer', path: '/rpc', bearer: secret, body: JSON.stringify({jsonrpc: '2.0', method: 'echo', params: {n: 1}}), status: 204,
		},
		{
			name: 'with a refusal', path: '/rpc', bearer: 'wrong', body: call, status: 401,
		},
		{
			name: 'with a body that is no JSON', path: '/rpc', bearer: secret, body: '{', status: 500,
		},
		{
			name: 'with a path that is not there', path: '/other', bearer: secret, body: call, status: 404,
		},
	])('$name', async ({path, bearer, body, status}) => {
		const rpc = new RpcServer(secret);
		rpc.registerMethod(ECHO, params => params);
		const port = await openPort(rpc.app, '127.0.0.1:0');
		open.push({
			async close() {
				port.closeAllConnections();
				await new Promise(resolve => {
					port.close(resolve);
				});
			},
		});
		const {port: number} = port.address() as {port: number};
		const answer = await request(`http://127.0.0.1:${number}${path}`, {
			method: 'POST', headers: {'content-type': 'application/json', authorization: `Bearer ${bearer}`, 'x-request-id': 'a1.b2-c3'}, body,
		});
		await answer.body.dump();
		expect([answer.statusCode, answer.headers['x-request-id']]).toEqual([status, 'a1.b2-c3']);
	});
});
