import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {afterAll, expect, test} from 'vitest';
import {STATUS, toId} from '@baobabpier/core';
import type {
	AttemptNumber, BackendId, DataCentreId, EngineId, ListedServer, RequestId, Route, ServiceName,
} from '@baobabpier/core';
import {HttpEngineClient} from '../../engine/http-engine-client.js';
import {CallScope} from '../../gateway/call-scope.js';
import {StreamBinding} from '../../gateway/stream-binding.js';
import {StreamRun} from '../../gateway/stream-run.js';
import {FleetView} from '../../gateway/fleet-view.js';
import {headerValue} from '../../gateway/raw-headers.js';
import {PlatformWatcher} from '../../platform-watcher.js';
import {RpcCallError, RpcClient} from '../../rpc/rpc-client.js';
import {BufferAccount} from '../../transport/buffer-account.js';
import {ServerTransport} from '../../transport/server-transport.js';
import type {TransportFailure} from '../../transport/types.js';
import type {StreamProgress} from '../../gateway/stream-progress.js';
import type {Call, ServerDialect} from '../../gateway/types.js';
import {monotonicClock} from '../../monotonic-clock.js';
import {createIdleGuard} from './idle-guard.js';
import {openPath} from './open-path.js';

const transport = new ServerTransport({maxConnectionsTo: () => 2, readResponseId: headers => headerValue(headers, 'x-id')});
const servers: Server[] = [];
const mebibyte = 1024 * 1024;
const block = Buffer.alloc(64 * 1024, 'x');

const requestIdOf = (text: string): string => /^x-request-id: (?<id>.*)$/imv.exec(text)?.groups?.id?.trim() ?? '';

/** Starts a server that sends `head`, then `part` repeatedly until the client closes the connection; counts the bytes of the parts. */
const startUnboundedServer = async (head: string, part: Uint8Array, pauseMs = 0, namesRequest = false): Promise<{readonly address: string; readonly sent: () => number; readonly closed: Promise<unknown>}> => {
	let sent = 0;
	let close: (value: unknown) => void;
	const closed = new Promise(resolve => {
		close = resolve;
	});
	const serve = async (socket: Socket): Promise<void> => {
		socket.on('error', () => undefined);
		socket.once('close', close);
		const [request] = await once(socket, 'data') as [Uint8Array];
		socket.write(namesRequest ? head.replace('\r\n', `\r\nx-request-id: ${requestIdOf(Buffer.from(request).toString())}\r\n`) : head);
		while (!socket.destroyed) {
			sent += part.length;
			const canWriteMore = socket.write(part);
			const drained = canWriteMore
				? sleep(pauseMs)
				: new Promise(resolve => {
					socket.once('drain', resolve);
				});
			// eslint-disable-next-line no-await-in-loop
			await Promise.race([drained, closed]);
		}
	};

	const server = createServer(socket => {
		void serve(socket);
	});
	servers.push(server);
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return {address: `127.0.0.1:${(server.address() as AddressInfo).port}`, sent: () => sent, closed};
};

afterAll(async () => {
	await transport.close();
	for (const server of servers) {
		server.close();
	}
});

const chunk = Buffer.concat([Buffer.from('10000\r\n'), block, Buffer.from('\r\n')]);

test.each([
	{name: 'a status line', head: 'HTTP/1.1 200 ', part: block},
	{name: 'interim responses', head: '', part: Buffer.from('HTTP/1.1 103 Early Hints\r\n\r\n'.repeat(500))},
	{name: 'header fields', head: 'HTTP/1.1 200 OK\r\n', part: Buffer.from('x-filler: 1\r\n'.repeat(500))},
	{name: 'bytes that are not an HTTP head', head: '', part: block},
	{name: 'chunk extensions', head: 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1;', part: block},
	{name: 'small chunk extensions', head: 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n', part: Buffer.from(`1;${'x'.repeat(1000)}\r\ny\r\n`.repeat(50))},
	{name: 'trailers', head: 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n', part: Buffer.from('x-filler: 1\r\n'.repeat(500))},
	{name: 'a chunked body', head: 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n', part: chunk},
	{name: 'a body without a length', head: 'HTTP/1.1 200 OK\r\n\r\n', part: block},
])('$name without end: the response is cut off within a limit and the connection is closed', async ({head, part}) => {
	const server = await startUnboundedServer(head, part);
	const before = process.memoryUsage.rss();
	const response = await transport.sendRequest({
		kind: 'run', binding: {kind: 'ownConnection'}, address: server.address, method: 'GET', target: '/', headers: [], body: undefined, signal: AbortSignal.timeout(5000),
	});
	const outcome = response.kind === 'head' ? await transport.readBody(response) : response;
	expect('kind' in outcome && outcome.kind).toBe('broken');
	await server.closed;
	expect(server.sent()).toBeLessThan(32 * mebibyte);
	expect(process.memoryUsage.rss() - before).toBeLessThan(96 * mebibyte);
});

const calls = [
	{
		name: 'a call of a peer',
		async call(address: string) {
			const client = new RpcClient(address, 'secret');
			await expect(client.call(STATUS, {}, 5000)).rejects.toThrow(RpcCallError);
			await client.close();
		},
	},
	{
		name: 'the report of an engine',
		async call(address: string) {
			const client = new HttpEngineClient(toId<EngineId>('e1'), address);
			const report = await client.report();
			expect(report.err && report.val.kind).toBe('lost');
			await client.close();
		},
	},
	{
		name: 'the events of an engine',
		async call(address: string) {
			const client = new HttpEngineClient(toId<EngineId>('e1'), address);
			const hold = {requestId: toId<RequestId>('r1'), attempt: toId<AttemptNumber>(1)};
			await expect(client.resume(hold, 0, AbortSignal.timeout(5000)).next()).rejects.toThrow('lost');
			await client.close();
		},
	},
	{
		name: 'the platform\'s list',
		async call(address: string) {
			const failed = new Promise<void>(resolve => {
				const watcher = new PlatformWatcher(address, {
					onList: () => undefined, onListFailed() {
						void watcher.stop().then(resolve);
					},
				});
				watcher.start();
			});
			await failed;
		},
	},
] as const;

// Guards against processes that end out of memory before a body without end, at the product's own interface
test.each(calls)('$name before a body without end fails within a limit', async ({call}) => {
	const server = await startUnboundedServer('HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n', chunk, 0, true);
	await call(server.address);
	await server.closed;
	expect(server.sent()).toBeLessThan(64 * mebibyte);
});

// Guards against many bodies that are each within the limit and together take the memory of the process
test('many bodies without end at once find room for a limited number of bytes, and small bodies are read beside them', async () => {
	const buffers = new BufferAccount(16 * mebibyte);
	const bounded = new ServerTransport({maxConnectionsTo: () => 64, readResponseId: () => undefined, buffers});
	const head = 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n';
	const unbounded = await Promise.all(Array.from({length: 40}, async () => startUnboundedServer(head, chunk)));
	const small = await startUnboundedServer('HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n', Buffer.from('x'), 1);
	const before = process.memoryUsage.rss();
	let most = 0;
	const timer = setInterval(() => {
		most = Math.max(most, buffers.bytes);
	}, 1);
	const read = async (address: string): Promise<Uint8Array | TransportFailure> => {
		const response = await bounded.sendRequest({
			kind: 'run', binding: {kind: 'ownConnection'}, address, method: 'GET', target: '/', headers: [], body: undefined, signal: AbortSignal.timeout(5000),
		});
		return response.kind === 'head' ? bounded.readBody(response) : response;
	};

	const [sound, ...outcomes] = await Promise.all([small, ...unbounded].map(async ({address}) => read(address)));
	clearInterval(timer);
	await bounded.close();
	expect(sound).toHaveLength(10);
	expect(outcomes.map(outcome => 'kind' in outcome && outcome.kind)).toEqual(unbounded.map(() => 'broken'));
	expect(most).toBeLessThanOrEqual(17 * mebibyte);
	expect(buffers.bytes).toBe(0);
	expect(process.memoryUsage.rss() - before).toBeLessThan(160 * mebibyte);
});

const dialect = {
	sendHeaders: () => [],
	readHead: (status: number, rawHeaders: readonly string[]) => ({
		status, rawHeaders, isAuthentic: true, isMisdirected: false, isNotExecuted: false, isEncoded: false, load: undefined,
	}),
} as unknown as ServerDialect;

const resumableRoute = {resumable: true, targetGapMs: 300} as unknown as Route;
const streamHead = 'HTTP/1.1 200 OK\r\nx-id: r1\r\ntransfer-encoding: chunked\r\n\r\n';

test.each([
	{
		name: 'an event without end is cut off', part: chunk, pauseMs: 0, stage: 'broken', outcome: 'broken', detail: 'an event is over', withinMs: 2000,
	},
	{
		name: 'occasional bytes that complete no event counts as silent, and is cut off once another run serves the caller', part: Buffer.from('1\r\n:\r\n'), pauseMs: 200, stage: 'silent', outcome: 'superseded', detail: 'another run', withinMs: 3500,
	},
])('a stream of $name', async ({part, pauseMs, stage, outcome, detail, withinMs}) => {
	const server = await startUnboundedServer(streamHead, part, pauseMs);
	const now = monotonicClock.now();
	const call = {
		requestId: 'r1', method: 'POST', target: '/', rawHeaders: [], body: new Uint8Array(0), route: resumableRoute, arrivedAt: now, deadlineAt: (now + 20_000) as typeof now, lastEventId: undefined, sharedSegments: [],
	} as unknown as Call;
	const scope = new CallScope(monotonicClock, call.deadlineAt);
	const progress = {
		call, scope, binding: new StreamBinding(undefined, async () => undefined), runs: new Set(), sentTo: new Set(), sent: 0, events: 0, failed: [], served: [], lastEventId: undefined, out: {
			isStarted: false, start: () => undefined, write: () => undefined, end: () => undefined, abort: () => undefined,
		},
	} as unknown as StreamProgress;
	const engine: ListedServer = {
		id: toId<BackendId>('e1'), address: server.address, service: toId<ServiceName>('lm'), dataCentre: toId<DataCentreId>('a'), slots: 8, leaving: false, role: 'decode',
	};
	const run = new StreamRun({
		fleet: new FleetView(monotonicClock), transport, dialect, guard: createIdleGuard(), path: openPath, clock: monotonicClock,
	}, progress, {server: engine, purpose: {kind: 'run'}, onFirstEvent: () => undefined});
	const {kind} = await run.nextStage();
	run.supersede();
	const ended = await run.outcome;
	expect([kind, ended.kind, 'detail' in ended && ended.detail.startsWith(detail), progress.failed]).toEqual([stage, outcome, true, ['e1']]);
	await server.closed;
	expect(monotonicClock.now() - now).toBeLessThan(withinMs);
});
