/**
 * The connections of an HTTP server. Handlers get the requests of a connection one after another, and nothing but the
 * refusal of bytes that are no request is written to a connection outside a handler's response.
 */
import {Buffer} from 'node:buffer';
import {STATUS_CODES} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {Server as NetServer} from 'node:net';
import type {Socket} from 'node:net';
import {setImmediate as nextTurn, setTimeout as sleep} from 'node:timers/promises';
import {
	errorResponses, isDenseBody, routerError, toErrorBody,
} from '@baobabpier/core';
import type {
	ConnectionHandle, ConnectionPort, ErrorKind, PortBounds,
} from '@baobabpier/core';
import {CountedLog} from './counted-log.js';
import {createLog} from './log.js';
import {acceptTurns} from './transport/accept-turns.js';
import {clientConnections, metLimits} from './transport/client-connections.js';
import {coalesceBody} from './transport/coalesced-body.js';
import {pacedReading} from './transport/paced-reading.js';
import type {PacedReader, ParseCounts} from './transport/paced-reading.js';

const log = createLog('connections');
const failedTunnels = new CountedLog(log, 'A connection failed after a request for a tunnel, which was refused.');
/** Maximum number of connections of a port that are read on behind their last response: what is read takes memory until the next garbage collection. */
const maxLingering = 8;
/** Time that a refused caller has to close its side, in milliseconds. */
const lingerMs = 2000;
/** Idle timeout, while the server is closing, of a connection whose last response did not announce that, in milliseconds. */
const closingIdleTimeoutMs = 500;
/** An idle connection is closed this much later than its last response announced, in milliseconds, as Node.js does it. */
const idleMarginMs = 1000;
/** Time that a new connection has for its first request while the server closes, in milliseconds: more than the round trip to most callers. */
const firstRequestMs = 200;
/** Interval at which that is checked, in milliseconds. */
const firstRequestCheckMs = 10;
/** Longest time for which a closing server still accepts connections, in milliseconds. */
const maxAcceptMs = 300;
/** Least time to answer what has arrived by the end of that, in milliseconds: the process may have been paused meanwhile. */
const minAnswerMs = 100;

/** Requests of a connection that may wait for the responses before them: callers rarely send more than a few ahead. */
const maxWaitingRequests = 16;
/** Chunks of a body between checks of their size. */
const chunksPerCheck = 200;
/** Bytes of requests that wait behind another on their connection, beyond which the connection is read no further. */
const maxWaitingBytes = 16 * 1024;
/** Longest body that is read though its response is sent already, so that its connection can be kept, in bytes. */
const maxShortBodyBytes = 16 * 1024;
/** Time after which a response is broken off whose caller reads nothing of it, in milliseconds. */
const defaultStallTimeoutMs = 30_000;
/** Time after which the connection of such a caller gives way to others, in milliseconds. */
const unreadMs = 1000;
/** Interval in which responses are checked for that while connections have to give way, in milliseconds. */
const unreadCheckMs = 100;
/** Bounds of a port that sets none: those of the process hold. */
const noBounds: PortBounds = {guaranteed: 0, max: Number.POSITIVE_INFINITY};

/** Thrown into the body of a request whose further bytes are no part of a request. */
export class MalformedBodyError extends Error {
	override readonly name = 'MalformedBodyError';
}

/** Handles a request that waited for `waitedMs` milliseconds for the responses before it on its connection. */
export type RequestHandler = (req: IncomingMessage, res: ServerResponse, waitedMs: number) => void;

type Exchange = {
	readonly req: IncomingMessage;
	readonly res: ServerResponse;
	readonly receivedAt: number;
	/** Idle timeout that the response announces, in milliseconds. */
	readonly announcedIdleMs: number;
	/** Whether the handler has the request. */
	isHandled: boolean;
};

type Connection = {
	readonly openedAt: number;
	/** Reads in place of the HTTP server; undefined while that reads itself. */
	reader: PacedReader | undefined;
	readonly counts: ParseCounts;
	readonly handle: ConnectionHandle;
	/** Whether a request has come. */
	isUsed: boolean;
	/** Bytes that had been read when the last response was over: what has been read since is the part of a head. */
	idleBytesRead: number;
	isLingering: boolean;
	/** Whether its client has read nothing of the response for a while. */
	isUnread: boolean;
	/** Bytes that had been parsed when a request began to wait behind another one; undefined while none does. */
	waitingFrom: number | undefined;
	/** What waited to be sent when that was checked, and since when it has not changed. */
	unsent: {readonly bytes: number; readonly sent: number; readonly since: number} | undefined;
	/** Requests whose responses have not been sent completely; only the first one has reached the handler. */
	readonly exchanges: Exchange[];
	/** Why the bytes after the last request were refused. */
	refusal: ErrorKind | undefined;
};

/** Whether a request has a body that costs less to read than a new connection costs its client. */
export const isShortBody = ({headers}: IncomingMessage): boolean => headers['transfer-encoding'] === undefined && Number(headers['content-length'] ?? 0) <= maxShortBodyBytes;

const kindOf = (code: string | undefined): ErrorKind => {
	switch (code) {
		case 'HPE_HEADER_OVERFLOW': {
			return 'headersTooLarge';
		}

		case 'ERR_HTTP_REQUEST_TIMEOUT': {
			return 'requestTimeout';
		}

		default: {
			return 'malformedRequest';
		}
	}
};

const toRawResponse = (kind: ErrorKind): string => {
	const {status} = errorResponses[kind];
	const body = JSON.stringify(toErrorBody(routerError(kind)));
	const head = [`HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}`, 'content-type: application/json', `content-length: ${Buffer.byteLength(body)}`, 'connection: close'];
	return `${head.join('\r\n')}\r\n\r\n${body}`;
};

/**
 * Ends a response such that the caller detects it as incomplete, and gets what was written of it until now. Only the end of the connection marks the end of a body
 * without length and chunks, so that connection is reset.
 *
 * @example
 * breakOff(res);
 */
export const breakOff = (res: ServerResponse): void => {
	// Node.js holds back what was written in this turn of the event loop, the head included
	while (res.socket !== null && res.socket.writableCorked > 0) {
		res.socket.uncork();
	}

	if (res.chunkedEncoding || res.socket === null) {
		res.destroy();
	} else {
		res.socket.resetAndDestroy();
	}
};

/**
 * Tracks the connections of a server and orders what is written to them.
 *
 * @example
 * const connections = new ServerConnections(createServer(), (req, res) => res.end('hello'));
 * await connections.close(1000); // Waits for responses in progress for one second
 */
export class ServerConnections {
	readonly #connections = new Map<Socket, Connection>();
	readonly #idleWaiters = new Set<() => void>();
	#active = 0;
	/** Number of connections accepted so far. */
	#opened = 0;
	#isClosing = false;
	#stallTimeoutMs = defaultStallTimeoutMs;
	readonly #port: ConnectionPort;
	readonly #sockets = new Map<ConnectionHandle, Socket>();
	#unreadCheckedAt = 0;
	/** Connections that are read on behind their last response. */
	#lingering = 0;

	constructor(readonly server: Server, private readonly handler: RequestHandler, bounds = noBounds) {
		this.#port = clientConnections.openPort(bounds);
		const unregister = pacedReading.registerServer(() => {
			for (const [socket, connection] of this.#connections) {
				this.#attach(socket, connection);
			}
		});
		server.once('close', () => {
			unregister();
			clientConnections.closePort(this.#port);
		});
		server.on('connection', socket => {
			this.#open(socket);
		});
		server.on('request', (req, res) => {
			this.#receive(req, res);
		});
		server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
			this.#refuse(socket as Socket, error.code, error.message);
		});
		server.on('timeout', (socket: Socket) => {
			this.#handleTimeout(socket);
		});
		server.on('connect', (_req, socket) => {
			// Node.js has taken its own listener off
			socket.on('error', error => {
				failedTunnels.add({detail: error.message});
			});
			// Node.js has stopped reading the connection, and its parser serves another one soon
			this.#connections.get(socket as Socket)?.reader?.detach();
			socket.resume();
			this.#refuse(socket as Socket, undefined, 'tunnels are not supported');
		});
	}

	/** Number of requests whose responses have not been sent completely. */
	get active(): number {
		return this.#active;
	}

	/**
	 * Sets whether each response closes its connection; requests behind that response are not served. A connection whose
	 * response has already begun is closed with the next one, or when it is idle.
	 */
	setClosing(isClosing: boolean): void {
		this.#isClosing = isClosing;
		for (const {exchanges} of this.#connections.values()) {
			for (const {res} of exchanges) {
				res.shouldKeepAlive &&= !isClosing;
			}
		}
	}

	/**
	 * Sets how many connections are kept at a time. A further one displaces the one that is the least likely to be an ordinary client's, so that clients that open
	 * connections and send nothing on them keep nobody else out; it is closed itself where there is none.
	 */
	setBounds(bounds: PortBounds): void {
		this.#port.setBounds(bounds);
	}

	/** Whether bytes of a response wait for a caller to read them. */
	get isSending(): boolean {
		return [...this.#connections].some(([socket, {exchanges}]) => exchanges.length > 0 && socket.writableLength > 0);
	}

	/** Sets the time after which a response is broken off whose caller reads nothing of it, in milliseconds. */
	setStallTimeout(ms = defaultStallTimeoutMs): void {
		this.#stallTimeoutMs = ms;
		for (const [socket, {exchanges}] of this.#connections) {
			if (exchanges.length > 0) {
				socket.setTimeout(ms);
			}
		}
	}

	/** Resolves once no response is in progress, or after `ms` milliseconds. */
	async waitUntilIdle(ms: number): Promise<void> {
		if (this.#active === 0) {
			return;
		}

		await new Promise<void>(resolve => {
			const end = (): void => {
				clearTimeout(timer);
				this.#idleWaiters.delete(end);
				resolve();
			};

			const timer = setTimeout(end, ms);
			this.#idleWaiters.add(end);
		});
	}

	/**
	 * Closes all connections after their responses, and refuses new ones, within about `ms` milliseconds at the latest. What callers
	 * have sent by then still reaches the handler: a busy process has connections to accept and requests to read that it does not know of.
	 */
	async close(ms: number): Promise<void> {
		const startedAt = performance.now();
		this.setClosing(true);
		await this.#finishArrived(startedAt + Math.min(ms, maxAcceptMs));
		// The event loop accepts one connection in a turn; those that still wait when the port stops listening are reset
		await this.#readArrived(Math.max(startedAt + ms, performance.now() + minAnswerMs), () => this.#opened);
		this.#stopListening();
		await this.#finishArrived(Math.max(startedAt + ms, performance.now() + minAnswerMs));
		if (this.#active > 0) {
			log('The responses in progress are broken off.', {active: this.#active, closingMs: Math.round(performance.now() - startedAt)});
		}

		this.destroy();
	}

	/** Closes all connections at once; responses in progress are broken off. */
	destroy(): void {
		this.#stopListening();
		for (const [socket, {exchanges}] of this.#connections) {
			const [first] = exchanges;
			if (first !== undefined) {
				breakOff(first.res);
			}

			socket.destroy();
		}
	}

	/** Reads and answers what callers have sent until now. */
	async #finishArrived(deadline: number): Promise<void> {
		await this.#readArrived(deadline);
		while (performance.now() < deadline && this.#awaitsFirstRequest()) {
			// eslint-disable-next-line no-await-in-loop
			await sleep(firstRequestCheckMs);
		}

		await this.waitUntilIdle(deadline - performance.now());
		await this.#readArrived(deadline);
		await this.waitUntilIdle(deadline - performance.now());
	}

	/** Lets the event loop accept and read until nothing more has arrived, which `count` tells. */
	async #readArrived(deadline: number, count = () => this.#received): Promise<void> {
		let before: number;
		do {
			before = count();
			// A whole poll phase lies between two turns
			// eslint-disable-next-line no-await-in-loop
			await nextTurn();
			// eslint-disable-next-line no-await-in-loop
			await nextTurn();
		} while (count() !== before && performance.now() < deadline);
	}

	/** Changes with each connection that is accepted and each byte that is parsed. */
	get #received(): number {
		return [...this.#connections].reduce((sum, [{bytesRead}, {reader}]) => sum + bytesRead - (reader?.heldBytes ?? 0), this.#opened);
	}

	#awaitsFirstRequest(): boolean {
		const now = performance.now();
		return [...this.#connections].some(([{bytesRead}, {openedAt}]) => bytesRead === 0 && now - openedAt < firstRequestMs);
	}

	/** Stops accepting connections. The `close` of an HTTP server would also break off responses that are ended but not sent. */
	#stopListening(): void {
		NetServer.prototype.close.call(this.server);
	}

	#open(socket: Socket): void {
		this.#opened += 1;
		acceptTurns.recordAccept();
		const handle = this.#admit();
		if (handle === undefined) {
			socket.destroy();
			return;
		}

		const connection: Connection = {
			openedAt: performance.now(), reader: undefined, counts: {chunks: 0, requests: 0}, handle, isUsed: false, idleBytesRead: 0, isLingering: false, isUnread: false, waitingFrom: undefined, unsent: undefined, exchanges: [], refusal: undefined,
		};
		this.#connections.set(socket, connection);
		this.#sockets.set(handle, socket);
		if (pacedReading.isNeeded) {
			this.#attach(socket, connection);
		}

		const destroySoon = socket.destroySoon.bind(socket);
		// Node.js calls it when a response that closes its connection is sent
		socket.destroySoon = () => {
			if (connection.exchanges[0]?.req.complete === false && this.#lingering < maxLingering) {
				this.#linger(socket, connection);
			} else {
				destroySoon();
			}
		};

		// A client that has closed its side gets the response that is ready before Node.js closes the other one
		socket.prependOnceListener('end', () => {
			const [first] = connection.exchanges;
			if (first !== undefined) {
				this.#handle(first);
			}
		});
		socket.once('close', () => {
			this.#forget(socket, connection);
		});
	}

	#attach(socket: Socket, connection: Connection): PacedReader {
		connection.reader ??= pacedReading.attach(socket, connection.counts);
		return connection.reader;
	}

	/** Makes room for a new connection; returns undefined where all others have more right to stay. */
	#admit(): ConnectionHandle | undefined {
		if (this.#port.isFull) {
			for (const [socket, connection] of this.#connections) {
				this.#updateStage(socket, connection);
			}
		}

		let admission = this.#port.admit();
		if (admission.kind === 'refused' && this.#markUnread()) {
			admission = this.#port.admit();
		}

		if (admission.kind === 'refused') {
			metLimits.refused.add({connections: this.#connections.size});
			return undefined;
		}

		if (admission.kind === 'displaces') {
			metLimits.displaced.add({connections: this.#connections.size, stage: admission.displaced.stage});
			const socket = this.#sockets.get(admission.displaced)!;
			this.#forget(socket, this.#connections.get(socket)!);
			socket.destroy();
		}

		return admission.handle;
	}

	#forget(socket: Socket, connection: Connection): void {
		this.#connections.delete(socket);
		this.#sockets.delete(connection.handle);
		this.#port.remove(connection.handle);
		this.#count(-connection.exchanges.length);
		connection.exchanges.length = 0;
	}

	/** Finds connections whose clients have read nothing of their responses for a while; returns whether there are any. */
	#markUnread(): boolean {
		const now = performance.now();
		if (now - this.#unreadCheckedAt < unreadCheckMs) {
			return false;
		}

		this.#unreadCheckedAt = now;
		let isAny = false;
		for (const [socket, connection] of this.#connections) {
			const {writableLength: bytes, bytesWritten: sent} = socket;
			const {unsent} = connection;
			const isStalled = bytes > 0 && unsent?.bytes === bytes && unsent.sent === sent;
			if (!isStalled) {
				connection.unsent = {bytes, sent, since: now};
			}

			connection.isUnread = isStalled && now - unsent.since >= unreadMs;
			isAny ||= connection.isUnread;
			this.#updateStage(socket, connection);
		}

		return isAny;
	}

	#updateStage(socket: Socket, {handle, exchanges: [first], idleBytesRead, isLingering, isUnread, isUsed}: Connection): void {
		if (isLingering) {
			this.#port.setStage(handle, 'closing');
		} else if (isUnread) {
			this.#port.setStage(handle, 'unread');
		} else if (first !== undefined) {
			this.#port.setStage(handle, first.req.complete || first.res.headersSent ? 'serving' : 'partialBody');
		} else if (socket.bytesRead > idleBytesRead) {
			this.#port.setStage(handle, 'partialHead');
		} else {
			this.#port.setStage(handle, isUsed ? 'idle' : 'silent');
		}
	}

	/** Stops reading a connection while what waits behind a request takes much memory: no reader bounds it. */
	#holdWaiting(socket: Socket, connection: Connection): void {
		if (connection.exchanges.length < 2) {
			return;
		}

		const parsedBytes = socket.bytesRead - (connection.reader?.heldBytes ?? 0);
		connection.waitingFrom ??= parsedBytes;
		if (parsedBytes - connection.waitingFrom > maxWaitingBytes) {
			this.#attach(socket, connection).setHeld(true);
		}
	}

	#receive(req: IncomingMessage, res: ServerResponse): void {
		const {socket} = req;
		const connection = this.#connections.get(socket);
		const body = {chunks: 0, bytes: 0};
		coalesceBody(req, bytes => {
			body.chunks += 1;
			body.bytes += bytes;
			if (connection !== undefined) {
				connection.counts.chunks += 1;
			}

			if (body.chunks % chunksPerCheck === 0 && isDenseBody(body)) {
				pacedReading.reportDense();
			}
		});
		if (connection === undefined || connection.refusal !== undefined || !socket.writable) {
			return;
		}

		// The parser drops the bytes behind a request for another protocol
		res.shouldKeepAlive &&= !this.#isClosing && req.headers.upgrade === undefined;
		if (this.#stallTimeoutMs > 0) {
			socket.setTimeout(this.#stallTimeoutMs);
		}

		connection.isUsed = true;
		connection.isUnread = false;
		connection.counts.requests += 1;
		if (connection.exchanges.length >= maxWaitingRequests) {
			metLimits.ahead.add({waiting: connection.exchanges.length});
			pacedReading.reportDense();
			connection.refusal = 'overloaded';
			socket.pause();
			return;
		}

		const exchange: Exchange = {
			req, res, receivedAt: performance.now(), announcedIdleMs: this.server.keepAliveTimeout, isHandled: false,
		};
		connection.exchanges.push(exchange);
		this.#count(1);
		this.#updateStage(socket, connection);
		this.#holdWaiting(socket, connection);
		res.once('finish', () => {
			// Node.js would parse the rest of the body, however long it is
			if (res.shouldKeepAlive && !req.complete && !isShortBody(req)) {
				this.#linger(socket, connection);
			}
		});
		res.once('close', () => {
			if (connection.exchanges[0] === exchange) {
				connection.exchanges.shift();
				this.#count(-1);
				connection.idleBytesRead = socket.bytesRead;
				this.#advance(socket, connection, exchange);
				this.#updateStage(socket, connection);
			}
		});
		if (connection.exchanges.length === 1) {
			acceptTurns.run(() => {
				if (connection.exchanges[0] === exchange) {
					this.#handle(exchange);
				}
			});
		}
	}

	/** Passes a request to the handler, unless it has it. */
	#handle(exchange: Exchange, waitedMs = 0): void {
		if (!exchange.isHandled) {
			exchange.isHandled = true;
			this.handler(exchange.req, exchange.res, waitedMs);
		}
	}

	/** Closes a connection that is idle, or whose caller reads nothing; a response that has nothing to send yet goes on. */
	#handleTimeout(socket: Socket): void {
		const connection = this.#connections.get(socket);
		const [first] = connection?.exchanges ?? [];
		if (first === undefined) {
			void this.#closeUnused(socket, connection);
		} else if (socket.writableLength > 0) {
			void this.#breakOffUnread(socket, first.res);
		}
	}

	/** Breaks off a response of which nothing is sent: after a pause of the process its timeout ends before it sends. */
	async #breakOffUnread(socket: Socket, res: ServerResponse): Promise<void> {
		const {writableLength, bytesWritten} = socket;
		await nextTurn();
		await nextTurn();
		if (socket.writableLength === writableLength && socket.bytesWritten === bytesWritten && !res.destroyed) {
			metLimits.unread.add({unreadBytes: writableLength});
			breakOff(res);
		}
	}

	/** Goes on with what came behind a response that is over. */
	#advance(socket: Socket, connection: Connection, {res: {writableFinished}, announcedIdleMs}: Exchange): void {
		const [next] = connection.exchanges;
		connection.waitingFrom = undefined;
		connection.reader?.setHeld(false);
		if (!writableFinished || socket.destroyed || !socket.writable) {
			return;
		}

		if (next !== undefined) {
			this.#handle(next, performance.now() - next.receivedAt);
		} else if (connection.refusal !== undefined) {
			this.#end(socket, toRawResponse(connection.refusal));
		} else if (this.#isClosing) {
			// The response began before the close could be announced, and its caller may send the next request already
			socket.setTimeout(closingIdleTimeoutMs);
		} else if (announcedIdleMs > this.server.keepAliveTimeout) {
			// Node.js applies the timeout that is set now, which may have been lowered since
			socket.setTimeout(announcedIdleMs + idleMarginMs);
		}
	}

	/** Closes a connection on which nothing has arrived: after a pause of the process its timeout ends before it reads. */
	async #closeUnused(socket: Socket, connection: Connection | undefined): Promise<void> {
		const {bytesRead} = socket;
		await nextTurn();
		await nextTurn();
		if (socket.bytesRead === bytesRead && (connection?.reader?.heldBytes ?? 0) === 0 && (connection?.exchanges.length ?? 0) === 0) {
			socket.destroy();
		}
	}

	#refuse(socket: Socket, code: string | undefined, detail: string): void {
		const connection = this.#connections.get(socket);
		const isAnswering = (connection?.exchanges.length ?? 0) > 0;
		const hasLeft = code === 'ECONNRESET' || (code === 'HPE_INVALID_EOF_STATE' && isAnswering);
		const isUnused = code === 'ERR_HTTP_REQUEST_TIMEOUT' && socket.bytesRead === 0;
		if (isUnused) {
			void this.#closeUnused(socket, connection);
			return;
		}

		if (connection === undefined || !socket.writable || hasLeft) {
			socket.destroy();
			return;
		}

		// The parser reports each chunk after the first malformed one
		if (connection.refusal !== undefined) {
			return;
		}

		connection.refusal = kindOf(code);
		metLimits.malformed.add({kind: connection.refusal, detail, isAnswering});
		socket.once('end', () => {
			socket.destroy();
		});
		this.#breakOffBody(connection, detail);
		if (!isAnswering) {
			this.#end(socket, toRawResponse(connection.refusal));
		}
	}

	/** Ends the body of the last request, of which the parser reads no more; a request that has not reached the handler is refused instead. */
	#breakOffBody({exchanges}: Connection, detail: string): void {
		const req = exchanges.at(-1)?.req;
		if (req === undefined || req.complete) {
			return;
		}

		if (exchanges.length > 1) {
			exchanges.pop();
			this.#count(-1);
			return;
		}

		this.#handle(exchanges[0]!);
		if (req.listenerCount('error') > 0) {
			req.emit('error', new MalformedBodyError(detail));
		}
	}

	/** Closes a connection after a response to a request that was not read whole: unread bytes would reset it before the response has arrived. */
	#linger(socket: Socket, connection: Connection): void {
		connection.isLingering = true;
		this.#lingering += 1;
		socket.once('close', () => {
			this.#lingering -= 1;
		});
		this.#attach(socket, connection).detach();
		socket.once('end', () => {
			socket.destroy();
		});
		this.#end(socket);
	}

	/** Writes the last bytes to a connection; a caller that does not end its side is disconnected. */
	#end(socket: Socket, text = ''): void {
		const timer = setTimeout(() => {
			socket.destroy();
		}, lingerMs);
		timer.unref();
		socket.once('close', () => {
			clearTimeout(timer);
		});
		socket.end(text);
	}

	#count(change: number): void {
		this.#active += change;
		if (this.#active === 0) {
			for (const resolve of this.#idleWaiters) {
				resolve();
			}
		}
	}
}
