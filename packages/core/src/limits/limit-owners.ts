/** The limits that one instance owns: one `LimitShareOwner` for each. */
import type {CatalogueSnapshot} from '../catalogue/types.js';
import type {DataCentreId, InstanceId} from '../ids.js';
import type {ShareMap} from '../shares/share-map.js';
import type {InstanceLocation} from '../shares/static-share-map.js';
import type {Instant} from '../time.js';
import {QuotaAllocator} from './limit-share-owner.js';
import {deploymentScope, quotaSteps, scopeLimit} from './limit-scope.js';
import type {ServiceQuotaRequest, ServiceQuotaGrant} from './limit-scope.js';

type Owned = {
	readonly owner: QuotaAllocator;
	readonly total: number;
	readonly fencing: number;
};

const burstMs = 1000;

/** Answers holders for the limits whose share this instance holds. */
export class QuotaAllocators {
	readonly #ownedLimits = new Map<string, Owned>();

	constructor(private readonly shares: ShareMap, private readonly instances: readonly InstanceLocation[], private readonly leaseMs: number) {}

	/** Answers the asks for limits that this instance owns now; leaves the others out. */
	handleRequests(scope: DataCentreId, asks: readonly ServiceQuotaRequest[], catalogue: CatalogueSnapshot, now: Instant): readonly ServiceQuotaGrant[] {
		return asks.flatMap(ask => {
			const answer = this.#allocator(scope, ask, catalogue, now)?.handleRequest(ask.req, now);
			return answer === undefined ? [] : [{service: ask.service, dimension: ask.dimension, answer}];
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
			return known.owner;
		}

		const tailMs = dimension === 'inFlight' ? limits.totalMs : burstMs;
		const owner = new QuotaAllocator({
			total, step: quotaSteps[dimension], holders: this.#holders(scope), leaseMs: this.leaseMs, gracePeriodMs: tailMs,
		}, now);
		this.#ownedLimits.set(key, {owner, total, fencing: share.fencing});
		return owner;
	}

	#holders(scope: DataCentreId): readonly InstanceId[] {
		return this.instances.filter(({dataCentre}) => scope === deploymentScope || dataCentre === scope).map(({id}) => id);
	}
}
