/** Limits over all instances together: each admits under the leased parts that it holds. */
import type {ServiceLimits} from '../catalogue/types.js';
import type {DataCentreId, ServiceName} from '../ids.js';
import type {RandomSource} from '../random.js';
import type {Instant} from '../time.js';
import type {AdmissionDecision, Limiter} from './limiter.js';
import type {QuotaHolderOptions} from './limit-share-holder.js';
import type {ServiceQuotaRequest, ServiceQuotaGrant} from './limit-scope.js';
import {ServiceQuotas} from './service-parts.js';

const shortestWaitMs = 100;
const longestWaitMs = 5000;

/**
 * Admits requests under leased parts. A refused caller is told a time with a random part, so that those refused
 * together do not come back together.
 *
 * @example
 * const limiter = new LeasedLimiter(terms, random);
 * const verdict = limiter.admit(name, limits, 200, clock.now());
 */
export class LeasedLimiter implements Limiter {
	readonly #services = new Map<ServiceName, ServiceQuotas>();

	constructor(private readonly terms: QuotaHolderOptions, private readonly random: RandomSource) {}

	admit(service: ServiceName, limits: ServiceLimits, tokens: number, now: Instant): AdmissionDecision {
		const answer = this.#quotas(service).admit(tokens, now);
		if (typeof answer === 'function') {
			return {kind: 'admitted', release: answer};
		}

		const waitMs = Math.min(longestWaitMs, Math.max(shortestWaitMs, answer.waitMs));
		return {kind: 'refused', limit: answer.limit, retryAfterMs: Math.ceil(waitMs * (1 + this.random.next()))};
	}

	/** What to ask of the owner of a service's limits in a scope. */
	createRequests(service: ServiceName, scope: DataCentreId, now: Instant): readonly ServiceQuotaRequest[] {
		return this.#quotas(service).createRequests(scope, now);
	}

	/** Takes an owner's answers in. */
	applyGrants(scope: DataCentreId, grants: readonly ServiceQuotaGrant[], now: Instant): void {
		for (const grant of grants) {
			this.#services.get(grant.service)?.applyGrant(scope, grant, now);
		}
	}

	#quotas(service: ServiceName): ServiceQuotas {
		const parts = this.#services.get(service) ?? new ServiceQuotas(service, this.terms);
		this.#services.set(service, parts);
		return parts;
	}
}
