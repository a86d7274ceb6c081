/** Hands out leased parts of one limit to the instances that enforce it. */
import type {InstanceId} from '../ids.js';
import {addMs} from '../time.js';
import type {Instant} from '../time.js';

/** What a holder asks for. */
export type PartRequest = {
	readonly holder: InstanceId;
	/** Life of the holder; a newer one ends what the older held. */
	readonly incarnation: number;
	/** Grows with every request of this life. */
	readonly seq: number;
	/** What the holder goes on with until it is answered; it has let go of the rest. */
	readonly keep: number;
	/** What it could use. */
	readonly wanted: number;
};

/** What a holder gets. */
export type PartAnswer = {
	readonly seq: number;
	/** Its part until its lease ends. */
	readonly granted: number;
	/** What it should come down to, since others want more. */
	readonly yieldTo: number;
};

/** A limit, as its owner splits it. */
export type LimitTerms = {
	/** The limit to be split. */
	readonly total: number;
	/** Smallest step of a part: 1 for requests in progress, 0 for rates. */
	readonly step: 0 | 1;
	/** Instances that may hold a part. */
	readonly holders: readonly InstanceId[];
	/** How long a part lasts without a new request, in milliseconds, as the owner counts. */
	readonly leaseMs: number;
	/** How long work admitted under a part may outlast its lease, in milliseconds. */
	readonly tailMs: number;
};

type Entry = {
	incarnation: number;
	seq: number;
	granted: number;
	wanted: number;
	expiresAt: Instant;
};

const floorTo = (value: number, step: 0 | 1): number => step === 0 ? value : Math.floor(value);

/** The level at which the sum of `min(wanted, level)` reaches `total`; infinite when everyone fits. */
const fairLevel = (wanted: readonly number[], total: number): number => {
	let left = total;
	const sorted = [...wanted].sort((a, b) => a - b);
	for (const [index, want] of sorted.entries()) {
		const level = left / (sorted.length - index);
		if (want > level) {
			return level;
		}

		left -= want;
	}

	return Number.POSITIVE_INFINITY;
};

/**
 * Splits one limit. What it handed out never adds up to more than the limit, also right after it took over from
 * another owner: until each holder has reported, or its lease from the earlier owner is surely over, the most that the
 * holder may have stays set aside.
 *
 * @see Gray and Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache Consistency", 1989.
 * @example
 * const owner = new LimitShareOwner(terms, clock.now());
 * owner.request({holder, incarnation: 1, seq: 1, keep: 0, wanted: 12}, clock.now())?.granted; // 12
 */
export class LimitShareOwner {
	readonly #entries = new Map<InstanceId, Entry>();

	constructor(private readonly terms: LimitTerms, private readonly startedAt: Instant) {}

	/** What is handed out now. */
	get granted(): number {
		return [...this.#entries.values()].reduce((sum, entry) => sum + entry.granted, 0);
	}

	/** Answers a holder; undefined when the request is older than one already answered. */
	request(req: PartRequest, now: Instant): PartAnswer | undefined {
		this.#expire(now);
		const known = this.#entries.get(req.holder);
		if (known !== undefined && (req.incarnation < known.incarnation || (req.incarnation === known.incarnation && req.seq <= known.seq))) {
			return undefined;
		}

		const kept = this.#keptOf(req, known, now);
		const wanted = Math.min(req.wanted, this.#mostPerHolder);
		const entry: Entry = {
			incarnation: req.incarnation, seq: req.seq, granted: kept, wanted, expiresAt: addMs(now, this.terms.leaseMs + this.terms.tailMs),
		};
		this.#entries.set(req.holder, entry);
		const target = this.#targetOf(wanted);
		const free = Math.max(0, this.terms.total - this.granted - this.#setAside(now));
		entry.granted = kept + floorTo(Math.min(free, Math.max(0, target - kept)), this.terms.step);
		return {seq: req.seq, granted: entry.granted, yieldTo: target};
	}

	/** A holder that this owner does not know yet may hold a part from an earlier owner. */
	#keptOf(req: PartRequest, known: Entry | undefined, now: Instant): number {
		if (known === undefined) {
			return this.#adopts(now) ? Math.min(req.keep, this.#mostPerHolder) : 0;
		}

		return req.incarnation > known.incarnation ? 0 : Math.min(req.keep, known.granted);
	}

	#adopts(now: Instant): boolean {
		return now < addMs(this.startedAt, this.terms.leaseMs + this.terms.tailMs);
	}

	/** No holder has more than half, so that little is set aside for a silent one. */
	get #mostPerHolder(): number {
		const {total, step, holders} = this.terms;
		if (holders.length === 1) {
			return total;
		}

		return step === 0 ? total / 2 : Math.ceil(total / 2);
	}

	#setAside(now: Instant): number {
		if (!this.#adopts(now)) {
			return 0;
		}

		const silent = this.terms.holders.filter(holder => !this.#entries.has(holder)).length;
		return silent * this.#mostPerHolder;
	}

	/** The fair part of a wish; what nobody wants goes to all alike, so that a burst finds room. */
	#targetOf(wanted: number): number {
		const {total, step} = this.terms;
		const all = [...this.#entries.values()].map(entry => entry.wanted);
		const spare = Math.max(0, total - all.reduce((sum, want) => sum + want, 0)) / all.length;
		const fair = Math.min(wanted, fairLevel(all, total)) + spare;
		return Math.min(this.#mostPerHolder, Math.max(Math.min(wanted, step), floorTo(fair, step)));
	}

	#expire(now: Instant): void {
		for (const [holder, entry] of this.#entries) {
			if (now >= entry.expiresAt) {
				this.#entries.delete(holder);
			}
		}
	}
}
