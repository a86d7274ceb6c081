/** The credit of one team. */
import type {Instant} from '../time.js';

/** Whether a request is within a team's quota. */
export type QuotaDecision =
	| {readonly kind: 'granted'}
	| {
		readonly kind: 'denied';
		/** The time after which there is credit for the request, in milliseconds. */
		readonly availableInMs: number;
		/** Whether the team has used up its quota; otherwise the account may hold less than the team has left. */
		readonly isCertain: boolean;
	};

/** Longest time for which credit is promised to denied requests, in milliseconds: many of their callers don't return. */
const maxPromisedMs = 2000;

/** Time to come back for a request that costs more than is ever granted, in milliseconds: after a change of the quota at the earliest. */
const tooLargeRetryMs = 60_000;

/** The limits of an account. */
export type AccountLimits = {
	readonly perSecond: number;
	/** Most credit that the account holds. */
	readonly capacity: number;
	/** Window over which the quota is judged, in milliseconds; undefined where none is known. */
	readonly windowMs?: number | undefined;
};

/**
 * A token bucket, which starts empty: what another account of the team granted before is not known. A request that costs more than the
 * capacity, by at most a second of the rate, is granted when the bucket is full, and leaves it in debt; a larger one is never granted.
 *
 * Denied requests get successive turns: each is told when there is credit for it and for those that were denied before it, so that
 * their callers don't return together to credit for one of them.
 *
 * @example
 * const account = new QuotaAccount({perSecond: 1000, capacity: 5000}, now);
 * account.take(5070, addMs(now, 5000)).kind; // 'granted'
 */
export class QuotaAccount {
	#credit = 0;
	#filledAt: Instant;
	/** When the account has been full, or what was granted before it began has left the window. */
	readonly #isCertainFrom: number;
	/** Until when the credit to come is promised to denied requests. */
	#promisedUntil = Number.NEGATIVE_INFINITY;

	constructor(private limits: AccountLimits, now: Instant) {
		this.#filledAt = now;
		this.#isCertainFrom = now + Math.min(limits.capacity / limits.perSecond * 1000, limits.windowMs ?? Number.POSITIVE_INFINITY);
	}

	/** Takes the credit for a request, or tells when there is enough. */
	take(cost: number, now: Instant): QuotaDecision {
		this.#fill(now);
		if (cost > Math.max(this.limits.capacity + this.limits.perSecond, 1)) {
			return {kind: 'denied', availableInMs: tooLargeRetryMs, isCertain: true};
		}

		const needed = Math.min(cost, this.limits.capacity);
		if (this.#credit >= needed) {
			this.#credit -= cost;
			return {kind: 'granted'};
		}

		const msPerUnit = 1000 / this.limits.perSecond;
		const missingMs = (needed - this.#credit) * msPerUnit;
		const nextTurnMs = this.#promisedUntil + (cost * msPerUnit) - now;
		const availableInMs = Math.max(missingMs, Math.min(maxPromisedMs, nextTurnMs));
		this.#promisedUntil = now + availableInMs;
		return {kind: 'denied', availableInMs, isCertain: now >= this.#isCertainFrom};
	}

	/** Returns the credit of a request that was not run. */
	refund(cost: number, now: Instant): void {
		this.#fill(now);
		this.#credit = Math.min(this.limits.capacity, this.#credit + cost);
	}

	/** Applies changed limits; credit beyond the new capacity is lost. */
	setLimits(limits: AccountLimits, now: Instant): void {
		this.#fill(now);
		this.limits = limits;
		this.#credit = Math.min(limits.capacity, this.#credit);
	}

	#fill(now: Instant): void {
		const elapsedSeconds = Math.max(0, now - this.#filledAt) / 1000;
		this.#filledAt = now;
		this.#credit = Math.min(this.limits.capacity, this.#credit + (elapsedSeconds * this.limits.perSecond));
	}
}
