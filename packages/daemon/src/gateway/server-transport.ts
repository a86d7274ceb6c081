/** Sends calls to servers over kept connections. A call is sent once; undici repeats nothing. */
import {Buffer} from 'node:buffer';
import type {Readable} from 'node:stream';
import {Pool} from 'undici';
import {isConnectFailure} from '../connect-failure.js';
import {createTimedConnect} from '../timed-connect.js';
import {enforceHeadSizeLimit} from './head-size-limit.js';

/** Longest time for a new connection, in milliseconds: a machine without power does not answer at all, others within a few. */
const connectTimeoutMs = 250;
/** Longest time that an idle connection is kept, in milliseconds; servers close theirs after some seconds. */
const keepAliveMs = 4000;
/** A connection is given up this long before the server would close it, in milliseconds. */
const keepAliveMarginMs = 1000;
/** Bytes of an answer's body that are held at most. */
const maxBodyBytes = 8 * 1024 * 1024;
/** Pools of servers not called for this long are closed, in milliseconds. */
const idlePoolMs = 60_000;

/** What is sent. */
export type OutgoingRequest = {
	readonly address: string;
	readonly method: string;
	readonly target: string;
	readonly headers: string[];
	readonly body: Uint8Array | undefined;
	readonly signal: AbortSignal;
};

/** Why a call got no answer. */
export type TransportFailure =
	/** No connection was made: nothing was sent. */
	| {readonly kind: 'unsent'; readonly detail: string}
	/** The connection broke, or the call was given up, after something may have been sent. */
	| {readonly kind: 'broken'; readonly detail: string};

/** The head of an answer; the body follows. */
export type OpenResponse = {
	readonly kind: 'head';
	readonly status: number;
	readonly rawHeaders: readonly string[];
	readonly body: Readable;
	/** Whether the end of the body, which only its connection's end marks, may have been a reset. */
	readonly mayBeTruncated: () => boolean;
};

type PoolEntry = {
	readonly pool: Pool;
	usedAt: number;
	/** Connections that the server reset. */
	resets: number;
};

/** Turns header objects of undici into names and values in turn. */
const flatten = (headers: Readonly<Record<string, string | string[] | undefined>>): string[] => Object.entries(headers)
	.flatMap(([name, value]) => (Array.isArray(value) ? value : [value ?? '']).flatMap(item => [name, item]));

/** The connections to servers, one pool for each address. */
export class ServerTransport {
	readonly #pools = new Map<string, PoolEntry>();
	readonly #sweeper: NodeJS.Timeout;
	readonly #stopGuard = enforceHeadSizeLimit();

	/** `connectionsTo` bounds the connections to one address. */
	constructor(private readonly connectionsTo: (address: string) => number) {
		this.#sweeper = setInterval(() => {
			this.#sweep();
		}, idlePoolMs / 2);
		this.#sweeper.unref();
	}

	/** Sends a call; resolves with the head of the answer. */
	async sendRequest({address, method, target, headers, body, signal}: OutgoingRequest): Promise<OpenResponse | TransportFailure> {
		try {
			const entry = this.#entry(address);
			const answer = await entry.pool.request({
				method, path: target, headers, body: body === undefined || body.length === 0 ? null : body, signal,
			});
			// A body that breaks off is read, or destroyed, by who opened it
			answer.body.on('error', () => undefined);
			const isFramed = answer.headers['content-length'] !== undefined || answer.headers['transfer-encoding'] !== undefined;
			const resetsBefore = entry.resets;
			return {
				kind: 'head', status: answer.statusCode, rawHeaders: flatten(answer.headers), body: answer.body, mayBeTruncated: () => !isFramed && entry.resets > resetsBefore,
			};
		} catch (error) {
			const detail = (error as Error).message;
			return isConnectFailure(error) ? {kind: 'unsent', detail} : {kind: 'broken', detail};
		}
	}

	/** Reads an answer's body whole; a fault when it breaks off or is too large. */
	async readBody(answer: OpenResponse): Promise<Uint8Array | TransportFailure> {
		const chunks: Uint8Array[] = [];
		let bytes = 0;
		try {
			for await (const chunk of answer.body as AsyncIterable<Uint8Array>) {
				bytes += chunk.length;
				if (bytes > maxBodyBytes) {
					return {kind: 'broken', detail: `the body is over ${maxBodyBytes} bytes`};
				}

				chunks.push(chunk);
			}
		} catch (error) {
			return {kind: 'broken', detail: (error as Error).message};
		}

		return answer.mayBeTruncated() ? {kind: 'broken', detail: 'the connection was reset before the end of an answer without a length'} : Buffer.concat(chunks);
	}

	/** Drops the connections to an address: those that are idle, and those in use once their call has ended. */
	discardPool(address: string): void {
		const entry = this.#pools.get(address);
		this.#pools.delete(address);
		void entry?.pool.close();
	}

	/** Closes all connections. */
	async close(): Promise<void> {
		clearInterval(this.#sweeper);
		this.#stopGuard();
		await Promise.all([...this.#pools.values()].map(async ({pool}) => pool.destroy()));
	}

	#entry(address: string): PoolEntry {
		const now = performance.now();
		const known = this.#pools.get(address);
		if (known !== undefined) {
			known.usedAt = now;
			return known;
		}

		const pool = new Pool(`http://${address}`, {
			connections: this.connectionsTo(address),
			pipelining: 1,
			connect: createTimedConnect(connectTimeoutMs, () => {
				entry.resets += 1;
			}),
			headersTimeout: 0,
			bodyTimeout: 0,
			keepAliveTimeout: keepAliveMs,
			keepAliveMaxTimeout: 2 * keepAliveMs,
			keepAliveTimeoutThreshold: keepAliveMarginMs,
		});
		const entry: PoolEntry = {pool, usedAt: now, resets: 0};
		this.#pools.set(address, entry);
		return entry;
	}

	#sweep(): void {
		const now = performance.now();
		for (const [address, {usedAt}] of this.#pools) {
			if (now - usedAt > idlePoolMs) {
				this.discardPool(address);
			}
		}
	}
}
