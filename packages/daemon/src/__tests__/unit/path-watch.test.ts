/** Whether failures of servers may come from a lost path, with a server that listens or not. */
import {once} from 'node:events';
import {createServer} from 'node:net';
import type {AddressInfo, Server} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {createSeededRandom, toId} from '@baobabpier/core';
import type {
	BackendId, DataCentreId, ListedServer, ServiceName,
} from '@baobabpier/core';
import {
	afterEach, beforeEach, expect, test,
} from 'vitest';
import {monotonicClock} from '../../monotonic-clock.js';
import {PathWatch} from '../../relay/path-watch.js';

const id = toId<BackendId>('s');
let server: Server;
let port: number;
let path: PathWatch;
let changes: boolean[];

const listen = async (): Promise<void> => {
	server = createServer().listen(port, '127.0.0.1');
	await once(server, 'listening');
	({port} = server.address() as AddressInfo);
};

beforeEach(async () => {
	port = 0;
	await listen();
	changes = [];
	const listed: ListedServer = {
		id, address: `127.0.0.1:${port}`, service: toId<ServiceName>('lm'), dataCentre: toId<DataCentreId>('a'),
	} as unknown as ListedServer;
	path = new PathWatch({
		clock: monotonicClock, random: createSeededRandom(1), servers: () => [listed], onChange(isCut) {
			changes.push(isCut);
		},
	});
	path.start();
});
afterEach(() => {
	path.stop();
	server.close();
});

const losePath = async (): Promise<void> => {
	server.close();
	path.recordFailure(id);
	await path.settled();
};

const regainPath = async (): Promise<void> => {
	await listen();
	while (path.isCut) {
		await sleep(20); // eslint-disable-line no-await-in-loop
	}
};

test.each<{readonly name: string; readonly between: () => Promise<void>; readonly changes: readonly boolean[]; readonly explains: boolean; readonly explainsLater: boolean}>([
	{
		name: 'a server that is reached', async between() {
			path.recordFailure(id);
		}, changes: [], explains: false, explainsLater: false,
	},
	{
		name: 'a lost path', between: losePath, changes: [true], explains: true, explainsLater: true,
	},
	{
		name: 'a path that was lost for a while', async between() {
			await losePath();
			await regainPath();
		}, changes: [true, false], explains: true, explainsLater: false,
	},
])('failures beside $name', async ({between, changes: expected, explains, explainsLater}) => {
	const since = monotonicClock.now();
	await between();
	expect([await path.explainsFailures(since), await path.explainsFailures(monotonicClock.now()), changes]).toEqual([explains, explainsLater, expected]);
});
