/** Bounds the bytes of bodies that a process buffers at a time. */

/** Bytes of each body that do not count: sound small answers are read whatever others send. */
const uncountedBytes = 64 * 1024;
/** Bytes beyond those that a process buffers at a time, over all bodies; the smallest instances have 200 MB of memory. */
const maxProcessBytes = 48 * 1024 * 1024;

/** What one body takes from the account. */
export type BufferShare = {
	/** Counts further bytes; false when the account has no room for them. */
	add(bytes: number): boolean;
	/** Returns all of it. */
	release(): void;
};

/**
 * The account of one process.
 *
 * @example
 * const share = account.open();
 * if (!share.add(chunk.length)) refuse();
 * share.release();
 */
export class BufferAccount {
	#bytes = 0;

	constructor(private readonly maxBytes = maxProcessBytes) {}

	/** Bytes that count now. */
	get bytes(): number {
		return this.#bytes;
	}

	/** Opens the share of a body. */
	open(): BufferShare {
		let total = 0;
		const counted = (): number => Math.max(0, total - uncountedBytes);
		return {
			add: bytes => {
				const before = counted();
				total += bytes;
				this.#bytes += counted() - before;
				return counted() === before || this.#bytes <= this.maxBytes;
			},
			release: () => {
				this.#bytes -= counted();
				total = 0;
			},
		};
	}
}

/** The account of this process: bodies of servers, peers and callers share its memory. */
export const processBuffers = new BufferAccount();
