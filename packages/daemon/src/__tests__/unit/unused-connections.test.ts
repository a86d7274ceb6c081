import {setTimeout as sleep} from 'node:timers/promises';
import {afterAll, expect, test} from 'vitest';
import {readIssuedId, requestIdHeader, RequestIdSource} from '../../transport/request-id.js';
import {ServerTransport} from '../../transport/server-transport.js';
import {RepeatingServer, responseOf} from './repeating-server.js';

const transport = new ServerTransport({maxConnectionsTo: () => 64, readResponseId: readIssuedId});
const ids = new RequestIdSource();

afterAll(async () => {
	await transport.close();
});

/** Longer than a new connection may wait for its first request. */
const quietMs = 1200;

const send = async (address: string, signal = AbortSignal.timeout(5000)): Promise<string> => {
	const {value, binding} = ids.issue();
	const response = await transport.sendRequest({
		kind: 'plain', binding, address, method: 'GET', target: '/', headers: [requestIdHeader, value], body: undefined, signal,
	});
	if (response.kind !== 'head') {
		return response.kind;
	}

	await transport.readBody(response);
	return 'answered';
};

test('a request is sent though the connection that was opened for an aborted one is too old to be used', async () => {
	const server = await RepeatingServer.start({repeat: 'never', returns: 'same', respond: (_req, idLine) => responseOf(200, idLine, 'ok')});
	const abort = new AbortController();
	const aborted = send(server.address, abort.signal);
	abort.abort(new Error('the caller has gone'));
	expect(await aborted).toBe('unsent');
	await sleep(quietMs);
	expect(await send(server.address)).toBe('answered');
	expect(server.requests).toHaveLength(1);
	await server.close();
});
