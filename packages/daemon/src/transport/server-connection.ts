/** One connection to a server, with at most one request on it. */
import type {Socket} from 'node:net';
import {Client} from 'undici';
import type {Dispatcher} from 'undici';
import type {ResponseVerdict} from '@baobabpier/core';
import {splitAddress} from '../listen.js';
import {createTimedConnect} from '../timed-connect.js';
import type {Exchange} from './exchange.js';
import type {ForeignMoment} from './types.js';

/** Idle timeout of a connection, in milliseconds; servers close theirs after some seconds. */
const keepAliveTimeoutMs = 4000;
/** A connection is closed this long before the server would close it, in milliseconds. */
const keepAliveMarginMs = 1000;
/** How long a new connection may wait for its first request, in milliseconds. */
const firstUseTimeoutMs = 1000;
/** Code with which the client ends a connection on which bytes follow a complete response. */
const surplusCode = 'UND_ERR_SOCKET';
/**
 * Maximum bytes between a request and the end of its response head: room for interim responses and a head of 16 KiB, which
 * is the HTTP parser's limit for header fields. The parser limits neither the status line nor the number of interim responses.
 */
const maxHeadBytes = 64 * 1024;
/** Maximum bytes of a response's framing, in multiples of its body's bytes and beyond those: chunks of one byte take six. The parser limits neither chunk extensions nor trailers. */
const maxFraming = {factor: 16, bytes: 256 * 1024} as const;

/** What a connection tells its owner. */
export type ConnectionListener = {
	onOpened(): void;
	/** Called once when the connection is gone, or could not be opened, in which case nothing was sent. */
	onClosed(error: Error | undefined): void;
	judge(responseId: string | undefined): ResponseVerdict;
	/** Called for a response of another request; the connection has been destroyed. */
	onForeign(moment: ForeignMoment, last: Exchange | undefined, responseId: string | undefined): void;
	/** Called when bytes arrive on which no request waits; `last` is the request before. */
	onUnexpectedBytes(last: Exchange | undefined, bytes: Uint8Array | undefined): void;
	/** Called when a response is complete and nothing followed it. */
	onEnd(): void;
	/** Called when the connection closed before its request was written. */
	onUnwritten(): void;
	/** Called when a request could not be written, which leaves the connection as it was. */
	onRefused(): void;
};

/**
 * Wraps one socket; a client of undici writes requests and parses responses. The client gets this socket and no other, so that
 * a further connection is never opened unseen.
 *
 * @example
 * const connection = new ServerConnection('10.0.0.9:8080', 250, listener);
 * connection.send(exchange); // After `onOpened`
 */
export class ServerConnection {
	#socket: Socket | undefined;
	#client: Client | undefined;
	#exchange: Exchange | undefined;
	#last: Exchange | undefined;
	#wasReset = false;
	#isClosed = false;
	/** Whether this side closed the connection. */
	#isDestroyed = false;
	/** Bytes that had been read when the last response was complete. */
	#bytesRead = 0;
	/** Whether the response head is still to come. */
	#isHeadDue = false;
	/** Bytes of the body of the response in progress. */
	#bodyBytes = 0;

	constructor(private readonly address: string, connectTimeoutMs: number, private readonly listener: ConnectionListener) {
		const {host, port} = splitAddress(address);
		createTimedConnect(connectTimeoutMs, () => {
			this.#wasReset = true;
		})({hostname: host, port: String(port), protocol: 'http:'}, (...[error, socket]) => {
			if (error !== null) {
				this.#close(error);
				return;
			}

			this.#open(socket);
		});
	}

	/** Local port, which names the connection in logs. */
	get localPort(): number | undefined {
		return this.#socket?.localPort;
	}

	/** Sends a request; the one before must have ended. */
	send(exchange: Exchange): void {
		this.#exchange = exchange;
		exchange.attach({
			onWrite: () => {
				this.#isHeadDue = true;
				this.#bodyBytes = 0;
				this.#last = exchange;
			},
			judge: responseId => {
				this.#isHeadDue = false;
				return this.listener.judge(responseId);
			},
			onForeign: (moment, responseId) => {
				this.destroy();
				this.listener.onForeign(moment, exchange, responseId);
			},
			onEnd: () => {
				this.#handleEnd(exchange);
			},
			onFailed: () => {
				this.destroy();
			},
			onRefused: () => {
				this.#exchange = undefined;
				this.listener.onRefused();
			},
			wasReset: () => this.#wasReset,
		});
		if (!this.#isUsable()) {
			if (this.#socket!.bytesRead > this.#bytesRead) {
				this.listener.onForeign('idle', this.#last, undefined);
			}

			this.destroy();
			return;
		}

		const {method, target, headers, body} = exchange.request;
		this.#client ??= this.#createClient(this.#socket!);
		this.#client.dispatch({
			method, path: target, headers, body: body instanceof Uint8Array && body.length === 0 ? null : body ?? null,
		}, this.#handlerOf(exchange));
	}

	/** Closes the connection at once. */
	destroy(): void {
		// Where the server's bytes have ended the connection, they are still to be reported
		this.#isDestroyed ||= !this.#isClosed;
		// Without an error the client takes the end of the connection for the end of a response without a length
		this.#socket?.destroy(new Error('the connection was closed by this side'));
		this.#close(undefined);
	}

	/** Passes on the events of a request while it is on this connection; one that was not written may be on another by now. */
	#handlerOf(exchange: Exchange): Dispatcher.DispatchHandler {
		const isCurrent = (): boolean => this.#exchange === exchange && !exchange.isOver;
		return {
			onRequestStart(controller) {
				if (isCurrent()) {
					exchange.onRequestStart(controller);
				} else {
					controller.abort(new Error('the connection was closed'));
				}
			},
			onResponseStart(controller, status, headers) {
				exchange.onResponseStart(controller, status, headers);
			},
			onResponseData: (controller, chunk) => {
				this.#bodyBytes += chunk.length;
				exchange.onResponseData(controller, chunk);
			},
			onResponseEnd() {
				exchange.onResponseEnd();
			},
			onResponseError(_controller, error) {
				if (isCurrent()) {
					exchange.onResponseError(error);
				}
			},
		};
	}

	/** Whether nothing has arrived since the last response, and the server has not closed the connection. */
	#isUsable(): boolean {
		const socket = this.#socket!;
		return !this.#isClosed && !socket.destroyed && socket.writable && !socket.readableEnded && socket.bytesRead === this.#bytesRead;
	}

	#open(socket: Socket): void {
		this.#socket = socket;
		if (this.#isClosed) {
			socket.destroy();
			return;
		}

		// The client closes idle connections, but gets this one with the first request only
		setTimeout(() => {
			if (this.#client === undefined) {
				this.destroy();
			}
		}, firstUseTimeoutMs).unref();
		socket.on('readable', () => {
			this.#handleReadable(socket);
		});
		socket.once('close', () => {
			this.#close(undefined);
		});
		this.listener.onOpened();
	}

	#createClient(socket: Socket): Client {
		let isTaken = false;
		const client = new Client(`http://${this.address}`, {
			pipelining: 1,
			connect(_options, callback) {
				if (isTaken || socket.destroyed) {
					callback(new Error('the connection was closed'), null);
					return;
				}

				isTaken = true;
				// The client expects its connector to call back later
				queueMicrotask(() => {
					callback(null, socket);
				});
			},
			headersTimeout: 0,
			bodyTimeout: 0,
			keepAliveTimeout: keepAliveTimeoutMs,
			keepAliveMaxTimeout: 2 * keepAliveTimeoutMs,
			keepAliveTimeoutThreshold: keepAliveMarginMs,
		});
		client.on('disconnect', (_origin, _targets, error) => {
			if (error.code === surplusCode && this.#exchange?.isOver !== false && !socket.readableEnded && !this.#isDestroyed) {
				this.listener.onForeign('idle', this.#last, undefined);
			}
		});
		return client;
	}

	#handleReadable(socket: Socket): void {
		if (this.#exchange !== undefined) {
			const bytes = socket.bytesRead - this.#bytesRead;
			if (this.#isHeadDue && bytes > maxHeadBytes) {
				socket.destroy(new Error(`the response head exceeds ${maxHeadBytes} bytes`));
			} else if (bytes > (maxFraming.factor * this.#bodyBytes) + maxFraming.bytes) {
				socket.destroy(new Error(`the framing of the response exceeds ${maxFraming.bytes} bytes`));
			}

			return;
		}

		if (socket.bytesRead > this.#bytesRead) {
			const bytes = socket.read() as Uint8Array | undefined;
			this.listener.onUnexpectedBytes(this.#last, bytes ?? undefined);
		}
	}

	#handleEnd(exchange: Exchange): void {
		const {bytesRead} = (this.#socket!);
		this.#isHeadDue = false;
		// Bytes that came with the end of the response are parsed in this turn of the event loop and destroy the connection
		setImmediate(() => {
			if (this.#exchange !== exchange || this.#isClosed) {
				return;
			}

			this.#exchange = undefined;
			this.#bytesRead = bytesRead;
			if (this.#socket!.bytesRead > bytesRead) {
				this.#handleReadable(this.#socket!);
			} else if (this.#socket!.writableLength > 0) {
				// A further request would wait until the server has read the rest of this one's body
				this.destroy();
			} else if (!this.#socket!.destroyed) {
				this.listener.onEnd();
			}
		});
	}

	#close(error: Error | undefined): void {
		if (this.#isClosed) {
			return;
		}

		this.#isClosed = true;
		if (this.#exchange?.isWritten === false && !this.#exchange.isOver) {
			this.#exchange = undefined;
			this.listener.onUnwritten();
		}

		this.listener.onClosed(error);
		// The client tells the reason of the end after the socket's own event
		setImmediate(() => {
			void this.#client?.destroy(new Error('the connection was closed'));
		});
	}
}
