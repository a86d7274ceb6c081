/** Decides which request bodies may take memory while many are being read. */
import type {Instant} from '../time.js';

/** Identifies a body within its budget. */
export type BodyHandle = {readonly openedAt: Instant};

type BodyState = {
	bytes: number;
	/** Whether it is still being read; a whole body belongs to a call and stays. */
	isOpen: boolean;
};

/**
 * Bounds the memory of bodies. Where a body needs more than there is, those that have held most memory for the longest time without
 * being whole are ended first: ordinary bodies are whole within moments, and those of clients that never end theirs are the oldest.
 *
 * @example
 * const budget = new BodyBudget(24 * 1024 * 1024);
 * const body = budget.open(now);
 * for (const ended of budget.grow(body, 4096, now)) refuse(ended);
 */
export class BodyBudget {
	readonly #bodies = new Map<BodyHandle, BodyState>();
	#bytes = 0;

	constructor(private maxBytes: number) {}

	/** Memory of all bodies, in bytes. */
	get bytes(): number {
		return this.#bytes;
	}

	/** Changes the bound; what is held stays. */
	setMaxBytes(maxBytes: number): void {
		this.maxBytes = maxBytes;
	}

	open(now: Instant): BodyHandle {
		const handle = {openedAt: now};
		this.#bodies.set(handle, {bytes: 0, isOpen: true});
		return handle;
	}

	/** Counts further memory of a body; returns the bodies to end, which may include it, and which no longer count. */
	grow(handle: BodyHandle, bytes: number, now: Instant): readonly BodyHandle[] {
		const state = this.#bodies.get(handle);
		if (state === undefined) {
			return [handle];
		}

		state.bytes += bytes;
		this.#bytes += bytes;
		const ended: BodyHandle[] = [];
		while (this.#bytes > this.maxBytes) {
			const victim = this.#findVictim(now) ?? handle;
			ended.push(victim);
			this.close(victim);
			if (victim === handle) {
				break;
			}
		}

		return ended;
	}

	/** Marks a body as whole. */
	complete(handle: BodyHandle): void {
		const state = this.#bodies.get(handle);
		if (state !== undefined) {
			state.isOpen = false;
		}
	}

	/** Returns the memory of a body. */
	close(handle: BodyHandle): void {
		this.#bytes -= this.#bodies.get(handle)?.bytes ?? 0;
		this.#bodies.delete(handle);
	}

	#findVictim(now: Instant): BodyHandle | undefined {
		let victim: BodyHandle | undefined;
		let most = {cost: -1, bytes: 0};
		for (const [handle, {bytes, isOpen}] of this.#bodies) {
			const cost = bytes * (now - handle.openedAt);
			if (isOpen && bytes > 0 && (cost > most.cost || (cost === most.cost && bytes > most.bytes))) {
				victim = handle;
				most = {cost, bytes};
			}
		}

		return victim;
	}
}
