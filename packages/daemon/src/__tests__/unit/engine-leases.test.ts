import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';
import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {
	afterEach, beforeEach, expect, test,
} from 'vitest';
import {addMs, toId} from '@baobabpier/core';
import type {ListedServer, ServiceName} from '@baobabpier/core';
import {monotonicClock} from '../../monotonic-clock.js';
import {CallScope} from '../../gateway/call-scope.js';
import {EngineLeases} from '../../gateway/engine-leases.js';
import type {EngineLeasesParts} from '../../gateway/engine-leases.js';
import {FleetView} from '../../gateway/fleet-view.js';
import {headerValue} from '../../gateway/raw-headers.js';
import {ServerTransport} from '../../transport/server-transport.js';
import type {StreamProgress} from '../../gateway/stream-progress.js';

const service = toId<ServiceName>('lm');
const expectedTokens = 5700;

let engine: Server;
let answer: {readonly status: number; readonly body: string} | 'closed';
let received: string[];
let transport: ServerTransport;

beforeEach(async () => {
	received = [];
	engine = createServer(async (req, res) => {
		const chunks: Uint8Array[] = [];
		for await (const chunk of req) {
			chunks.push(chunk as Uint8Array);
		}

		received.push(`${req.method} ${req.url} ${Buffer.concat(chunks).toString()}`.trim());
		if (answer === 'closed') {
			req.socket.destroy();
			return;
		}

		res.writeHead(answer.status).end(answer.body);
	}).listen(0, '127.0.0.1');
	await once(engine, 'listening');
	transport = new ServerTransport({maxConnectionsTo: () => 4, readResponseId: headers => headerValue(headers, 'x-id')});
});

afterEach(async () => {
	await transport.close();
	engine.closeAllConnections();
	engine.close();
});

/** A dialect with leases only. */
const dialect: Pick<EngineLeasesParts['dialect'], 'dropLeasePath' | 'leaseCall' | 'readLease'> = {
	leaseCall: (tokens, ms) => ({
		method: 'POST', target: '/lease', headers: [], body: Buffer.from(`${tokens} tokens for ${ms} ms`),
	}),
	readLease: (status, body) => status === 200 ? Buffer.from(body).toString() : undefined,
	dropLeasePath: lease => `/lease/${lease}`,
};

const setUp = () => {
	const fleet = new FleetView(monotonicClock);
	const server = {
		id: 'd1', address: `127.0.0.1:${(engine.address() as AddressInfo).port}`, service, role: 'decode', slots: 64, leaving: false,
	} as unknown as ListedServer;
	fleet.replace([server]);
	const scope = new CallScope(monotonicClock, addMs(monotonicClock.now(), 5000));
	const progress = {
		call: {
			requestId: 'r1', promptTokens: 5000, maxTokens: 6500, route: {priority: 0},
		}, service, scope, excluded: new Set(), rejectedBy: [],
	} as unknown as StreamProgress;
	const leases = new EngineLeases({
		fleet, transport, dialect: dialect as EngineLeasesParts['dialect'], expectedTokens: () => expectedTokens,
	});
	return {
		leases, progress, server, scope,
	};
};

test.each([
	{
		name: 'an engine with memory', given: {status: 200, body: 'l1'}, lease: 'l1', excluded: [], rejectedBy: [],
	},
	{
		name: 'a full engine, which has memory again when a stream ends', given: {status: 503, body: ''}, lease: undefined, excluded: [], rejectedBy: ['d1'],
	},
	{
		name: 'an engine that closes the connection', given: 'closed' as const, lease: undefined, excluded: ['d1'], rejectedBy: [],
	},
])('$name: lease $lease', async ({given, lease, excluded, rejectedBy}) => {
	answer = given;
	const {leases, progress, server, scope} = setUp();
	expect(await leases.acquire(progress, server)).toBe(lease);
	scope.close();
	expect(received[0]).toBe(`POST /lease ${expectedTokens} tokens for 1500 ms`);
	expect([[...progress.excluded], progress.rejectedBy]).toEqual([excluded, rejectedBy]);
});

test('a lease that no stream used is dropped', async () => {
	answer = {status: 200, body: ''};
	const {leases, server, scope} = setUp();
	await leases.drop({server, lease: 'l1'});
	await leases.drop({server, lease: undefined});
	scope.close();
	expect(received).toEqual(['DELETE /lease/l1']);
});
