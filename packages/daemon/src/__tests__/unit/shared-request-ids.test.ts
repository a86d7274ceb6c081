/** Callers that send different requests under one id. */
import {Buffer} from 'node:buffer';
import {afterAll, expect, test} from 'vitest';
import {headerValue} from '../../gateway/raw-headers.js';
import {ServerTransport} from '../../transport/server-transport.js';
import {RepeatingServer, responseOf} from './repeating-server.js';
import type {RepeatMoment} from './repeating-server.js';

const transport = new ServerTransport({maxConnectionsTo: () => 1, readResponseId: headers => headerValue(headers, 'x-request-id')});

afterAll(async () => {
	await transport.close();
});

const send = async (address: string, target: string): Promise<string> => {
	const response = await transport.sendRequest({
		kind: 'run', binding: {kind: 'echoed', requestId: 'order-7'}, address, method: 'GET', target, headers: ['x-request-id', 'order-7'], body: undefined, signal: AbortSignal.timeout(2000),
	});
	const body = response.kind === 'head' ? await transport.readBody(response) : response;
	return 'kind' in body ? body.kind : Buffer.from(body).toString();
};

const moments: RepeatMoment[] = ['beforeNext', 'togetherWithNext', 'insteadOfNext'];

const cases = moments.flatMap(repeat => [true, false].map(isAtOnce => ({repeat, isAtOnce})));

test.each(cases)('requests under one id get their own responses (copy $repeat, sent at once $isAtOnce)', async ({repeat, isAtOnce}) => {
	const server = await RepeatingServer.start({repeat, returns: 'same', respond: ({target}, idLine) => responseOf(200, idLine, `body of ${target}`)});
	const first = send(server.address, '/1');
	if (!isAtOnce) {
		await first;
	}

	const second = send(server.address, '/2');
	expect(await first).toBe('body of /1');
	expect(await second).toBe('body of /2');
	await server.close();
});
