/** The limits that one instance owns, with one `QuotaAllocator` each. */
import type {CatalogueSnapshot} from '../catalogue/types.js';
import type {DataCentreId, InstanceId} from '../ids.js';
import type {ShareMap} from '../shares/share-map.js';
import type {InstanceLocation} from '../shares/static-share-map.js';
import type {Instant} from '../time.js';
import {QuotaAllocator} from './quota-allocator.js';
import {deploymentScope, quotaSteps, scopeLimit} from './limit-scope.js';
import type {ServiceQuotaRequest, ServiceQuotaGrant} from './limit-scope.js';

type OwnedLimit = {
	readonly allocator: QuotaAllocator;
	readonly total: number;
	readonly fencing: number;
};

const rateGracePeriodMs = 1000;

/** Allocates the limits whose ownership lease this instance holds. */
export class QuotaAllocators {
	readonly #ownedLimits = new Map<string, OwnedLimit>();

	constructor(private readonly shares: ShareMap, private readonly instances: readonly InstanceLocation[], private readonly leaseMs: number) {}

	/** Returns grants for the limits that this instance owns now; skips the others. */
	handleRequests(scope: DataCentreId, requests: readonly ServiceQuotaRequest[], catalogue: CatalogueSnapshot, now: Instant): readonly ServiceQuotaGrant[] {
		return requests.flatMap(request => {
			const answer = this.#allocator(scope, request, catalogue, now)?.handleRequest(request.req, now);
			return answer === undefined ? [] : [{service: request.service, dimension: request.dimension, answer}];
		});
	}

	#allocator(scope: DataCentreId, {service, dimension}: ServiceQuotaRequest, catalogue: CatalogueSnapshot, now: Instant): QuotaAllocator | undefined {
		const key = `${scope}/${service}/${dimension}`;
		const shareId = {kind: 'limits', service, dataCentre: scope} as const;
		const limits = catalogue.services.get(service)?.limits;
		const {shares} = this;
		const share = shares.holds(shareId, now) ? shares.find(shareId, now) : undefined; // eslint-disable-line unicorn/no-array-callback-reference, unicorn/no-array-method-this-argument
		if (limits === undefined || share === undefined) {
			this.#ownedLimits.delete(key);
			return undefined;
		}

		const total = scopeLimit(limits, dimension, scope, new Set(this.instances.map(instance => instance.dataCentre)).size);
		const known = this.#ownedLimits.get(key);
		if (known?.total === total && known.fencing === share.fencing) {
			return known.allocator;
		}

		const gracePeriodMs = dimension === 'inFlight' ? limits.totalMs : rateGracePeriodMs;
		const allocator = new QuotaAllocator({
			total, step: quotaSteps[dimension], holders: this.#holders(scope), leaseMs: this.leaseMs, gracePeriodMs,
		}, now);
		this.#ownedLimits.set(key, {allocator, total, fencing: share.fencing});
		return allocator;
	}

	#holders(scope: DataCentreId): readonly InstanceId[] {
		return this.instances.filter(({dataCentre}) => scope === deploymentScope || dataCentre === scope).map(({id}) => id);
	}
}
