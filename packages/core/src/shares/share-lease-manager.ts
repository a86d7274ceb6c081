/** One instance's side of the share leases: renews what it holds, and takes over what nobody renews. */
import {toId} from '../ids.js';
import type {FencingNumber, InstanceId} from '../ids.js';
import {after} from '../time.js';
import type {Instant} from '../time.js';
import type {Share, ShareId, ShareMap} from './share-map.js';
import {shareKey} from './share-table.js';
import type {ShareRecord, ShareRenewal, ShareTakeRequest} from './share-table.js';

/** A share as the instance sees it when it looks. */
export type ShareStatus = {
	readonly record: ShareRecord;
	readonly isHolderAlive: boolean;
	/** Whether this instance is the one that should hold the share, were it free. */
	readonly isPreferred: boolean;
};

/** What reaches the keeper. */
export type ShareEvent =
	| {readonly kind: 'tick'; readonly statuses: readonly ShareStatus[]}
	/** A renewal sent at `sentAt` went through, by the log or by every other candidate's promise. */
	| {readonly kind: 'renewed'; readonly renewals: readonly ShareRenewal[]; readonly sentAt: Instant}
	/** A read that holds everything accepted before it was asked for. */
	| {readonly kind: 'read'; readonly records: readonly ShareRecord[]}
	/** A take was answered; undefined when it may still enter the log. */
	| {readonly kind: 'takeAnswered'; readonly take: ShareTakeRequest; readonly sentAt: Instant; readonly taken: boolean | undefined};

/** What the keeper asks for. */
export type ShareEffect =
	| {readonly kind: 'renew'; readonly renewals: readonly ShareRenewal[]}
	| {readonly kind: 'read'; readonly ids: readonly ShareId[]}
	| {readonly kind: 'take'; readonly take: ShareTakeRequest};

/** Lengths of a lease, in milliseconds. */
export type ShareTimings = {
	/** As its holder counts, from before it sent the renewal. */
	readonly holderLeaseMs: number;
	/** As every other candidate counts; longer. */
	readonly candidateLeaseMs: number;
};

type Observation = {
	readonly fencing: FencingNumber;
	readonly renewals: number;
	readonly at: Instant;
};

type Lease = {
	readonly fencing: FencingNumber;
	readonly expiresAt: Instant;
};

const isUnchanged = (record: ShareRecord, seen: {readonly fencing: FencingNumber; readonly renewals: number}): boolean => record.fencing === seen.fencing && record.renewals === seen.renewals;

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
export class ShareLeaseManager implements ShareMap {
	readonly #leases = new Map<string, Lease>();
	readonly #observations = new Map<string, Observation>();
	readonly #promisedUntil = new Map<string, Instant>();
	readonly #pendingTakes = new Map<string, ShareTakeRequest>();
	readonly #takesInFlight = new Set<string>();
	#hasSteppedDown = false;

	constructor(private readonly self: InstanceId, private readonly timings: ShareTimings, private readonly recordOf: (id: ShareId) => ShareRecord) {}

	find(id: ShareId): Share | undefined {
		const {holder, fencing} = this.recordOf(id);
		return holder === undefined
			? undefined
			: {
				...id, holder, fencing, until: this.#leases.get(shareKey(id))?.expiresAt,
			};
	}

	holds(id: ShareId, now: Instant): boolean {
		const lease = this.#leases.get(shareKey(id));
		const {holder, fencing} = this.recordOf(id);
		return !this.#hasSteppedDown && lease !== undefined && now < lease.expiresAt && holder === this.self && fencing === lease.fencing;
	}

	/** Stops acting on every share for good; the holder may release them after this. */
	stepDown(): void {
		this.#hasSteppedDown = true;
	}

	/** Promises a holder not to take its shares over for a lease; leaves out those that it can't promise. */
	promise(renewals: readonly ShareRenewal[], now: Instant): readonly ShareRenewal[] {
		return renewals.filter(({id, fencing}) => {
			const key = shareKey(id);
			const record = this.recordOf(id);
			const take = this.#pendingTakes.get(key);
			const mayTake = take !== undefined && record.fencing <= take.fencing && record.renewals <= take.renewals;
			if (fencing < record.fencing || mayTake) {
				return false;
			}

			this.#observations.delete(key);
			this.#promisedUntil.set(key, after(now, this.timings.candidateLeaseMs));
			return true;
		});
	}

	/** Handles one event and returns what must be done, in order. */
	step(event: ShareEvent, now: Instant): ShareEffect[] {
		switch (event.kind) {
			case 'tick': {
				return this.#hasSteppedDown ? [] : this.#handleTick(event.statuses, now);
			}

			case 'renewed': {
				this.#extendLeases(event.renewals, event.sentAt);
				return [];
			}

			case 'read': {
				for (const {id, fencing, renewals} of event.records) {
					this.#observations.set(shareKey(id), {fencing, renewals, at: now});
				}

				return [];
			}

			case 'takeAnswered': {
				this.#handleTakeResult(event.take, event.sentAt, event.taken);
				return [];
			}
		}
	}

	/** A take whose fate is unknown stays noted, so that nothing is promised against it; it may be sent again. */
	#handleTakeResult(take: ShareTakeRequest, sentAt: Instant, taken: boolean | undefined): void {
		const key = shareKey(take.id);
		this.#takesInFlight.delete(key);
		if (taken !== undefined) {
			this.#pendingTakes.delete(key);
		}

		if (taken === true) {
			this.#extendLeases([{id: take.id, fencing: toId<FencingNumber>(take.fencing + 1)}], sentAt);
		}
	}

	#extendLeases(renewals: readonly ShareRenewal[], sentAt: Instant): void {
		for (const {id, fencing} of renewals) {
			const until = after(sentAt, this.timings.holderLeaseMs);
			const known = this.#leases.get(shareKey(id));
			if (known === undefined || known.fencing < fencing || (known.fencing === fencing && known.expiresAt < until)) {
				this.#leases.set(shareKey(id), {fencing, expiresAt: until});
			}
		}
	}

	#handleTick(positions: readonly ShareStatus[], now: Instant): ShareEffect[] {
		const renewals = positions.filter(({record}) => record.holder === this.self).map(({record: {id, fencing}}) => ({id, fencing}));
		const reads: ShareId[] = [];
		const effects: ShareEffect[] = renewals.length === 0 ? [] : [{kind: 'renew', renewals}];
		for (const position of positions) {
			const next = this.#evaluate(position, now);
			if (next === 'read') {
				reads.push(position.record.id);
			} else if (next !== undefined) {
				effects.push(next);
			}
		}

		return reads.length === 0 ? effects : [...effects, {kind: 'read', ids: reads}];
	}

	/** Decides whether to take a share over, or to begin watching it. */
	#evaluate({record, isHolderAlive: holderRuns, isPreferred}: ShareStatus, now: Instant): ShareEffect | 'read' | undefined {
		const key = shareKey(record.id);
		const isFree = record.holder === undefined;
		if (record.holder === this.self || !isPreferred || (holderRuns && !isFree)) {
			this.#observations.delete(key);
			return undefined;
		}

		if (isFree) {
			return this.#startTake(record);
		}

		const challenge = this.#observations.get(key);
		if (challenge === undefined || !isUnchanged(record, challenge)) {
			return 'read';
		}

		const isOver = now >= after(challenge.at, this.timings.candidateLeaseMs) && now >= (this.#promisedUntil.get(key) ?? now);
		return isOver ? this.#startTake(record) : undefined;
	}

	#startTake({id, fencing, renewals}: ShareRecord): ShareEffect | undefined {
		const key = shareKey(id);
		if (this.#takesInFlight.has(key)) {
			return undefined;
		}

		const take: ShareTakeRequest = {
			id, candidate: this.self, fencing, renewals,
		};
		this.#pendingTakes.set(key, take);
		this.#takesInFlight.add(key);
		return {kind: 'take', take};
	}
}
