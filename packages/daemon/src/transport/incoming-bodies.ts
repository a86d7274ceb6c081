/** Reads request bodies whole, within the memory that all of them may take. */
import {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
	BodyBudget, createSeededRandom, defaultBackoffLimits, defaultResourceLimits, hashText, RefusalBackoff,
} from '@baobabpier/core';
import type {BodyHandle, Clock} from '@baobabpier/core';
import {monotonicClock} from '../monotonic-clock.js';

/** Size of the first block of a body, in bytes: most bodies need no other. */
const firstBlockBytes = 1024;
/** Size of the further blocks, in bytes. */
const blockBytes = 16 * 1024;

/** Fraction of the memory for bodies that free blocks may take: a body that is refused leaves its blocks to the one that needs them. */
const freeFraction = 1 / 8;

/** Why a body was not read. */
export type BodyFailure =
	| {readonly kind: 'tooLarge'}
	/** What was read of a body whose bounds keep the start; the request is paused. */
	| {readonly kind: 'long'; readonly start: Uint8Array}
	/** The memory for bodies is used up, and others have more right to it. */
	| {readonly kind: 'noRoom'; readonly retryAfterMs: number}
	| {readonly kind: 'late'}
	/** The connection ended, or its further bytes are no body. */
	| {readonly kind: 'broken'; readonly error: Error | undefined};

/** Bounds of one body. */
export type BodyBounds = {
	readonly maxBytes: number;
	/** Longest time until the body is whole, in milliseconds. */
	readonly timeoutMs: number;
	/** Whether the start of a longer body is returned instead of a failure. */
	readonly keepsStart?: boolean;
};

/** Blocks that bodies have returned. Without them each read would leave memory behind that is free only after the next garbage collection. */
class BlockPool {
	readonly #free: Uint8Array[] = [];

	/** Bodies with a bound of `maxBytes` leave at most a part of that behind. */
	constructor(private readonly maxBytes: () => number) {}

	take(): Uint8Array {
		return this.#free.pop() ?? Buffer.allocUnsafeSlow(blockBytes);
	}

	give(blocks: readonly Uint8Array[]): void {
		for (const block of blocks) {
			if (block.length === blockBytes && this.#free.length * blockBytes < this.maxBytes() * freeFraction) {
				this.#free.push(block);
			}
		}
	}
}

/** The bytes of a body, in blocks of its own: chunks of a body may be parts of much larger buffers. */
class BodyBlocks {
	size = 0;
	#blocks: Uint8Array[] = [];
	#used = 0;

	constructor(private readonly pool: BlockPool) {}

	/** Appends bytes; returns how much memory was taken for them. */
	append(bytes: Uint8Array): number {
		let taken = 0;
		for (let done = 0; done < bytes.length;) {
			let block = this.#blocks.at(-1);
			if (block === undefined || this.#used === block.length) {
				block = block === undefined && bytes.length <= firstBlockBytes ? Buffer.allocUnsafeSlow(firstBlockBytes) : this.pool.take();
				this.#blocks.push(block);
				this.#used = 0;
				taken += block.length;
			}

			const part = bytes.subarray(done, done + block.length - this.#used);
			block.set(part, this.#used);
			this.#used += part.length;
			done += part.length;
		}

		this.size += bytes.length;
		return taken;
	}

	/** Returns the bytes in one piece, and the blocks to the pool. */
	toBytes(): Uint8Array {
		const bytes = Buffer.concat(this.#blocks, this.size);
		this.release();
		return bytes;
	}

	release(): void {
		this.pool.give(this.#blocks);
		this.#blocks = [];
	}
}

/**
 * Reads bodies of all ports of a process. Their memory counts until their responses are over.
 *
 * @example
 * const body = await bodies.read(req, res, {maxBytes: 4_194_304, timeoutMs: 14_000});
 */
export class IncomingBodies {
	readonly #budget: BodyBudget;
	readonly #pool: BlockPool;
	readonly #backoff = new RefusalBackoff(defaultBackoffLimits, createSeededRandom(hashText(randomUUID())));
	readonly #cancels = new Map<BodyHandle, () => void>();

	constructor(private maxBytes: number, private readonly clock: Clock = monotonicClock) {
		this.#budget = new BodyBudget(maxBytes);
		this.#pool = new BlockPool(() => this.maxBytes);
	}

	/** Memory of all bodies, in bytes. */
	get bytes(): number {
		return this.#budget.bytes;
	}

	setMaxBytes(maxBytes: number): void {
		this.maxBytes = maxBytes;
		this.#budget.setMaxBytes(maxBytes);
	}

	async read(req: IncomingMessage, res: ServerResponse, {maxBytes, timeoutMs, keepsStart = false}: BodyBounds): Promise<BodyFailure | Uint8Array> {
		if (!keepsStart && Number(req.headers['content-length'] ?? 0) > maxBytes) {
			return {kind: 'tooLarge'};
		}

		// Its connection ended before this reader was asked
		if (req.destroyed) {
			return {kind: 'broken', error: undefined};
		}

		const handle = this.#budget.open(this.clock.now());
		res.once('close', () => {
			this.#budget.close(handle);
		});
		const blocks = new BodyBlocks(this.#pool);
		return new Promise(resolve => {
			const finish = (result: BodyFailure | Uint8Array): void => {
				clearTimeout(timer);
				blocks.release();
				this.#cancels.delete(handle);
				req.off('data', take);
				req.off('end', end);
				req.off('error', fail);
				req.off('close', fail);
				// The connection may still fail
				req.on('error', () => undefined);
				resolve(result);
			};

			const take = (chunk: Uint8Array): void => {
				if (blocks.size + chunk.length > maxBytes) {
					req.pause();
					const result: BodyFailure = keepsStart ? {kind: 'long', start: Buffer.concat([blocks.toBytes(), chunk])} : {kind: 'tooLarge'};
					this.#budget.close(handle);
					finish(result);
					return;
				}

				const taken = blocks.append(chunk);
				for (const ended of taken === 0 ? [] : this.#budget.grow(handle, taken, this.clock.now())) {
					this.#cancels.get(ended)?.();
				}
			};

			const end = (): void => {
				this.#budget.complete(handle);
				finish(blocks.toBytes());
			};

			const fail = (error?: Error): void => {
				this.#budget.close(handle);
				finish({kind: 'broken', error});
			};

			const timer = setTimeout(() => {
				this.#budget.close(handle);
				finish({kind: 'late'});
			}, timeoutMs);
			this.#cancels.set(handle, () => {
				finish({kind: 'noRoom', retryAfterMs: this.#backoff.refuse(this.clock.now())});
			});
			req.on('data', take);
			req.once('end', end);
			req.once('error', fail);
			req.once('close', fail);
		});
	}
}

/** The bodies of this process: all its ports share its memory. */
export const incomingBodies = new IncomingBodies(defaultResourceLimits.bodyBytes);
