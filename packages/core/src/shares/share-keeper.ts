/** One instance's side of the share leases: renews what it holds, and takes over what nobody renews. */
import {toId} from '../ids.js';
import type {FencingToken, InstanceId} from '../ids.js';
import {addMs} from '../time.js';
import type {Instant} from '../time.js';
import type {Share, ShareId, ShareMap} from './share-map.js';
import {shareKey} from './share-table.js';
import type {ShareRecord, ShareRenewal, ShareTake} from './share-table.js';

/** A share as the instance sees it when it looks. */
export type SharePosition = {
	readonly record: ShareRecord;
	readonly holderRuns: boolean;
	/** Whether this instance is the one that should hold the share, were it free. */
	readonly isPreferred: boolean;
};

/** What reaches the keeper. */
export type ShareEvent =
	| {readonly kind: 'tick'; readonly positions: readonly SharePosition[]}
	/** A renewal sent at `sentAt` went through, by the log or by every other candidate's promise. */
	| {readonly kind: 'renewed'; readonly renewals: readonly ShareRenewal[]; readonly sentAt: Instant}
	/** A read that holds everything accepted before it was asked for. */
	| {readonly kind: 'read'; readonly records: readonly ShareRecord[]}
	/** A take was answered; undefined when it may still enter the log. */
	| {readonly kind: 'takeAnswered'; readonly take: ShareTake; readonly sentAt: Instant; readonly taken: boolean | undefined};

/** What the keeper asks for. */
export type ShareEffect =
	| {readonly kind: 'renew'; readonly renewals: readonly ShareRenewal[]}
	| {readonly kind: 'read'; readonly ids: readonly ShareId[]}
	| {readonly kind: 'take'; readonly take: ShareTake};

/** Lengths of a lease, in milliseconds. */
export type ShareTimings = {
	/** As its holder counts, from before it sent the renewal. */
	readonly holderLeaseMs: number;
	/** As every other candidate counts; longer. */
	readonly candidateLeaseMs: number;
};

type Challenge = {
	readonly fencing: FencingToken;
	readonly renewals: number;
	readonly at: Instant;
};

type Lease = {
	readonly fencing: FencingToken;
	readonly until: Instant;
};

const matches = (record: ShareRecord, seen: {readonly fencing: FencingToken; readonly renewals: number}): boolean => record.fencing === seen.fencing && record.renewals === seen.renewals;

/**
 * Keeps two instances from acting as a share's holder at a time. A holder acts only within its lease, counted from
 * before it sent its last renewal. A candidate takes over only after it watched a longer time pass without a renewal in
 * the log, and since its own last promise.
 *
 * @see Gray and Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache Consistency", 1989.
 * @example
 * const keeper = new ShareKeeper(self, timings, id => state.shares.find(id));
 * const effects = keeper.step({kind: 'tick', positions}, clock.now());
 */
export class ShareKeeper implements ShareMap {
	readonly #leases = new Map<string, Lease>();
	readonly #challenges = new Map<string, Challenge>();
	readonly #promisedUntil = new Map<string, Instant>();
	readonly #takes = new Map<string, ShareTake>();
	readonly #sending = new Set<string>();
	#givenUp = false;

	constructor(private readonly self: InstanceId, private readonly timings: ShareTimings, private readonly recordOf: (id: ShareId) => ShareRecord) {}

	find(id: ShareId): Share | undefined {
		const {holder, fencing} = this.recordOf(id);
		return holder === undefined
			? undefined
			: {
				...id, holder, fencing, until: this.#leases.get(shareKey(id))?.until,
			};
	}

	holds(id: ShareId, now: Instant): boolean {
		const lease = this.#leases.get(shareKey(id));
		const {holder, fencing} = this.recordOf(id);
		return !this.#givenUp && lease !== undefined && now < lease.until && holder === this.self && fencing === lease.fencing;
	}

	/** Stops acting on every share for good; the holder may release them after this. */
	giveUp(): void {
		this.#givenUp = true;
	}

	/** Promises a holder not to take its shares over for a lease; leaves out those that it can't promise. */
	promise(renewals: readonly ShareRenewal[], now: Instant): readonly ShareRenewal[] {
		return renewals.filter(({id, fencing}) => {
			const key = shareKey(id);
			const record = this.recordOf(id);
			const take = this.#takes.get(key);
			const mayTake = take !== undefined && record.fencing <= take.fencing && record.renewals <= take.renewals;
			if (fencing < record.fencing || mayTake) {
				return false;
			}

			this.#challenges.delete(key);
			this.#promisedUntil.set(key, addMs(now, this.timings.candidateLeaseMs));
			return true;
		});
	}

	/** Handles one event and returns what must be done, in order. */
	step(event: ShareEvent, now: Instant): ShareEffect[] {
		switch (event.kind) {
			case 'tick': {
				return this.#givenUp ? [] : this.#tick(event.positions, now);
			}

			case 'renewed': {
				this.#renewed(event.renewals, event.sentAt);
				return [];
			}

			case 'read': {
				for (const {id, fencing, renewals} of event.records) {
					this.#challenges.set(shareKey(id), {fencing, renewals, at: now});
				}

				return [];
			}

			case 'takeAnswered': {
				this.#takeAnswered(event.take, event.sentAt, event.taken);
				return [];
			}
		}
	}

	/** A take whose fate is unknown stays noted, so that nothing is promised against it; it may be sent again. */
	#takeAnswered(take: ShareTake, sentAt: Instant, taken: boolean | undefined): void {
		const key = shareKey(take.id);
		this.#sending.delete(key);
		if (taken !== undefined) {
			this.#takes.delete(key);
		}

		if (taken === true) {
			this.#renewed([{id: take.id, fencing: toId<FencingToken>(take.fencing + 1)}], sentAt);
		}
	}

	#renewed(renewals: readonly ShareRenewal[], sentAt: Instant): void {
		for (const {id, fencing} of renewals) {
			const until = addMs(sentAt, this.timings.holderLeaseMs);
			const known = this.#leases.get(shareKey(id));
			if (known === undefined || known.fencing < fencing || (known.fencing === fencing && known.until < until)) {
				this.#leases.set(shareKey(id), {fencing, until});
			}
		}
	}

	#tick(positions: readonly SharePosition[], now: Instant): ShareEffect[] {
		const renewals = positions.filter(({record}) => record.holder === this.self).map(({record: {id, fencing}}) => ({id, fencing}));
		const reads: ShareId[] = [];
		const effects: ShareEffect[] = renewals.length === 0 ? [] : [{kind: 'renew', renewals}];
		for (const position of positions) {
			const next = this.#consider(position, now);
			if (next === 'read') {
				reads.push(position.record.id);
			} else if (next !== undefined) {
				effects.push(next);
			}
		}

		return reads.length === 0 ? effects : [...effects, {kind: 'read', ids: reads}];
	}

	/** Decides whether to take a share over, or to begin watching it. */
	#consider({record, holderRuns, isPreferred}: SharePosition, now: Instant): ShareEffect | 'read' | undefined {
		const key = shareKey(record.id);
		const isFree = record.holder === undefined;
		if (record.holder === this.self || !isPreferred || (holderRuns && !isFree)) {
			this.#challenges.delete(key);
			return undefined;
		}

		if (isFree) {
			return this.#take(record);
		}

		const challenge = this.#challenges.get(key);
		if (challenge === undefined || !matches(record, challenge)) {
			return 'read';
		}

		const isOver = now >= addMs(challenge.at, this.timings.candidateLeaseMs) && now >= (this.#promisedUntil.get(key) ?? now);
		return isOver ? this.#take(record) : undefined;
	}

	#take({id, fencing, renewals}: ShareRecord): ShareEffect | undefined {
		const key = shareKey(id);
		if (this.#sending.has(key)) {
			return undefined;
		}

		const take: ShareTake = {
			id, candidate: this.self, fencing, renewals,
		};
		this.#takes.set(key, take);
		this.#sending.add(key);
		return {kind: 'take', take};
	}
}
