/** Parses what clients of all ports send, within what one turn of the event loop may take. */
import type {Socket} from 'node:net';
import {defaultReadLimits, ReadSchedule} from '@baobabpier/core';
import type {ReadHandle} from '@baobabpier/core';
import {createLog} from '../log.js';

const log = createLog('reading');
/** Time for which connections take turns after the last body of small chunks, in milliseconds: clients come back. */
const denseMs = 10_000;

/** The listener through which the parser of an HTTP server gets the bytes of a connection. */
type Parse = (bytes: Uint8Array) => void;

/** What the parser has found on a connection so far. */
export type ParseCounts = {chunks: number; requests: number};

/** Decides when a connection is read. */
type ReadOrder = {
	/** Bytes have arrived. */
	arrive(bytes: number): void;
	suspend(): void;
	resume(): void;
	remove(): void;
};

/** Reads one connection in place of its HTTP server. What has arrived stays in the socket, which stops reading at its high-water mark. */
export class PacedReader {
	/** Bytes of the socket that the order knows of. */
	#knownBytes = 0;
	/** Whether the HTTP server reads: it pauses connections whose bodies or responses have no reader. */
	#isWanted: boolean;
	/** Whether requests that wait on the connection have to be served first. */
	#isHeld = false;
	#isDetached = false;

	constructor(private readonly socket: Socket, private readonly parse: Parse, private readonly order: ReadOrder) {
		this.#isWanted = !socket.isPaused();
		this.#applyOrder();
		socket.pause = () => {
			this.#isWanted = false;
			this.#applyOrder();
			return socket;
		};

		socket.resume = () => {
			this.#isWanted = true;
			this.#applyOrder();
			return socket;
		};

		socket.on('readable', () => {
			this.#announce();
		});
		socket.once('close', () => {
			this.detach();
		});
	}

	/** Bytes that have arrived and are not parsed. */
	get heldBytes(): number {
		return this.#isDetached ? 0 : this.socket.readableLength;
	}

	/** Sets whether requests that wait on the connection have to be served before more is parsed. */
	setHeld(isHeld: boolean): void {
		this.#isHeld = isHeld;
		this.#applyOrder();
	}

	/** Stops parsing for good; what is held is dropped, and so is what still arrives. */
	detach(): void {
		if (!this.#isDetached) {
			this.#isDetached = true;
			this.order.remove();
			this.#announce();
		}
	}

	/** Parses the next bytes of those that have arrived. */
	parseNext(bytes: number): void {
		this.#knownBytes -= bytes;
		const slice = this.socket.read(bytes) as Uint8Array | null; // eslint-disable-line @typescript-eslint/no-restricted-types
		if (slice !== null) {
			this.parse(slice);
		}

		this.#announce();
	}

	#applyOrder(): void {
		if (this.#isWanted && !this.#isHeld) {
			this.order.resume();
		} else {
			this.order.suspend();
		}
	}

	#announce(): void {
		const {socket} = this;
		if (this.#isDetached || socket.readableLength === 0) {
			// Node.js reports the end of a socket, or reads further, when it is asked for more
			socket.read();
		}

		const arrived = socket.readableLength - this.#knownBytes;
		if (!this.#isDetached && arrived > 0) {
			this.#knownBytes += arrived;
			this.order.arrive(arrived);
		}
	}
}

/**
 * Shares the event loop of a process among the connections of its servers. While no client sends bodies of small chunks, HTTP servers read their
 * connections themselves, which takes less memory.
 *
 * @example
 * const teardown = reading.registerServer(() => attachAll());
 * if (reading.isNeeded) reading.attach(socket, {chunks: 0, requests: 0});
 */
export class PacedReading {
	readonly #schedule = new ReadSchedule(defaultReadLimits);
	readonly #readers = new Map<ReadHandle, {readonly reader: PacedReader; readonly counts: ParseCounts}>();
	readonly #servers = new Set<() => void>();
	#denseUntil = Number.NEGATIVE_INFINITY;
	#isParsing = false;
	#isTurnScheduled = false;
	#fullTurns = 0;

	/** Bytes that have arrived and are not parsed, over all connections. */
	get heldBytes(): number {
		return this.#schedule.heldBytes;
	}

	/** Turns of the event loop that ended with bytes left to parse. */
	get fullTurns(): number {
		return this.#fullTurns;
	}

	/** Whether connections are read in turns for now. */
	get isNeeded(): boolean {
		return performance.now() < this.#denseUntil;
	}

	/** Registers a server whose connections have to be attached as soon as that is needed; returns the teardown. */
	registerServer(attachAll: () => void): () => void {
		this.#servers.add(attachAll);
		return () => {
			this.#servers.delete(attachAll);
		};
	}

	/** Records that a client sends a body of small chunks. */
	reportDense(): void {
		const isNew = !this.isNeeded;
		this.#denseUntil = performance.now() + denseMs;
		if (isNew) {
			log('Clients send bodies of small chunks; connections take turns.');
			for (const attachAll of this.#servers) {
				attachAll();
			}
		}
	}

	/** Takes the reading of a connection over from its HTTP server, also while that parses. */
	attach(socket: Socket, counts: ParseCounts): PacedReader {
		const [parse] = socket.listeners('data') as Parse[];
		socket.removeAllListeners('data');
		const handle = this.#schedule.open();
		const reader = new PacedReader(socket, parse!, {
			arrive: bytes => {
				this.#schedule.arrive(handle, bytes);
				this.#parse();
			},
			suspend: () => {
				this.#schedule.suspend(handle);
			},
			resume: () => {
				this.#schedule.resume(handle);
				this.#scheduleTurn();
			},
			remove: () => {
				this.#schedule.close(handle);
				this.#readers.delete(handle);
			},
		});
		this.#readers.set(handle, {reader, counts});
		return reader;
	}

	/** Parses until nothing waits or the turn is over. */
	#parse(): void {
		if (this.#isParsing) {
			return;
		}

		this.#isParsing = true;
		try {
			for (let slice = this.#schedule.next(); slice !== undefined; slice = this.#schedule.next()) {
				const {handle, bytes} = slice;
				const {reader, counts} = this.#readers.get(handle)!;
				const {chunks, requests} = counts;
				reader.parseNext(bytes);
				this.#schedule.spend(handle, {bytes, chunks: counts.chunks - chunks, requests: counts.requests - requests});
			}
		} finally {
			this.#isParsing = false;
			this.#scheduleTurn();
		}
	}

	#scheduleTurn(): void {
		if (this.#isTurnScheduled) {
			return;
		}

		this.#isTurnScheduled = true;
		setImmediate(() => {
			this.#isTurnScheduled = false;
			this.#schedule.beginTurn();
			if (this.#schedule.isWaiting) {
				this.#fullTurns += 1;
				this.#parse();
			}
		});
	}
}

/** The reading of this process: all its ports share its event loop. */
export const pacedReading = new PacedReading();
