import {
	addMs, ORIGIN_FIND, ORIGIN_RECORD, toId,
} from '@baobabpier/core';
import type {
	InstanceId, OriginRecord, RequestId, ServiceName, SoftwareVersion,
} from '@baobabpier/core';
import {
	afterEach, expect, test,
} from 'vitest';
import {openPort} from '../../listen.js';
import {monotonicClock} from '../../monotonic-clock.js';
import {Peers} from '../../rpc/peers.js';
import {RpcServer} from '../../rpc/rpc-server.js';
import {OriginDirectory} from '../../streams/origin-directory.js';
import {OriginHost} from '../../streams/origin-host.js';

const secret = 's';
const closers: Array<() => Promise<void> | void> = [];
afterEach(async () => {
	await Promise.all(closers.splice(0).map(async close => close()));
});

const startHost = async (address = '127.0.0.1:0', isSilent = false): Promise<{readonly id: InstanceId; readonly host: OriginHost; readonly stop: () => void}> => {
	const rpc = new RpcServer(secret);
	const host = new OriginHost(monotonicClock);
	if (isSilent) {
		const never = async (): Promise<never> => new Promise(() => {
			// It never answers
		});
		rpc.registerMethod(ORIGIN_RECORD, never);
		rpc.registerMethod(ORIGIN_FIND, never);
	} else {
		host.start(rpc);
	}

	const port = await openPort(rpc.app, address);
	const {port: number} = port.address() as {port: number};
	const stop = (): void => {
		port.closeAllConnections();
		port.close();
	};

	closers.push(stop);
	return {id: toId<InstanceId>(`127.0.0.1:${number}`), host, stop};
};

const createDirectory = (hosts: readonly InstanceId[]): OriginDirectory => {
	const peers = new Peers([], secret, id => id);
	const directory = new OriginDirectory({peers, clock: monotonicClock, hosts: () => hosts});
	closers.push(async () => {
		directory.stop();
		await peers.close();
	});
	return directory;
};

const begun = {service: toId<ServiceName>('lm'), softwareVersion: toId<SoftwareVersion>('v1')};
const origin = (text: string): OriginRecord => ({...begun, requestId: toId<RequestId>(text), ttlMs: 20_000});
const downAddress = toId<InstanceId>('127.0.0.1:9');

/** Waits until a host has as many origins. */
const untilSize = async (host: OriginHost, size: number): Promise<void> => {
	const deadline = addMs(monotonicClock.now(), 5000);
	while (host.size < size && monotonicClock.now() < deadline) {
		await new Promise(resolve => { // eslint-disable-line no-await-in-loop
			setTimeout(resolve, 20);
		});
	}

	expect(host.size).toBe(size);
};

test.each([
	{
		name: 'all hosts answer', silent: 0, down: 0, withinMs: 100,
	},
	{
		name: 'one host is silent', silent: 1, down: 0, withinMs: 100,
	},
	{
		name: 'one host is silent and one is down', silent: 1, down: 1, withinMs: 100,
	},
])('an origin is found elsewhere at once: $name', async ({silent, down, withinMs}) => {
	const started = await Promise.all(Array.from({length: 3 - down}, async (_, index) => startHost(undefined, index < silent)));
	const hosts = [...started.map(({id}) => id), ...Array.from({length: down}, () => downAddress)];
	const startedAt = monotonicClock.now();
	await createDirectory(hosts).record(origin('a'));
	expect(started.some(({host}) => host.size === 1)).toBe(true);
	expect(await createDirectory(hosts).lookup(toId<RequestId>('a'))).toEqual(begun);
	expect(monotonicClock.now() - startedAt).toBeLessThan(withinMs);
});

test.each([
	{name: 'no host is up', hosts: async () => [downAddress]},
	{name: 'no host answers', hosts: async () => [(await startHost(undefined, true)).id]}, // eslint-disable-line unicorn/no-await-expression-member
	{name: 'no host is known', hosts: async (): Promise<readonly InstanceId[]> => []},
])('a stream goes on where $name, and is not known elsewhere', async ({hosts}) => {
	const known = await hosts();
	const directory = createDirectory(known);
	const startedAt = monotonicClock.now();
	await directory.record(origin('a'));
	expect(monotonicClock.now() - startedAt).toBeLessThan(300);
	expect(await directory.lookup(toId<RequestId>('a'))).toEqual(begun);
	expect(await createDirectory(known).lookup(toId<RequestId>('a'))).toBeUndefined();
});

test('a host that starts again is told all that it lost', async () => {
	const first = await startHost();
	const directory = createDirectory([first.id]);
	for (const text of ['a', 'b', 'c']) {
		await directory.record(origin(text)); // eslint-disable-line no-await-in-loop
	}

	first.stop();
	const second = await startHost(first.id);
	await directory.record(origin('d'));
	await untilSize(second.host, 4);
	expect(await createDirectory([second.id]).lookup(toId<RequestId>('a'))).toEqual(begun);
});

test('a host that was down is told what it missed', async () => {
	const first = await startHost();
	first.stop();
	const directory = createDirectory([first.id]);
	await Promise.all(['a', 'b'].map(async text => directory.record(origin(text))));
	const second = await startHost(first.id);
	await untilSize(second.host, 2);
});
