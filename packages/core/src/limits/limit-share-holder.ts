/** One instance's leased part of one limit. */
import type {InstanceId} from '../ids.js';
import {addMs} from '../time.js';
import type {Instant} from '../time.js';
import type {PartAnswer, PartRequest} from './limit-share-owner.js';

/** Who holds a part, and how long it counts its lease. */
export type HolderTerms = {
	readonly holder: InstanceId;
	readonly incarnation: number;
	/** The lease as this holder counts it, from before it asked; shorter than its owner's. */
	readonly leaseMs: number;
};

/**
 * Counts the uses of a part. A part that is not renewed in time admits nothing more; what was admitted goes on.
 *
 * @example
 * const holder = new LimitShareHolder(terms);
 * const req = holder.ask(10, clock.now());
 * holder.accept(answer, clock.now());
 * holder.acquire(1, clock.now()); // True while the part lasts
 */
export class LimitShareHolder {
	#part = 0;
	#yieldTo = Number.POSITIVE_INFINITY;
	#until: Instant | undefined;
	#seq = 0;
	#askedAt: Instant | undefined;
	#inUse = 0;

	constructor(private readonly terms: HolderTerms) {}

	/** What is in use. */
	get inUse(): number {
		return this.#inUse;
	}

	/** The part that may be used now. */
	part(now: Instant): number {
		return this.#until !== undefined && now < this.#until ? Math.min(this.#part, this.#yieldTo) : 0;
	}

	/** Asks for `wanted`, and lets go of what the last answer said others want. */
	ask(wanted: number, now: Instant): PartRequest {
		const keep = Math.max(this.#inUse, this.part(now));
		this.#part = Math.min(this.#part, keep);
		this.#seq += 1;
		this.#askedAt = now;
		return {
			holder: this.terms.holder, incarnation: this.terms.incarnation, seq: this.#seq, keep, wanted,
		};
	}

	/** Takes an answer in; only the one to the last request counts. */
	accept(answer: PartAnswer): void {
		if (answer.seq !== this.#seq || this.#askedAt === undefined) {
			return;
		}

		this.#part = answer.granted;
		this.#yieldTo = answer.yieldTo;
		this.#until = addMs(this.#askedAt, this.terms.leaseMs);
	}

	/** Uses `amount` of the part, if there is room. */
	acquire(amount: number, now: Instant): boolean {
		if (this.#inUse + amount > this.part(now)) {
			return false;
		}

		this.#inUse += amount;
		return true;
	}

	/** Ends a use. */
	release(amount: number): void {
		this.#inUse -= amount;
	}
}
