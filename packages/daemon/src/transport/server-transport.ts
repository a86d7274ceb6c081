/** Sends requests to other processes over kept connections. Each request is written once, and gets its own response or none. */
import {Buffer} from 'node:buffer';
import {AddressPool} from './address-pool.js';
import {processBuffers} from './buffer-account.js';
import type {BufferAccount} from './buffer-account.js';
import {Exchange, failureOf} from './exchange.js';
import type {
	OpenResponse, OutgoingRequest, SendPermit, ServerTransportOptions, TransportFailure,
} from './types.js';

/** Maximum size of a buffered response body, in bytes, unless its reader states another one. */
const defaultMaxBodyBytes = 8 * 1024 * 1024;
/** Interval at which addresses without connections are forgotten, in milliseconds. */
const sweepIntervalMs = 30_000;

/**
 * Connections to servers, grouped by address. Every call to another process goes through here; its binding says what ties the
 * response to it.
 *
 * @example
 * const transport = new ServerTransport({maxConnectionsTo: () => 8, readResponseId: headers => headerValue(headers, 'x-request-id')});
 * const response = await transport.sendRequest({address, method: 'GET', target: '/', headers: [], body: undefined, signal, kind: 'list', binding: {kind: 'ownConnection'}});
 */
export class ServerTransport {
	readonly #pools = new Map<string, AddressPool>();
	readonly #sweepTimer: NodeJS.Timeout;
	readonly #buffers: BufferAccount;
	#isClosed = false;

	constructor(private readonly options: ServerTransportOptions) {
		this.#buffers = options.buffers ?? processBuffers;
		this.#sweepTimer = setInterval(() => {
			this.#sweep();
		}, sweepIntervalMs);
		this.#sweepTimer.unref();
	}

	/** Sends a request; resolves with the response head, or with the failure. */
	async sendRequest(request: OutgoingRequest): Promise<OpenResponse | TransportFailure> {
		const {address, signal} = request;
		if (signal.aborted || this.#isClosed) {
			return {kind: 'unsent', detail: this.#isClosed ? 'the transport is closed' : (signal.reason as Error).message};
		}

		const {gate} = this.options;
		let permit: SendPermit | undefined;
		if (request.server !== undefined && gate?.needsPermit(request.server) === true) {
			permit = await gate.acquirePermit({
				server: request.server, kind: request.kind, requestId: 'requestId' in request.binding ? request.binding.requestId : undefined, isUrgent: request.isUrgent ?? false,
			}, signal);
			if (permit === undefined || signal.aborted) {
				return {kind: 'unsent', detail: 'the server takes no more requests now', isHeldBack: true};
			}
		}

		const pool = this.#getOrCreatePool(address);
		return new Promise(resolve => {
			const abort = (): void => {
				pool.abort(exchange, signal.reason as Error);
			};

			const exchange: Exchange = new Exchange(request, this.options, {
				settle: resolve, release() {
					signal.removeEventListener('abort', abort);
				},
			}, permit);
			if (exchange.withdrawIfHeldBack()) {
				return;
			}

			signal.addEventListener('abort', abort, {once: true});
			pool.send(exchange);
		});
	}

	/** Reads a response body completely; resolves with a failure when it is truncated, too large, holds another response, or finds no room in the process's buffers. */
	async readBody(response: OpenResponse, maxBytes = defaultMaxBodyBytes): Promise<Uint8Array | TransportFailure> {
		const share = this.#buffers.open();
		const chunks: Uint8Array[] = [];
		let bytes = 0;
		try {
			for await (const chunk of response.body as AsyncIterable<Uint8Array>) {
				bytes += chunk.length;
				if (bytes > maxBytes) {
					return {kind: 'broken', detail: `the response body exceeds ${maxBytes} bytes`};
				}

				if (!share.add(chunk.length)) {
					return {kind: 'broken', detail: 'too many bytes of bodies are buffered'};
				}

				chunks.push(chunk);
			}
		} catch (error) {
			return failureOf(error);
		} finally {
			share.release();
		}

		return response.mayBeTruncated() ? {kind: 'broken', detail: 'the connection was reset before the end of a response without a length'} : Buffer.concat(chunks);
	}

	/** Discards the connections to an address: closes idle ones at once, and those in use when their response is complete. */
	discardConnections(address: string): void {
		this.#pools.get(address)?.discard();
	}

	/** Closes all connections. */
	async close(): Promise<void> {
		this.#isClosed = true;
		clearInterval(this.#sweepTimer);
		for (const pool of this.#pools.values()) {
			pool.destroy();
		}
	}

	#getOrCreatePool(address: string): AddressPool {
		let pool = this.#pools.get(address);
		if (pool === undefined) {
			pool = new AddressPool(address, this.options);
			this.#pools.set(address, pool);
		}

		return pool;
	}

	#sweep(): void {
		for (const [address, pool] of this.#pools) {
			if (pool.isEmpty) {
				this.#pools.delete(address);
			}
		}
	}
}
