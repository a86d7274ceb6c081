/** The limits that one instance owns: one `LimitShareOwner` for each. */
import type {CatalogueSnapshot} from '../catalogue/types.js';
import type {DataCentreId, InstanceId} from '../ids.js';
import type {ShareMap} from '../shares/share-map.js';
import type {InstanceLocation} from '../shares/static-share-map.js';
import type {Instant} from '../time.js';
import {LimitShareOwner} from './limit-share-owner.js';
import {deploymentScope, limitSteps, scopeTotal} from './limit-scope.js';
import type {PartAsk, PartGrant} from './limit-scope.js';

type Owned = {
	readonly owner: LimitShareOwner;
	readonly total: number;
	readonly fencing: number;
};

const burstMs = 1000;

/** Answers holders for the limits whose share this instance holds. */
export class LimitOwners {
	readonly #owned = new Map<string, Owned>();

	constructor(private readonly shares: ShareMap, private readonly instances: readonly InstanceLocation[], private readonly leaseMs: number) {}

	/** Answers the asks for limits that this instance owns now; leaves the others out. */
	answer(scope: DataCentreId, asks: readonly PartAsk[], catalogue: CatalogueSnapshot, now: Instant): readonly PartGrant[] {
		return asks.flatMap(ask => {
			const answer = this.#owner(scope, ask, catalogue, now)?.request(ask.req, now);
			return answer === undefined ? [] : [{service: ask.service, dimension: ask.dimension, answer}];
		});
	}

	#owner(scope: DataCentreId, {service, dimension}: PartAsk, catalogue: CatalogueSnapshot, now: Instant): LimitShareOwner | undefined {
		const key = `${scope}/${service}/${dimension}`;
		const shareId = {kind: 'limits', service, dataCentre: scope} as const;
		const limits = catalogue.services.get(service)?.limits;
		const {shares} = this;
		const share = shares.holds(shareId, now) ? shares.find(shareId, now) : undefined; // eslint-disable-line unicorn/no-array-callback-reference, unicorn/no-array-method-this-argument
		if (limits === undefined || share === undefined) {
			this.#owned.delete(key);
			return undefined;
		}

		const total = scopeTotal(limits, dimension, scope, new Set(this.instances.map(instance => instance.dataCentre)).size);
		const known = this.#owned.get(key);
		if (known?.total === total && known.fencing === share.fencing) {
			return known.owner;
		}

		const tailMs = dimension === 'inFlight' ? limits.totalMs : burstMs;
		const owner = new LimitShareOwner({
			total, step: limitSteps[dimension], holders: this.#holders(scope), leaseMs: this.leaseMs, tailMs,
		}, now);
		this.#owned.set(key, {owner, total, fencing: share.fencing});
		return owner;
	}

	#holders(scope: DataCentreId): readonly InstanceId[] {
		return this.instances.filter(({dataCentre}) => scope === deploymentScope || dataCentre === scope).map(({id}) => id);
	}
}
