/** Notifications of placements that wait to be sent to the owner of their pools. */
import {addMs} from '../time.js';
import type {Instant} from '../time.js';
import type {PoolReleaseParams, PoolRenewParams, PoolStepParams} from '../rpc/rpc-methods.js';
import {holdKey} from './hold-table.js';
import type {HeldPlacement} from './hold-table.js';

/** What a holder tells the owner of a pool about its placements. */
export type PoolNotification =
	| {readonly kind: 'renew'; readonly params: PoolRenewParams}
	| {readonly kind: 'prefillDone' | 'transferDone'; readonly params: PoolStepParams}
	| {readonly kind: 'release'; readonly params: PoolReleaseParams};

/** Longest time for which a repeated renewal waits to go with other notifications, in milliseconds: a small part of a lease. */
const renewalDelayMs = 500;

type PendingRenewal = Omit<PoolRenewParams, 'places'> & {
	readonly places: Map<string, HeldPlacement>;
};

const renewalKey = ({service, dataCentre}: Pick<PoolRenewParams, 'dataCentre' | 'service'>): string => `${service}@${dataCentre}`;

/**
 * Collects one holder's notifications to one owner. Renewals of the same placement are merged, and a released placement is no longer renewed, so the
 * next batch grows with the number of placements rather than with the number of notifications.
 *
 * @example
 * const queue = new PoolNotificationQueue();
 * queue.pushRepeatedRenewal({...pool, holder, places: [place]}, clock.now());
 * queue.dueAt; // In 500 ms
 * queue.push({kind: 'release', params: {...pool, ...place}}, clock.now());
 * queue.dueAt; // Now
 * queue.takeAll(); // Only the release
 */
export class PoolNotificationQueue {
	readonly #renewals = new Map<string, PendingRenewal>();
	#events: PoolNotification[] = [];
	#dueAt: Instant | undefined;

	/** When the next batch is to be sent; undefined while nothing waits. */
	get dueAt(): Instant | undefined {
		return this.#dueAt;
	}

	/** Adds a notification that the owner has to get now. */
	push(notification: PoolNotification, now: Instant): void {
		this.#dueAt = now;
		if (notification.kind === 'renew') {
			this.#addRenewal(notification.params);
			return;
		}

		if (notification.kind === 'release') {
			this.#renewals.get(renewalKey(notification.params))?.places.delete(holdKey(notification.params));
		}

		this.#events.push(notification);
	}

	/** Adds the renewal of placements that the owner knows. */
	pushRepeatedRenewal(renewal: PoolRenewParams, now: Instant): void {
		this.#dueAt ??= addMs(now, renewalDelayMs);
		this.#addRenewal(renewal);
	}

	/** Returns and removes the notifications in the order in which the owner has to process them. */
	takeAll(): readonly PoolNotification[] {
		// An owner ignores the end of a prefill or a transfer of a placement that it does not know yet, so renewals come first
		const renewals = [...this.#renewals.values()].filter(({places}) => places.size > 0).map(({places, ...params}): PoolNotification => ({
			kind: 'renew', params: {...params, places: [...places.values()]},
		}));
		const notifications = [...renewals, ...this.#events];
		this.#renewals.clear();
		this.#events = [];
		this.#dueAt = undefined;
		return notifications;
	}

	#addRenewal({places, ...params}: PoolRenewParams): void {
		const key = renewalKey(params);
		const pending = this.#renewals.get(key) ?? {...params, places: new Map<string, HeldPlacement>()};
		for (const place of places) {
			pending.places.set(holdKey(place), place);
		}

		this.#renewals.set(key, pending);
	}
}
