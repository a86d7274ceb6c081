/** Clients that send the same bytes over and over, read slowly or not at all, and connect again when they are disconnected. */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {connect} from 'node:net';
import type {Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

/** What each client of a crowd does. */
export type ClientPlan = {
	readonly clients: number;
	/** What a client sends first on each connection. */
	readonly start: Uint8Array | string;
	/** What it sends behind that again and again until it is disconnected; undefined for a client that sends nothing more. */
	readonly repeat?: Uint8Array | string;
	/** Whether it reads what the server sends. */
	readonly reads: boolean;
	/** Whether it connects again at once when it is disconnected. */
	readonly returns: boolean;
};

/** Clients that connect at a time. */
const connectingClients = 100;
/** Pause of a client whose connection could not be opened, in milliseconds. */
const reconnectMs = 5;
/** Longest time until the first bytes of all clients are sent, in milliseconds: a server may stop reading. */
const maxStartMs = 20_000;

/**
 * A crowd at one address. Its clients go on until `close`.
 *
 * @example
 * const crowd = new ClientCrowd('127.0.0.1:8080', {clients: 100, start: 'GET / HTTP/1.1\r\nHo', reads: true, returns: true});
 * await crowd.start();
 */
export class ClientCrowd {
	readonly #sockets = new Set<Socket>();
	#isClosed = false;
	/** Connections that the clients have opened so far. */
	#opened = 0;

	constructor(private readonly address: string, private readonly plan: ClientPlan) {}

	get opened(): number {
		return this.#opened;
	}

	/** Connects all clients; resolves once each has sent its first bytes as far as they are read. */
	async start(): Promise<void> {
		const {clients} = this.plan;
		for (let first = 0; first < clients; first += connectingClients) {
			// eslint-disable-next-line no-await-in-loop
			await Promise.race([
				Promise.all(Array.from({length: Math.min(connectingClients, clients - first)}, async () => new Promise<void>(resolve => {
					void this.#run(resolve);
				}))),
				sleep(maxStartMs, undefined, {ref: false}),
			]);
		}
	}

	close(): void {
		this.#isClosed = true;
		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}

	async #run(onStarted: () => void): Promise<void> {
		do {
			// eslint-disable-next-line no-await-in-loop
			await this.#connectOnce(onStarted);
			// eslint-disable-next-line no-await-in-loop
			await sleep(reconnectMs);
		} while (this.plan.returns && !this.#isClosed);

		onStarted();
	}

	/** Sends what the plan says on one connection, until that is closed. */
	async #connectOnce(onStarted: () => void): Promise<void> {
		const [host, port] = this.address.split(':');
		const socket = connect(Number(port), host);
		// A connection that fails is closed as well
		const closed = once(socket, 'close').catch(() => undefined);
		this.#sockets.add(socket);
		// Servers may disconnect any of the clients
		socket.on('error', () => undefined);
		socket.once('connect', () => {
			this.#opened += 1;
		});
		if (this.plan.reads) {
			socket.resume();
		} else {
			socket.pause();
		}

		const {start, repeat} = this.plan;
		await this.#write(socket, start, closed);
		onStarted();
		if (repeat !== undefined) {
			const bytes = Buffer.from(repeat as string);
			while (!socket.destroyed) {
				// eslint-disable-next-line no-await-in-loop
				await this.#write(socket, bytes, closed);
			}
		}

		await closed;
		this.#sockets.delete(socket);
	}

	async #write(socket: Socket, bytes: Uint8Array | string, closed: Promise<unknown>): Promise<void> {
		if (!socket.write(bytes)) {
			const drained = new Promise(resolve => {
				socket.once('drain', resolve);
			});
			await Promise.race([drained, closed]);
		}
	}
}
