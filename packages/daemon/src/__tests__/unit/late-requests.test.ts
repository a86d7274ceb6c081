/** Requests that have arrived at a closing port, but were not read or accepted yet. */
import {once} from 'node:events';
import {createServer} from 'node:http';
import type {ServerOptions} from 'node:http';
import {connect} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {setImmediate as nextTurn, setTimeout as sleep} from 'node:timers/promises';
import {expect, test} from 'vitest';
import {DrainablePort} from '../../fleet/drainable-port.js';
import {listenOn} from '../../listen.js';
import {ServerConnections} from '../../server-connections.js';

const closeMs = 1000;
const answerMs = 20;
/** Longer than a drained port is quiet, and than a closing one accepts connections. */
const stallMs = 500;
/** Connections that wait at once: more than a closing port accepts in two turns of the event loop. */
const waitingCallers = 20;
const request = 'GET / HTTP/1.1\r\nhost: a.example\r\n\r\n';

/** A caller's connection. */
class Caller {
	text = '';
	readonly closed: Promise<unknown>;
	readonly socket: Socket;

	constructor(port: number) {
		this.socket = connect(port, '127.0.0.1');
		this.socket.on('error', () => undefined);
		this.socket.on('data', (bytes: Uint8Array) => {
			this.text += bytes.toString();
		});
		this.closed = new Promise(resolve => {
			this.socket.once('close', resolve);
		});
	}

	get answers(): number {
		return this.text.split('HTTP/1.1 200').length - 1;
	}
}

/** Lets the event loop stand still. */
const stall = (): void => {
	const until = performance.now() + stallMs;
	while (performance.now() < until) {
		// Busy
	}
};

/** The first thing that it does as it closes takes long, as on a busy machine. */
class StalledConnections extends ServerConnections {
	stall: (() => void) | undefined;

	override setClosing(isClosing: boolean): void {
		super.setClosing(isClosing);
		this.stall?.();
	}
}

const openPort = async (options: ServerOptions = {}): Promise<{readonly connections: StalledConnections; readonly port: number}> => {
	const connections = new StalledConnections(createServer(options), (_req, res) => {
		setTimeout(() => {
			res.writeHead(200, {'content-length': 2});
			res.end('ok');
		}, answerMs);
	});
	await listenOn(connections.server, '127.0.0.1:0');
	return {connections, port: (connections.server.address() as AddressInfo).port};
};

const waitForAnswer = async (caller: Caller): Promise<void> => {
	while (caller.answers === 0) {
		await sleep(5); // eslint-disable-line no-await-in-loop
	}
};

const closers = [
	{
		name: 'the connections of a port',
		async close(connections: ServerConnections) {
			await connections.close(closeMs);
		},
	},
	{
		name: 'a port that is drained',
		async close(connections: ServerConnections) {
			await new DrainablePort(connections).close();
		},
	},
] as const;

const arrivals = [
	{
		name: 'on a connection that was idle',
		async prepare(port: number) {
			const caller = new Caller(port);
			caller.socket.write(request);
			await waitForAnswer(caller);
			caller.text = '';
			return caller;
		},
		send(_port: number, caller: Caller | undefined) {
			caller!.socket.write(request);
			return caller!;
		},
	},
	{
		name: 'on a connection without a request',
		async prepare(port: number) {
			const caller = new Caller(port);
			await once(caller.socket, 'connect');
			return caller;
		},
		send(_port: number, caller: Caller | undefined) {
			caller!.socket.write(request);
			return caller!;
		},
	},
	{
		name: 'on a connection that waits to be accepted',
		prepare: async () => undefined,
		send(port: number) {
			const caller = new Caller(port);
			caller.socket.write(request);
			return caller;
		},
	},
	{
		name: 'a moment later on a connection that waits to be accepted',
		prepare: async () => undefined,
		send(port: number) {
			const caller = new Caller(port);
			setTimeout(() => {
				caller.socket.write(request);
			}, 60);
			return caller;
		},
	},
] as const;

// Guards against requests that end without an answer because a busy process closes before it has read them
test.concurrent.each(closers.flatMap(closer => arrivals.map(arrival => ({closer, arrival, name: `${arrival.name}, at ${closer.name}`}))))('a request is answered that arrives as the port closes: $name', async ({closer, arrival}) => {
	const {connections, port} = await openPort();
	const idle = await arrival.prepare(port);
	const caller = arrival.send(port, idle);
	await closer.close(connections);
	await caller.closed;
	expect(caller.answers).toBe(1);
});

const pausedClosers = [
	...closers, {
		name: 'a port that has no time left',
		async close(connections: ServerConnections) {
			await connections.close(0);
		},
	},
] as const;

// Guards against requests that end without an answer because the event loop accepts one connection in a turn
test.each(pausedClosers)('the requests of all connections that wait to be accepted after a pause are answered, at $name', async ({close}) => {
	const {connections, port} = await openPort();
	const callers: Caller[] = [];
	connections.stall = () => {
		callers.push(...Array.from({length: waitingCallers}, () => new Caller(port)));
		for (const {socket} of callers) {
			socket.write(request);
		}

		stall();
	};

	await close(connections);
	await Promise.all(callers.map(async ({closed}) => closed));
	expect(callers.map(({answers}) => answers)).toEqual(callers.map(() => 1));
});

// Guards against requests that end without an answer because the process was paused while its port closed
test.each(pausedClosers)('a request is answered that arrives during a pause of a closing process, at $name', async ({close}) => {
	const {connections, port} = await openPort();
	const caller = new Caller(port);
	caller.socket.write(request);
	await waitForAnswer(caller);
	caller.text = '';
	connections.stall = () => {
		caller.socket.write(request);
		stall();
	};

	await close(connections);
	await caller.closed;
	expect(caller.answers).toBe(1);
});

// Guards against requests that end without an answer because a timeout of their idle connection ended while the process was paused
test.each([
	{name: 'an idle connection', isUsed: true},
	{name: 'a connection without a request', isUsed: false},
])('a request is answered that arrives during a pause of the process on $name', async ({isUsed}) => {
	const {connections, port} = await openPort({
		headersTimeout: stallMs / 2, requestTimeout: 0, connectionsCheckingInterval: stallMs / 4,
	});
	const accepted = once(connections.server, 'connection') as Promise<[Socket]>;
	const caller = new Caller(port);
	await once(caller.socket, 'connect');
	await sleep(stallMs / 10);
	if (isUsed) {
		caller.socket.write(request);
		await waitForAnswer(caller);
		caller.text = '';
		const [socket] = await accepted;
		socket.setTimeout(stallMs / 2);
	}

	// Timers come before the next poll phase
	await nextTurn();
	caller.socket.write(request);
	stall();
	await sleep(answerMs * 10);
	expect(caller.answers).toBe(1);
	connections.destroy();
});
