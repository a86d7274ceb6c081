/** Lease management for shares on one instance: renews held leases and takes over expired ones. */
import {toId} from '../ids.js';
import type {FencingToken, InstanceId} from '../ids.js';
import {addMs} from '../time.js';
import type {Instant} from '../time.js';
import type {Share, ShareId, ShareMap} from './share-map.js';
import {shareKey} from './share-table.js';
import type {ShareRecord, ShareRenewal, ShareTakeRequest} from './share-table.js';

/** The state of a share as this instance observes it at a tick. */
export type ShareStatus = {
	readonly record: ShareRecord;
	readonly isHolderAlive: boolean;
	/** Whether this instance is the preferred holder of the share. */
	readonly isPreferred: boolean;
};

/** Input events of the lease manager. */
export type ShareEvent =
	| {readonly kind: 'tick'; readonly statuses: readonly ShareStatus[]}
	/** A renewal sent at `sentAt` succeeded: it was committed to the log, or every other candidate promised it. */
	| {readonly kind: 'renewed'; readonly renewals: readonly ShareRenewal[]; readonly sentAt: Instant}
	/** The result of a linearizable read: it reflects every entry accepted before the read was requested. */
	| {readonly kind: 'read'; readonly records: readonly ShareRecord[]}
	/** The result of a take request; `taken` is undefined when the request may still enter the log. */
	| {readonly kind: 'takeAnswered'; readonly take: ShareTakeRequest; readonly sentAt: Instant; readonly taken: boolean | undefined};

/** Actions that the lease manager requests. */
export type ShareEffect =
	| {readonly kind: 'renew'; readonly renewals: readonly ShareRenewal[]}
	| {readonly kind: 'read'; readonly ids: readonly ShareId[]}
	| {readonly kind: 'take'; readonly take: ShareTakeRequest};

/** Lease durations, in milliseconds. */
export type ShareTimings = {
	/** Lease duration for the holder, measured from before it sent the renewal. */
	readonly holderLeaseMs: number;
	/** Lease duration for every other candidate; longer than `holderLeaseMs`. */
	readonly candidateLeaseMs: number;
};

type Observation = {
	readonly fencing: FencingToken;
	readonly renewals: number;
	readonly at: Instant;
};

type Lease = {
	readonly fencing: FencingToken;
	readonly expiresAt: Instant;
};

const isUnchanged = (record: ShareRecord, prior: {readonly fencing: FencingToken; readonly renewals: number}): boolean => record.fencing === prior.fencing && record.renewals === prior.renewals;

/**
 * Ensures that at most one instance acts as the holder of a share at a time. A holder acts only within its lease, which
 * is measured from before it sent its last renewal. A candidate takes over only after the longer `candidateLeaseMs` has
 * passed without a renewal in the log and since its own last promise.
 *
 * @see Gray and Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache Consistency", 1989.
 * @example
 * const manager = new ShareLeaseManager(self, timings, id => state.shares.recordOf(id));
 * const effects = manager.step({kind: 'tick', statuses}, clock.now());
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

	/** Stops acting as the holder of any share, permanently; the shares may be released afterwards. */
	stepDown(): void {
		this.#hasSteppedDown = true;
	}

	/** Promises a holder not to take over its shares for `candidateLeaseMs`; returns only the renewals that it can promise. */
	promise(renewals: readonly ShareRenewal[], now: Instant): readonly ShareRenewal[] {
		return renewals.filter(({id, fencing}) => {
			const key = shareKey(id);
			const record = this.recordOf(id);
			const take = this.#pendingTakes.get(key);
			const isTakePending = take !== undefined && record.fencing <= take.fencing && record.renewals <= take.renewals;
			if (fencing < record.fencing || isTakePending) {
				return false;
			}

			this.#observations.delete(key);
			this.#promisedUntil.set(key, addMs(now, this.timings.candidateLeaseMs));
			return true;
		});
	}

	/** Handles one event and returns the effects to perform, in order. */
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

	/** A take with an unknown outcome stays pending, so that no conflicting promise is given; it may be sent again. */
	#handleTakeResult(take: ShareTakeRequest, sentAt: Instant, taken: boolean | undefined): void {
		const key = shareKey(take.id);
		this.#takesInFlight.delete(key);
		if (taken !== undefined) {
			this.#pendingTakes.delete(key);
		}

		if (taken === true) {
			this.#extendLeases([{id: take.id, fencing: toId<FencingToken>(take.fencing + 1)}], sentAt);
		}
	}

	#extendLeases(renewals: readonly ShareRenewal[], sentAt: Instant): void {
		for (const {id, fencing} of renewals) {
			const until = addMs(sentAt, this.timings.holderLeaseMs);
			const lease = this.#leases.get(shareKey(id));
			if (lease === undefined || lease.fencing < fencing || (lease.fencing === fencing && lease.expiresAt < until)) {
				this.#leases.set(shareKey(id), {fencing, expiresAt: until});
			}
		}
	}

	#handleTick(statuses: readonly ShareStatus[], now: Instant): ShareEffect[] {
		const renewals = statuses.filter(({record}) => record.holder === this.self).map(({record: {id, fencing}}) => ({id, fencing}));
		const reads: ShareId[] = [];
		const effects: ShareEffect[] = renewals.length === 0 ? [] : [{kind: 'renew', renewals}];
		for (const status of statuses) {
			const action = this.#evaluate(status, now);
			if (action === 'read') {
				reads.push(status.record.id);
			} else if (action !== undefined) {
				effects.push(action);
			}
		}

		return reads.length === 0 ? effects : [...effects, {kind: 'read', ids: reads}];
	}

	/** Decides whether to take over a share, or to start observing it. */
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

		const observation = this.#observations.get(key);
		if (observation === undefined || !isUnchanged(record, observation)) {
			return 'read';
		}

		const isExpired = now >= addMs(observation.at, this.timings.candidateLeaseMs) && now >= (this.#promisedUntil.get(key) ?? now);
		return isExpired ? this.#startTake(record) : undefined;
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
