/** Divides the requests that one server takes among all instances. */
import type {RequestId} from '../ids.js';
import {addMs} from '../time.js';
import type {Instant} from '../time.js';
import type {PermitClass, PermitDecision} from './types.js';

/** Lowest rate that is used, in requests a second: a server that names less still gets a request now and then, so that the end of its limit is seen. */
const minRequestsPerSecond = 0.1;
/** Minimum capacity, in permits: one for a patient request and one kept for an urgent one. */
const minCapacity = 2;
/** Capacity at higher rates, in seconds of the rate. */
const capacitySeconds = 0.25;
/** Fraction of the rate that is available to calls of the instances for themselves. */
const upkeepFraction = 1 / 8;
/** Time for which a permit is kept for a placed request, in milliseconds: covers the read of its prompt. */
const reservationMs = 3000;
/** Longest time after which a denied request is told to ask again, in milliseconds. */
const maxTurnMs = 5000;
/** Number of permits for which a denied urgent request is expected to ask again. */
const urgentMemory = 2;
/** Number of permits after which a patient request gets one although urgent ones want it. */
const patientShare = 6;

/**
 * A token bucket that starts empty, since its predecessor or uninformed instances may have just sent requests.
 * Urgent requests go before patient ones, which still make progress; denied ones get turns, so that few instances
 * ask for the same permit.
 *
 * @example
 * const bucket = new PermitBucket(1, clock.now());
 * bucket.acquire('patient', undefined, clock.now()); // {kind: 'denied', availableInMs: 1000}
 */
export class PermitBucket {
	#permits = 0;
	#upkeepPermits = 0;
	#requestsPerSecond: number;
	#refilledAt: Instant;
	/** When the last promised turn comes. */
	#lastTurnAt: Instant;
	#urgentDeniedAt: Instant | undefined;
	#patientGrantedAt: Instant;
	readonly #reservations = new Map<RequestId, Instant>();

	constructor(requestsPerSecond: number, now: Instant) {
		this.#requestsPerSecond = Math.max(minRequestsPerSecond, requestsPerSecond);
		this.#refilledAt = now;
		this.#lastTurnAt = now;
		this.#patientGrantedAt = now;
	}

	/** Changes the rate from now on. */
	setRate(requestsPerSecond: number, now: Instant): void {
		this.#refill(now);
		this.#requestsPerSecond = Math.max(minRequestsPerSecond, requestsPerSecond);
		this.#permits = Math.min(this.#permits, this.#capacity);
		this.#lastTurnAt = now;
	}

	/** Whether a permit is left that is not reserved. */
	isOpen(now: Instant): boolean {
		this.#refill(now);
		return this.#free >= 1;
	}

	/** Reserves a permit for a request that is placed on the server. */
	reserve(requestId: RequestId, now: Instant): void {
		this.#refill(now);
		this.#reservations.set(requestId, addMs(now, reservationMs));
	}

	/** Returns the unused permit of a placed request. */
	release(requestId: RequestId): void {
		this.#reservations.delete(requestId);
	}

	/** Takes a permit, or tells when to ask again. */
	acquire(permitClass: PermitClass, requestId: RequestId | undefined, now: Instant): PermitDecision {
		this.#refill(now);
		if (requestId !== undefined && this.#permits >= 1 && this.#reservations.delete(requestId)) {
			return this.#grant(permitClass, now);
		}

		const needed = permitClass === 'patient' && this.#isKeptForUrgent(now) ? 2 : 1;
		if (this.#free >= needed && (permitClass !== 'upkeep' || this.#upkeepPermits >= 1)) {
			return this.#grant(permitClass, now);
		}

		return {kind: 'denied', availableInMs: this.#nextTurnMs(permitClass, needed, now)};
	}

	get #capacity(): number {
		return Math.max(minCapacity, this.#requestsPerSecond * capacitySeconds);
	}

	get #msPerPermit(): number {
		return 1000 / this.#requestsPerSecond;
	}

	get #free(): number {
		return this.#permits - this.#reservations.size;
	}

	#grant(permitClass: PermitClass, now: Instant): PermitDecision {
		this.#permits -= 1;
		if (permitClass === 'upkeep') {
			this.#upkeepPermits -= 1;
		} else if (permitClass === 'patient') {
			this.#patientGrantedAt = now;
		}

		return {kind: 'granted'};
	}

	#isKeptForUrgent(now: Instant): boolean {
		return this.#urgentDeniedAt !== undefined && now - this.#urgentDeniedAt < urgentMemory * this.#msPerPermit && now - this.#patientGrantedAt < patientShare * this.#msPerPermit;
	}

	#nextTurnMs(permitClass: PermitClass, needed: number, now: Instant): number {
		const readyInMs = Math.max(1, (needed - this.#free) * this.#msPerPermit);
		if (permitClass === 'upkeep') {
			return Math.max(readyInMs, (1 - this.#upkeepPermits) * this.#msPerPermit / upkeepFraction);
		}

		if (permitClass === 'urgent') {
			this.#urgentDeniedAt = now;
			return Math.min(maxTurnMs, readyInMs);
		}

		const turnAt = addMs(now, Math.min(maxTurnMs, Math.max(readyInMs, this.#lastTurnAt + this.#msPerPermit - now)));
		this.#lastTurnAt = turnAt;
		return turnAt - now;
	}

	#refill(now: Instant): void {
		const elapsedSeconds = Math.max(0, now - this.#refilledAt) / 1000;
		this.#refilledAt = now;
		this.#permits = Math.min(this.#capacity, this.#permits + (elapsedSeconds * this.#requestsPerSecond));
		this.#upkeepPermits = Math.min(1, this.#upkeepPermits + (elapsedSeconds * this.#requestsPerSecond * upkeepFraction));
		for (const [requestId, until] of this.#reservations) {
			if (now >= until) {
				this.#reservations.delete(requestId);
			}
		}
	}
}
