/** Enforces limits over all instances together: each admits requests within its leased quotas. */
import type {ServiceLimits} from '../catalogue/types.js';
import type {DataCentreId, ServiceName} from '../ids.js';
import type {RandomSource} from '../random.js';
import type {Instant} from '../time.js';
import type {AdmissionDecision, Limiter} from './limiter.js';
import type {QuotaHolderOptions} from './quota-holder.js';
import type {ServiceQuotaRequest, ServiceQuotaGrant} from './limit-scope.js';
import {ServiceQuotas} from './service-quotas.js';

const minRetryAfterMs = 100;
const maxRetryAfterMs = 5000;

/**
 * Admits requests within leased quotas. Rejected callers get a retry-after time with jitter, so that callers
 * rejected together do not retry together.
 *
 * @example
 * const limiter = new LeasedLimiter(options, random);
 * const decision = limiter.admit(name, limits, 200, clock.now());
 */
export class LeasedLimiter implements Limiter {
	readonly #services = new Map<ServiceName, ServiceQuotas>();

	constructor(private readonly terms: QuotaHolderOptions, private readonly random: RandomSource) {}

	admit(service: ServiceName, limits: ServiceLimits, tokens: number, now: Instant): AdmissionDecision {
		return this.#decide(this.#quotas(service).admit(tokens, now));
	}

	/** Decides again on a refused request, after a new grant. */
	readmit(service: ServiceName, tokens: number, now: Instant): AdmissionDecision {
		return this.#decide(this.#quotas(service).readmit(tokens, now));
	}

	/** Creates the quota requests for the allocator of a service's limits in a scope. */
	createRequests(service: ServiceName, scope: DataCentreId, now: Instant): readonly ServiceQuotaRequest[] {
		return this.#quotas(service).createRequests(scope, now);
	}

	/** Applies the grants of an allocator. */
	applyGrants(scope: DataCentreId, grants: readonly ServiceQuotaGrant[], now: Instant): void {
		for (const grant of grants) {
			this.#services.get(grant.service)?.applyGrant(scope, grant, now);
		}
	}

	#decide(result: ReturnType<ServiceQuotas['admit']>): AdmissionDecision {
		if (typeof result === 'function') {
			return {kind: 'admitted', release: result};
		}

		const waitMs = Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, result.waitMs));
		return {kind: 'refused', limit: result.limit, retryAfterMs: Math.ceil(waitMs * (1 + this.random.next()))};
	}

	#quotas(service: ServiceName): ServiceQuotas {
		const quotas = this.#services.get(service) ?? new ServiceQuotas(service, this.terms);
		this.#services.set(service, quotas);
		return quotas;
	}
}
