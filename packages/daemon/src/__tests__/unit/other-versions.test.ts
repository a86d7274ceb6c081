/** What an instance does with calls of instances that run an older or a newer version of this program. */
import {
	CONTROL_WATCH, ControlState, defineRpcMethod, ORIGIN_FIND, ORIGIN_RECORD, toId,
} from '@baobabpier/core';
import type {DataCentreId, InstanceId, RateLimitsSnapshot} from '@baobabpier/core';
import {afterEach, expect, test} from 'vitest';
import type {ReplicatedControlLog} from '../../control/replicated-control-log.js';
import {WatchServer} from '../../control-node/watch-server.js';
import {openPort} from '../../listen.js';
import {monotonicClock} from '../../monotonic-clock.js';
import {RpcCallError, RpcClient} from '../../rpc/rpc-client.js';
import {RpcServer} from '../../rpc/rpc-server.js';
import {OriginHost} from '../../streams/origin-host.js';

const secret = 's';
const callMs = 2000;
const closers: Array<() => Promise<void> | void> = [];
afterEach(async () => {
	await Promise.all(closers.splice(0).map(async close => close()));
});

const limits = {version: 'limits-1', limits: []} as unknown as RateLimitsSnapshot;

/** A control instance's methods, with a control log that holds nothing. */
const startControl = async (): Promise<RpcClient> => {
	const rpc = new RpcServer(secret);
	new OriginHost(monotonicClock).start(rpc);
	const control = {
		state: new ControlState({retentionMs: 1000, maxRecords: 10}),
		position: {hearsQuorum: true, leader: toId<InstanceId>('c1')},
		replicas: [toId<InstanceId>('c1')],
		registerListener: () => () => undefined,
	} as unknown as ReplicatedControlLog;
	const watch = new WatchServer({
		dataCentre: toId<DataCentreId>('a'), control, clock: monotonicClock, listAgeMs: () => undefined, hasTeams: () => false, suspects: () => ({epoch: 'e', version: 'e/1', sets: []}), limits: () => limits,
	});
	watch.start(rpc);
	const port = await openPort(rpc.app, '127.0.0.1:0');
	const {port: number} = port.address() as {port: number};
	const client = new RpcClient(`127.0.0.1:${number}`, secret);
	closers.push(async () => {
		watch.stop();
		await client.close();
		port.closeAllConnections();
		port.close();
	});
	return client;
};

/** The result of a call, or its error. Neither parameters nor result have the types of this version. */
const call = async (client: RpcClient, {method}: {readonly method: string}, params: unknown): Promise<unknown> => {
	try {
		return await client.call(defineRpcMethod<unknown, unknown>(method), params, callMs);
	} catch (error) {
		return error;
	}
};

const origin = {
	requestId: 'r1', service: 'lm', softwareVersion: 'v1', ttlMs: 20_000,
};
const recorded = {incarnation: expect.any(String) as string};
const refused = (message: RegExp): unknown => expect.objectContaining({name: 'RpcCallError', sent: true, message: expect.stringMatching(message) as string});
/** A result that has none of these fields. */
const without = (...names: readonly string[]): unknown => expect.toSatisfy((value: unknown) => typeof value === 'object' && value !== null && names.every(name => !(name in value)));
const watched = {
	instance: 'e1', leader: 'c1', quarantineRevision: 0, suspectsVersion: 'e/1', limitsVersion: 'limits-1', waitMs: 0, withContent: true, confirmed: false,
};
/** Has a relay port, so that instances without one are told of it if they are told of any. */
const neighbour = {...watched, instance: 'e2', relay: {address: '127.0.0.1:9', dataCentre: 'a', isTaking: true}};
const partner = {id: 'e2', address: '127.0.0.1:9', dataCentre: 'a'};
const relay = {address: '127.0.0.1:8', dataCentre: 'a', isTaking: false};

type Row = {
	readonly name: string;
	readonly method: {readonly method: string};
	readonly params: unknown;
	readonly expected: unknown;
	/** What the instance holds of the stream afterwards. */
	readonly held?: unknown;
};

const rows: readonly Row[] = [
	{
		name: 'an unknown method is refused, and counts as sent', method: {method: 'next.method'}, params: {}, expected: refused(/method not found/iv),
	},
	{
		name: 'an unknown method without parameters is refused', method: {method: 'next.method'}, params: undefined, expected: refused(/method not found/iv),
	},
	{
		name: 'an unknown field of a call is ignored', method: ORIGIN_FIND, params: {requestId: 'r1', next: 1}, expected: {},
	},
	{
		name: 'an unknown field of a record is ignored and not kept',
		method: ORIGIN_RECORD,
		params: {origins: [{...origin, next: 1}], next: 1},
		expected: recorded,
		held: {origin: {service: 'lm', softwareVersion: 'v1'}},
	},
	{
		name: 'a record without a field is taken without it', method: ORIGIN_RECORD, params: {origins: [{...origin, service: undefined}]}, expected: recorded, held: {origin: {softwareVersion: 'v1'}},
	},
	{
		name: 'a call without a field that is read through is refused', method: ORIGIN_RECORD, params: {}, expected: refused(/not iterable/v),
	},
	{
		name: 'a call without parameters is refused', method: ORIGIN_FIND, params: undefined, expected: refused(/undefined/v),
	},
	{
		name: 'a watcher that has all versions is sent no content', method: CONTROL_WATCH, params: {...watched, relay}, expected: without('quarantine', 'suspects', 'limits'),
	},
	{
		name: 'a watcher that names unknown fields is answered like others',
		method: CONTROL_WATCH,
		params: {...watched, relay, next: {version: 1}},
		expected: expect.objectContaining({hearsQuorum: true, partners: [partner]}),
	},
	{
		name: 'a watcher that names no relay port gets no partners', method: CONTROL_WATCH, params: watched, expected: without('partners'),
	},
	{
		name: 'a watcher that names no versions is sent all, and does not wait', method: CONTROL_WATCH, params: {
			instance: 'e1', leader: 'c1', waitMs: callMs * 2, withContent: true, confirmed: false,
		}, expected: expect.objectContaining({quarantine: {revision: 0, sets: []}, suspects: {epoch: 'e', version: 'e/1', sets: []}, limits}),
	},
];

// Guards against a call of another version that ends a task, or spoils the calls after it
test.each(rows)('$name', async ({method, params, expected, held}) => {
	const client = await startControl();
	expect(await call(client, CONTROL_WATCH, neighbour)).toMatchObject({hearsQuorum: true});
	expect(await call(client, method, params)).toEqual(expected);
	expect(await call(client, ORIGIN_FIND, {requestId: 'r1'})).toEqual(held ?? {});
	expect(await call(client, ORIGIN_RECORD, {origins: [origin]})).toEqual(recorded);
	expect(await call(client, ORIGIN_FIND, {requestId: 'r1'})).toEqual({origin: {service: 'lm', softwareVersion: 'v1'}});
});

// Guards against a caller that misreads the results of another version
test.each([
	{name: 'an unknown field of a result is passed on', result: {n: 1, next: 2}, expected: {n: 1, next: 2}},
	{name: 'a result without a field is passed on without it', result: {}, expected: {}},
	{name: 'an absent result is passed on as null', result: undefined, expected: null},
])('$name', async ({result, expected}) => {
	const rpc = new RpcServer(secret);
	rpc.registerMethod(defineRpcMethod<unknown, unknown>('echo'), () => result);
	const port = await openPort(rpc.app, '127.0.0.1:0');
	const {port: number} = port.address() as {port: number};
	const client = new RpcClient(`127.0.0.1:${number}`, secret);
	closers.push(async () => {
		await client.close();
		port.closeAllConnections();
		port.close();
	});
	const answer = await call(client, {method: 'echo'}, {});
	expect(answer).not.toBeInstanceOf(RpcCallError);
	expect(answer).toEqual(expected);
});
