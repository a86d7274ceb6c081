/** One instance's leased quota of one limit. */
import type {InstanceId} from '../ids.js';
import {addMs} from '../time.js';
import type {Instant} from '../time.js';
import type {QuotaGrant, QuotaRequest} from './quota-allocator.js';

/** Identity of a quota holder, and its lease duration. */
export type QuotaHolderOptions = {
	readonly holder: InstanceId;
	readonly incarnation: number;
	/** Lease duration from the time of the request, in milliseconds; shorter than the allocator's. */
	readonly leaseMs: number;
};

/**
 * Counts the uses of a quota. An expired quota admits nothing more; admitted work continues.
 *
 * @example
 * const holder = new QuotaHolder(options);
 * const req = holder.createRequest(10, clock.now());
 * holder.applyGrant(grant);
 * holder.acquire(1, clock.now()); // True while the quota lasts
 */
export class QuotaHolder {
	#grantedQuota = 0;
	#targetQuota = Number.POSITIVE_INFINITY;
	#expiresAt: Instant | undefined;
	#seq = 0;
	#requestedAt: Instant | undefined;
	#inUse = 0;

	constructor(private readonly terms: QuotaHolderOptions) {}

	/** Amount in use. */
	get inUse(): number {
		return this.#inUse;
	}

	/** The quota that may be used now. */
	quota(now: Instant): number {
		return this.#expiresAt !== undefined && now < this.#expiresAt ? Math.min(this.#grantedQuota, this.#targetQuota) : 0;
	}

	/** Creates a request for `wanted`, and releases the quota that the last grant assigned to other holders. */
	createRequest(wanted: number, now: Instant): QuotaRequest {
		const keep = Math.max(this.#inUse, this.quota(now));
		this.#grantedQuota = Math.min(this.#grantedQuota, keep);
		this.#seq += 1;
		this.#requestedAt = now;
		return {
			holder: this.terms.holder, incarnation: this.terms.incarnation, seq: this.#seq, keep, wanted,
		};
	}

	/** Applies a grant; ignores all but the one for the last request. */
	applyGrant(answer: QuotaGrant): void {
		if (answer.seq !== this.#seq || this.#requestedAt === undefined) {
			return;
		}

		this.#grantedQuota = answer.granted;
		this.#targetQuota = answer.yieldTo;
		this.#expiresAt = addMs(this.#requestedAt, this.terms.leaseMs);
	}

	/** Acquires `amount` of the quota; false when less is left. */
	acquire(amount: number, now: Instant): boolean {
		if (this.#inUse + amount > this.quota(now)) {
			return false;
		}

		this.#inUse += amount;
		return true;
	}

	/** Releases an acquired amount. */
	release(amount: number): void {
		this.#inUse -= amount;
	}
}
