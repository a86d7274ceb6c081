import {once} from 'node:events';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {text} from 'node:stream/consumers';
import {expect, test} from 'vitest';
import {readIssuedId, RequestIdSource} from '../../transport/request-id.js';
import {ServerTransport} from '../../transport/server-transport.js';

test.each([
	{name: undefined, begins: ''},
	{name: 'order-7_a', begins: 'order-7_a-'},
	// Letters, digits, "_" and "-" are what servers leave as they are
	{name: 'order.7', begins: 'order-7-'},
	{name: 'a'.repeat(200), begins: `${'a'.repeat(64)}-`},
])('an id for $name begins with it and is issued once', ({name, begins}) => {
	const ids = new RequestIdSource();
	const issued = Array.from({length: 100}, () => ids.issue(name));
	expect(new Set(issued.map(({value}) => value)).size).toBe(100);
	for (const {value, binding} of issued) {
		expect(value.startsWith(begins)).toBe(true);
		expect(value).toMatch(/^[\w\-]{1,128}$/v);
		expect(binding).toEqual({kind: 'echoedIfSupported', requestId: value});
		expect(readIssuedId(['X-Request-Id', value])).toBe(value);
	}
});

test('two sources issue no id in common', () => {
	expect(new RequestIdSource().issue('a').value).not.toBe(new RequestIdSource().issue('a').value);
});

test.each([
	{name: 'no id', rawHeaders: ['content-length', '4']},
	{name: 'a UUID', rawHeaders: ['x-request-id', '0b7e64c1-52a0-4d7f-9c11-9a55f2c00001']},
	{name: 'a number', rawHeaders: ['x-request-id', '1764891600-17']},
	{name: 'a date and a number', rawHeaders: ['x-request-id', '20261204-17']},
	{name: 'an id of a trace', rawHeaders: ['x-request-id', '4bf92f3577b34da6a3ce929d0e0e4736']},
	{name: 'an empty id', rawHeaders: ['x-request-id', '']},
])('a response with $name names no request', ({rawHeaders}) => {
	expect(readIssuedId(rawHeaders)).toBeUndefined();
});

test('a server on an IPv6 address is reached', async () => {
	const server = createServer((_req, res) => {
		res.end('here');
	}).listen(0, '::1');
	await once(server, 'listening');
	const transport = new ServerTransport({maxConnectionsTo: () => 1, readResponseId: readIssuedId});
	const {port} = server.address() as AddressInfo;
	const response = await transport.sendRequest({
		kind: 'list', binding: {kind: 'ownConnection'}, address: `[::1]:${port}`, method: 'GET', target: '/', headers: [], body: undefined, signal: AbortSignal.timeout(2000),
	});
	expect(response.kind === 'head' && await text(response.body)).toBe('here');
	await transport.close();
	server.close();
});
