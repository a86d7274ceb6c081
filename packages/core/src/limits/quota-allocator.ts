/** Leases quotas of one limit to the instances that enforce it. */
import type {InstanceId} from '../ids.js';
import {addMs} from '../time.js';
import type {Instant} from '../time.js';

/** A holder's request for a quota. */
export type QuotaRequest = {
	readonly holder: InstanceId;
	/** Incarnation of the holder; a newer one ends the quota of an older one. */
	readonly incarnation: number;
	/** Increases with every request of this incarnation. */
	readonly seq: number;
	/** Quota that the holder keeps until it gets a grant; it has released the rest. */
	readonly keep: number;
	/** Quota that it could use. */
	readonly wanted: number;
};

/** The quota granted to a holder. */
export type QuotaGrant = {
	readonly seq: number;
	/** Its quota until the lease expires. */
	readonly granted: number;
	/** Quota to reduce to at the next request, since other holders want more. */
	readonly yieldTo: number;
};

/** How a limit is allocated. */
export type QuotaAllocatorOptions = {
	/** The limit to allocate. */
	readonly total: number;
	/** Granularity of a quota: 1 for requests in progress, 0 for rates. */
	readonly step: 0 | 1;
	/** Instances that may hold a quota. */
	readonly holders: readonly InstanceId[];
	/** Lease duration as the allocator counts it, in milliseconds. */
	readonly leaseMs: number;
	/** How long work admitted under a quota may outlast its lease, in milliseconds. */
	readonly gracePeriodMs: number;
};

type Allocation = {
	incarnation: number;
	seq: number;
	granted: number;
	wanted: number;
	expiresAt: Instant;
};

const floorToStep = (value: number, step: 0 | 1): number => step === 0 ? value : Math.floor(value);

/** The level at which the sum of `min(wanted, level)` reaches `total`; infinite when all fit. */
const maxMinFairLevel = (wanted: readonly number[], total: number): number => {
	let remaining = total;
	const sorted = [...wanted].sort((a, b) => a - b);
	for (const [index, want] of sorted.entries()) {
		const level = remaining / (sorted.length - index);
		if (want > level) {
			return level;
		}

		remaining -= want;
	}

	return Number.POSITIVE_INFINITY;
};

/**
 * Allocates one limit. The granted quotas never add up to more than the limit, even right after taking over from
 * another allocator: until each holder has sent a request, or its lease from the previous allocator has certainly
 * expired, the maximum that the holder may have stays reserved.
 *
 * @see Gray and Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache Consistency", 1989.
 * @example
 * const allocator = new QuotaAllocator(options, clock.now());
 * allocator.handleRequest({holder, incarnation: 1, seq: 1, keep: 0, wanted: 12}, clock.now())?.granted; // 12
 */
export class QuotaAllocator {
	readonly #allocations = new Map<InstanceId, Allocation>();

	constructor(private readonly terms: QuotaAllocatorOptions, private readonly startedAt: Instant) {}

	/** Sum of the granted quotas. */
	get granted(): number {
		return [...this.#allocations.values()].reduce((sum, entry) => sum + entry.granted, 0);
	}

	/** Returns the grant for a request; undefined when a newer request of the holder was already handled. */
	handleRequest(req: QuotaRequest, now: Instant): QuotaGrant | undefined {
		this.#expire(now);
		const known = this.#allocations.get(req.holder);
		if (known !== undefined && (req.incarnation < known.incarnation || (req.incarnation === known.incarnation && req.seq <= known.seq))) {
			return undefined;
		}

		const retained = this.#retainedQuota(req, known, now);
		const wanted = Math.min(req.wanted, this.#maxPerHolder);
		const entry: Allocation = {
			incarnation: req.incarnation, seq: req.seq, granted: retained, wanted, expiresAt: addMs(now, this.terms.leaseMs + this.terms.gracePeriodMs),
		};
		this.#allocations.set(req.holder, entry);
		const target = this.#targetQuota(wanted);
		const free = Math.max(0, this.terms.total - this.granted - this.#reservedQuota(now));
		entry.granted = retained + floorToStep(Math.min(free, Math.max(0, target - retained)), this.terms.step);
		return {seq: req.seq, granted: entry.granted, yieldTo: target};
	}

	/** A holder without an allocation here may still hold a quota from a previous allocator. */
	#retainedQuota(req: QuotaRequest, known: Allocation | undefined, now: Instant): number {
		if (known === undefined) {
			return this.#isRecovering(now) ? Math.min(req.keep, this.#maxPerHolder) : 0;
		}

		return req.incarnation > known.incarnation ? 0 : Math.min(req.keep, known.granted);
	}

	#isRecovering(now: Instant): boolean {
		return now < addMs(this.startedAt, this.terms.leaseMs + this.terms.gracePeriodMs);
	}

	/** No holder has more than half, so that little is reserved for one that sent no request yet. */
	get #maxPerHolder(): number {
		const {total, step, holders} = this.terms;
		if (holders.length === 1) {
			return total;
		}

		return step === 0 ? total / 2 : Math.ceil(total / 2);
	}

	#reservedQuota(now: Instant): number {
		if (!this.#isRecovering(now)) {
			return 0;
		}

		const silent = this.terms.holders.filter(holder => !this.#allocations.has(holder)).length;
		return silent * this.#maxPerHolder;
	}

	/** The max-min fair quota; the unrequested rest is split evenly, so that every holder can absorb a burst. */
	#targetQuota(wanted: number): number {
		const {total, step} = this.terms;
		const all = [...this.#allocations.values()].map(entry => entry.wanted);
		const spare = Math.max(0, total - all.reduce((sum, want) => sum + want, 0)) / all.length;
		const fair = Math.min(wanted, maxMinFairLevel(all, total)) + spare;
		return Math.min(this.#maxPerHolder, Math.max(Math.min(wanted, step), floorToStep(fair, step)));
	}

	#expire(now: Instant): void {
		for (const [holder, entry] of this.#allocations) {
			if (now >= entry.expiresAt) {
				this.#allocations.delete(holder);
			}
		}
	}
}
