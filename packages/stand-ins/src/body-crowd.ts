/** Clients that open many requests with chunked bodies, or heads, and never end them. */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {connect} from 'node:net';
import type {Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

/** What each client sends. */
export type CrowdPlan = {
	readonly clients: number;
	/** Size of a chunk, in bytes, and number of chunks of each body; undefined for clients that stop within their head. */
	readonly chunks?: {readonly bytes: number; readonly count: number};
	/** Bytes of headers beside the usual ones. */
	readonly headerBytes?: number;
};

/** Bytes that are written at once. */
const batchBytes = 256 * 1024;
/** Longest time in which a client writes what it has to, in milliseconds: a server may stop reading. */
const maxSendMs = 20_000;
/** Clients that connect at a time. */
const connectingClients = 100;

const ignoreClose = (): void => {
	// A server that has closed the connection takes no more
};

const chunkText = (bytes: number): string => `${bytes.toString(16)}\r\n${'x'.repeat(bytes)}\r\n`;

/**
 * A crowd at one address. Its clients stay connected until `close`.
 *
 * @example
 * const crowd = new BodyCrowd('127.0.0.1:8080', 'POST /a HTTP/1.1\r\nHost: h\r\n', {clients: 100, chunks: {bytes: 1, count: 48_000}});
 * await crowd.send();
 */
export class BodyCrowd {
	readonly #sockets: Socket[] = [];

	/** `head` are the request line and the headers without those of the body. */
	constructor(private readonly address: string, private readonly head: string, private readonly plan: CrowdPlan) {}

	/** Connects all clients and sends what they have, as far as it is read. */
	async send(): Promise<void> {
		for (let first = 0; first < this.plan.clients; first += connectingClients) {
			// eslint-disable-next-line no-await-in-loop
			await Promise.all(Array.from({length: Math.min(connectingClients, this.plan.clients - first)}, async () => this.#sendOne()));
		}
	}

	close(): void {
		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}

	async #sendOne(): Promise<void> {
		const [host, port] = this.address.split(':');
		const socket = connect(Number(port), host);
		this.#sockets.push(socket);
		// Servers may disconnect any of the clients
		socket.on('error', () => undefined);
		socket.resume();
		const stop = new AbortController();
		socket.once('close', () => {
			stop.abort();
		});
		const deadline = Date.now() + maxSendMs;
		for (const text of this.#texts()) {
			if (socket.destroyed || Date.now() > deadline) {
				return;
			}

			if (!socket.write(text)) {
				// eslint-disable-next-line no-await-in-loop
				await Promise.race([once(socket, 'drain', {signal: stop.signal}).catch(ignoreClose), sleep(maxSendMs, undefined, {ref: false})]);
			}
		}
	}

	* #texts(): Iterable<Uint8Array | string> {
		const {chunks, headerBytes = 0} = this.plan;
		const head = headerBytes > 0 ? `${this.head}X-Filler: ${'y'.repeat(headerBytes)}\r\n` : this.head;
		if (chunks === undefined) {
			yield head;
			return;
		}

		yield `${head}Transfer-Encoding: chunked\r\n\r\n`;
		const chunk = chunkText(chunks.bytes);
		const perBatch = Math.max(1, Math.floor(batchBytes / chunk.length));
		const batch = Buffer.from(chunk.repeat(Math.min(perBatch, chunks.count)));
		for (let sent = 0; sent < chunks.count; sent += perBatch) {
			yield chunks.count - sent >= perBatch ? batch : batch.subarray(0, (chunks.count - sent) * chunk.length);
		}
	}
}
