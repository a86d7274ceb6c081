/** Sends requests to servers over pooled keep-alive connections. Each request is sent once; undici does not retry. */
import {Buffer} from 'node:buffer';
import type {Readable} from 'node:stream';
import {Pool} from 'undici';
import {isConnectFailure} from '../connect-failure.js';
import {createLog} from '../log.js';
import {createTimedConnect} from '../timed-connect.js';
import {enforceHeadSizeLimit} from './head-size-limit.js';

const log = createLog('transport');
/** Connect timeout, in milliseconds: a machine without power never responds, others respond within a few milliseconds. */
const connectTimeoutMs = 250;
/** Idle timeout of a connection, in milliseconds; servers close theirs after some seconds. */
const keepAliveTimeoutMs = 4000;
/** A connection is closed this long before the server would close it, in milliseconds. */
const keepAliveMarginMs = 1000;
/** Maximum size of a buffered response body, in bytes. */
const maxBodyBytes = 8 * 1024 * 1024;
/** Idle timeout of a server's pool, in milliseconds. */
const poolIdleTimeoutMs = 60_000;

/** What a request is for, as metrics and logs name it. */
export type CallKind = 'run' | 'prefill' | 'lease' | 'release' | 'free' | 'order' | 'report' | 'liveness' | 'list';

/** Observes the ids that servers return with their responses. */
export type ResponseObserver = {
	/** Returns the request's id that headers name; undefined when they name none. */
	readRequestId(rawHeaders: readonly string[]): string | undefined;
	/** Called for each response that names another request than the one it answers. */
	onForeignResponse(kind: CallKind): void;
};

/** A request to a server. */
export type OutgoingRequest = {
	readonly kind: CallKind;
	readonly address: string;
	readonly method: string;
	readonly target: string;
	readonly headers: string[];
	readonly body: Uint8Array | undefined;
	readonly signal: AbortSignal;
	/** Whether the same request was sent to this address before: it gets a connection of its own, on which no late copy of the first response can arrive. */
	readonly isRepeat?: boolean;
};

/** Why a request got no response. */
export type TransportFailure =
	/** No connection was established: nothing was sent. */
	| {readonly kind: 'unsent'; readonly detail: string; /** Whether the address refused the connection: no process listens there. */ readonly isRefused?: boolean}
	/** The connection failed, or the request was aborted, after part of it may have been sent. */
	| {readonly kind: 'broken'; readonly detail: string};

/** The head of a response, whose body is still to be read. */
export type OpenResponse = {
	readonly kind: 'head';
	readonly status: number;
	readonly rawHeaders: readonly string[];
	readonly body: Readable;
	/** Whether the body may be truncated: only the end of the connection marks its end, and that may have been a reset. */
	readonly mayBeTruncated: () => boolean;
};

type PoolEntry = {
	readonly pool: Pool;
	lastUsedAt: number;
	/** Number of connections that the server reset. */
	resetCount: number;
};

/** Flattens undici's header object to alternating names and values. */
const flattenHeaders = (headers: Readonly<Record<string, string | string[] | undefined>>): string[] => Object.entries(headers)
	.flatMap(([name, value]) => (Array.isArray(value) ? value : [value ?? '']).flatMap(item => [name, item]));

/** Connection pools to servers, one for each address. */
export class ServerTransport {
	readonly #pools = new Map<string, PoolEntry>();
	readonly #idleSweepTimer: NodeJS.Timeout;
	readonly #removeHeadSizeLimit = enforceHeadSizeLimit();

	/** `maxConnectionsTo` returns the maximum number of connections to an address. */
	constructor(private readonly maxConnectionsTo: (address: string) => number, private readonly observer?: ResponseObserver) {
		this.#idleSweepTimer = setInterval(() => {
			this.#closeIdlePools();
		}, poolIdleTimeoutMs / 2);
		this.#idleSweepTimer.unref();
	}

	/** Sends a request; resolves with the response head, or with the failure. */
	async sendRequest({
		kind, address, method, target, headers, body, signal, isRepeat = false,
	}: OutgoingRequest): Promise<OpenResponse | TransportFailure> {
		try {
			const entry = isRepeat ? this.#createPool(address, 1) : this.#getOrCreatePool(address);
			const response = await entry.pool.request({
				method, path: target, headers, body: body === undefined || body.length === 0 ? null : body, signal,
			});
			if (isRepeat) {
				// Completes when the response has been read
				void entry.pool.close();
			}

			// Whoever sent the request reads or destroys the body and so detects that it is truncated
			response.body.on('error', () => undefined);
			const isFramed = response.headers['content-length'] !== undefined || response.headers['transfer-encoding'] !== undefined;
			this.#observeResponse(kind, address, headers, flattenHeaders(response.headers));
			const resetCountBefore = entry.resetCount;
			return {
				kind: 'head', status: response.statusCode, rawHeaders: flattenHeaders(response.headers), body: response.body, mayBeTruncated: () => !isFramed && entry.resetCount > resetCountBefore,
			};
		} catch (error) {
			const detail = (error as Error).message;
			return isConnectFailure(error) ? {kind: 'unsent', detail, isRefused: (error as NodeJS.ErrnoException).code === 'ECONNREFUSED'} : {kind: 'broken', detail};
		}
	}

	/** Reads a response body completely; resolves with a failure when it is truncated or too large. */
	async readBody(response: OpenResponse): Promise<Uint8Array | TransportFailure> {
		const chunks: Uint8Array[] = [];
		let bytes = 0;
		try {
			for await (const chunk of response.body as AsyncIterable<Uint8Array>) {
				bytes += chunk.length;
				if (bytes > maxBodyBytes) {
					return {kind: 'broken', detail: `the response body exceeds ${maxBodyBytes} bytes`};
				}

				chunks.push(chunk);
			}
		} catch (error) {
			return {kind: 'broken', detail: (error as Error).message};
		}

		return response.mayBeTruncated() ? {kind: 'broken', detail: 'the connection was reset before the end of a response without a length'} : Buffer.concat(chunks);
	}

	/** Discards the pool of an address: closes idle connections at once, and those in use when their request has ended. */
	discardPool(address: string): void {
		const entry = this.#pools.get(address);
		this.#pools.delete(address);
		void entry?.pool.close();
	}

	/** Closes all connections. */
	async close(): Promise<void> {
		clearInterval(this.#idleSweepTimer);
		this.#removeHeadSizeLimit();
		await Promise.all([...this.#pools.values()].map(async ({pool}) => pool.destroy()));
	}

	#observeResponse(kind: CallKind, address: string, requestHeaders: readonly string[], responseHeaders: readonly string[]): void {
		const requestId = this.observer?.readRequestId(requestHeaders);
		const responseId = this.observer?.readRequestId(responseHeaders);
		if (responseId !== undefined && responseId !== requestId) {
			log('A response belongs to another request.', {
				kind, address, requestId, responseId,
			});
			this.observer?.onForeignResponse(kind);
		}
	}

	#getOrCreatePool(address: string): PoolEntry {
		const now = performance.now();
		const existing = this.#pools.get(address);
		if (existing !== undefined) {
			existing.lastUsedAt = now;
			return existing;
		}

		const entry = this.#createPool(address, this.maxConnectionsTo(address));
		this.#pools.set(address, entry);
		return entry;
	}

	#createPool(address: string, connections: number): PoolEntry {
		const pool = new Pool(`http://${address}`, {
			connections,
			pipelining: 1,
			connect: createTimedConnect(connectTimeoutMs, () => {
				entry.resetCount += 1;
			}),
			headersTimeout: 0,
			bodyTimeout: 0,
			keepAliveTimeout: keepAliveTimeoutMs,
			keepAliveMaxTimeout: 2 * keepAliveTimeoutMs,
			keepAliveTimeoutThreshold: keepAliveMarginMs,
		});
		const entry: PoolEntry = {pool, lastUsedAt: performance.now(), resetCount: 0};
		return entry;
	}

	#closeIdlePools(): void {
		const now = performance.now();
		for (const [address, {lastUsedAt}] of this.#pools) {
			if (now - lastUsedAt > poolIdleTimeoutMs) {
				this.discardPool(address);
			}
		}
	}
}
