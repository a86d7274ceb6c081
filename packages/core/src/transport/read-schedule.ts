/** Decides whose bytes are parsed next, and how many of them, while clients send more than a turn of the event loop may take. */

/** What parsing some bytes took, in parser events. */
export type ParseWork = {
	readonly bytes: number;
	/** Chunks of bodies: each is an event, however short it is. */
	readonly chunks: number;
	readonly requests: number;
};

/** Bounds of a schedule. */
export type ReadLimits = {
	/** Cost of what is parsed in one turn of the event loop, in chunks. */
	readonly turnCost: number;
	/** Cost of a request up to which its connection comes before those whose requests cost more, in chunks. */
	readonly lightCost: number;
	/** Bytes that are parsed at a time as long as it is not known what they cost. */
	readonly sliceBytes: number;
	/** Most bytes that are parsed at a time. */
	readonly maxSliceBytes: number;
};

/** A request's cost, in chunks: its headers and the start of its handler. */
const requestCost = 25;
/** Bytes that cost as much as a chunk. */
const bytesPerCost = 4096;
/** Slices grow while a unit of cost has at least this many bytes. */
const cheapBytesPerCost = 256;

/**
 * The usual bounds. A chunk takes 2 to 4 µs, so that a turn takes less than 10 ms: an ordinary call, which needs several turns, keeps within a
 * target latency of 150 ms.
 */
export const defaultReadLimits: ReadLimits = {
	turnCost: 2000, lightCost: 200, sliceBytes: 2048, maxSliceBytes: 16 * 1024,
};

/**
 * The cost of parsing, in chunks.
 *
 * @example
 * costOfParsing({bytes: 2048, chunks: 340, requests: 1}); // 365.5
 */
export const costOfParsing = ({bytes, chunks, requests}: ParseWork): number => (bytes / bytesPerCost) + chunks + (requests * requestCost);

/** Chunks of a body from which on their size counts. */
const minDenseChunks = 200;

/**
 * Whether a body arrives in chunks so small that its bytes have to be scheduled.
 *
 * @example
 * isDenseBody({chunks: 10_000, bytes: 10_000}); // true
 */
export const isDenseBody = ({chunks, bytes}: Pick<ParseWork, 'bytes' | 'chunks'>): boolean => chunks >= minDenseChunks && bytes < chunks * cheapBytesPerCost;

/** A connection whose bytes are scheduled. */
export type ReadHandle = {
	/** Bytes that have arrived and are not parsed. */
	readonly heldBytes: number;
};

type ReadState = {
	heldBytes: number;
	sliceBytes: number;
	/** Cost since the last whole request of the connection. */
	cost: number;
	isQueued: boolean;
	isSuspended: boolean;
};

/** What to parse next. */
export type Slice = {readonly handle: ReadHandle; readonly bytes: number};

/**
 * Shares the turns of an event loop among connections. In each turn bytes are parsed until their cost reaches a bound. Connections whose current request
 * has cost little come first, in the order of their arrival; the others take turns slice by slice, and at least one of their slices is parsed in each
 * turn. A connection that is alone is parsed as fast as without a schedule.
 *
 * @example
 * const schedule = new ReadSchedule(defaultReadLimits);
 * const handle = schedule.open();
 * schedule.arrive(handle, 65_536);
 * schedule.beginTurn();
 * for (let slice = schedule.next(); slice !== undefined; slice = schedule.next()) {
 * 	schedule.spend(slice.handle, parse(slice));
 * }
 */
export class ReadSchedule {
	readonly #light = new Set<ReadState>();
	readonly #heavy = new Set<ReadState>();
	#turnCost = 0;
	#isHeavyServed = false;
	#heldBytes = 0;

	constructor(private readonly limits: ReadLimits) {}

	/** Bytes that have arrived and are not parsed, over all connections. */
	get heldBytes(): number {
		return this.#heldBytes;
	}

	/** Whether connections wait for their next slice. */
	get isWaiting(): boolean {
		return this.#light.size + this.#heavy.size > 0;
	}

	open(): ReadHandle {
		const state: ReadState = {
			heldBytes: 0, sliceBytes: this.limits.sliceBytes, cost: 0, isQueued: false, isSuspended: false,
		};
		return state;
	}

	/** Drops what a connection holds. */
	close(handle: ReadHandle): void {
		const state = handle as ReadState;
		this.#heldBytes -= state.heldBytes;
		state.heldBytes = 0;
		this.#dequeue(state);
	}

	/** Records bytes that have arrived at a connection. */
	arrive(handle: ReadHandle, bytes: number): void {
		const state = handle as ReadState;
		state.heldBytes += bytes;
		this.#heldBytes += bytes;
		this.#enqueue(state);
	}

	/** Takes a connection out of the order until `resume`: its requests are not read further now. */
	suspend(handle: ReadHandle): void {
		const state = handle as ReadState;
		state.isSuspended = true;
		this.#dequeue(state);
	}

	resume(handle: ReadHandle): void {
		const state = handle as ReadState;
		state.isSuspended = false;
		this.#enqueue(state);
	}

	beginTurn(): void {
		this.#turnCost = 0;
		this.#isHeavyServed = false;
	}

	/** The bytes to parse next; undefined where nothing waits or this turn is over. The caller reports their cost with `spend`. */
	next(): Slice | undefined {
		const isOver = this.#turnCost >= this.limits.turnCost;
		const [light] = isOver ? [] : this.#light;
		const [heavy] = isOver && this.#isHeavyServed ? [] : this.#heavy;
		const state = light ?? heavy;
		if (state === undefined) {
			return undefined;
		}

		this.#dequeue(state);
		this.#isHeavyServed ||= state === heavy;
		const bytes = Math.min(state.heldBytes, state.sliceBytes);
		state.heldBytes -= bytes;
		this.#heldBytes -= bytes;
		return {handle: state, bytes};
	}

	/** Charges a connection for what parsing its slice took, and lets it wait for its next one. */
	spend(handle: ReadHandle, work: ParseWork): void {
		const state = handle as ReadState;
		const cost = costOfParsing(work);
		this.#turnCost += cost;
		state.cost = work.requests > 0 ? cost : state.cost + cost;
		const isCheap = cost * cheapBytesPerCost <= work.bytes;
		state.sliceBytes = isCheap ? Math.min(this.limits.maxSliceBytes, state.sliceBytes * 2) : this.limits.sliceBytes;
		this.#enqueue(state);
	}

	#enqueue(state: ReadState): void {
		if (!state.isQueued && !state.isSuspended && state.heldBytes > 0) {
			state.isQueued = true;
			(state.cost <= this.limits.lightCost ? this.#light : this.#heavy).add(state);
		}
	}

	#dequeue(state: ReadState): void {
		state.isQueued = false;
		this.#light.delete(state);
		this.#heavy.delete(state);
	}
}
