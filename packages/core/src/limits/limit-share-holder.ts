/** One instance's leased part of one limit. */
import type {InstanceId} from '../ids.js';
import {after} from '../time.js';
import type {Instant} from '../time.js';
import type {QuotaGrant, QuotaRequest} from './limit-share-owner.js';

/** Who holds a part, and how long it counts its lease. */
export type QuotaHolderOptions = {
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
export class QuotaHolder {
	#grantedQuota = 0;
	#targetQuota = Number.POSITIVE_INFINITY;
	#expiresAt: Instant | undefined;
	#seq = 0;
	#requestedAt: Instant | undefined;
	#inUse = 0;

	constructor(private readonly terms: QuotaHolderOptions) {}

	/** What is in use. */
	get inUse(): number {
		return this.#inUse;
	}

	/** The part that may be used now. */
	quota(now: Instant): number {
		return this.#expiresAt !== undefined && now < this.#expiresAt ? Math.min(this.#grantedQuota, this.#targetQuota) : 0;
	}

	/** Asks for `wanted`, and lets go of what the last answer said others want. */
	createRequest(wanted: number, now: Instant): QuotaRequest {
		const keep = Math.max(this.#inUse, this.quota(now));
		this.#grantedQuota = Math.min(this.#grantedQuota, keep);
		this.#seq += 1;
		this.#requestedAt = now;
		return {
			holder: this.terms.holder, incarnation: this.terms.incarnation, seq: this.#seq, keep, wanted,
		};
	}

	/** Takes an answer in; only the one to the last request counts. */
	applyGrant(answer: QuotaGrant): void {
		if (answer.seq !== this.#seq || this.#requestedAt === undefined) {
			return;
		}

		this.#grantedQuota = answer.granted;
		this.#targetQuota = answer.yieldTo;
		this.#expiresAt = after(this.#requestedAt, this.terms.leaseMs);
	}

	/** Uses `amount` of the part, if there is room. */
	acquire(amount: number, now: Instant): boolean {
		if (this.#inUse + amount > this.quota(now)) {
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
