/** The task that asks the owners of limits for parts, and answers for the limits that this instance owns. */
import {
	deploymentScope, LeasedLimiter, LIMIT_PARTS, QuotaAllocators,
} from '@baobabpier/core';
import type {
	AdmissionDecision,
	CatalogueSnapshot,
	CatalogueView,
	Clock,
	DataCentreId,
	InstanceId,
	InstanceLocation,
	Instant,
	Limiter,
	ServiceQuotaRequest,
	ServiceQuotaGrant,
	RandomSource,
	ServiceLimits,
	ServiceName,
	ShareMap,
} from '@baobabpier/core';
import {createLog} from '../log.js';
import type {Peers} from '../rpc/peers.js';
import type {RpcServer} from '../rpc/rpc-server.js';

const askMs = 1000;
const pressureMs = 100;
const callMs = 500;
const settleMs = 6000;
/** Two rounds until a new owner has heard every holder, and one second for room for a burst. */
const burstMs = 3000;
const ownerLeaseMs = 5000;
/** Shorter than the owner's count by more than two clocks can drift apart. */
const holderLeaseMs = 4000;
const log = createLog('limits');

/** What the limit task needs. */
export type LimitTaskParts = {
	readonly self: InstanceLocation;
	readonly incarnation: number;
	readonly instances: readonly InstanceLocation[];
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly shares: ShareMap;
	readonly peers: Peers;
	readonly catalogue: CatalogueView;
};

/** Keeps this instance's parts of the limits leased. */
export class LimitTask implements Limiter {
	readonly #limiter: LeasedLimiter;
	readonly #owners: QuotaAllocators;
	readonly #answered = new Set<string>();
	#timer: NodeJS.Timeout | undefined;
	#firstAskAt: number | undefined;
	#askedAt = Number.NEGATIVE_INFINITY;
	#settledAt: number | undefined;
	#yieldedAt: number | undefined;

	constructor(private readonly parts: LimitTaskParts) {
		const {self, instances} = parts;
		this.#owners = new QuotaAllocators(parts.shares, instances, ownerLeaseMs);
		this.#limiter = new LeasedLimiter({
			holder: self.id, incarnation: parts.incarnation, leaseMs: holderLeaseMs,
		}, parts.random);
	}

	/** Whether every limit was leased long enough to have room for a burst, or there was time enough for it. */
	get isInitialized(): boolean {
		const now = this.parts.clock.now();
		const isSettled = this.#settledAt !== undefined && now - this.#settledAt >= burstMs;
		return isSettled || (this.#firstAskAt !== undefined && now - this.#firstAskAt > settleMs);
	}

	/** Registers the owner's method and starts asking. */
	start(server: RpcServer): void {
		server.registerMethod(LIMIT_PARTS, ({scope, asks}) => ({grants: this.#answer(scope, asks)}));
		this.#timer = setInterval(() => {
			this.requestQuotas();
		}, askMs);
	}

	stop(): void {
		clearInterval(this.#timer);
	}

	/** Admits a request; a refusal makes the next ask come soon. */
	admit(service: ServiceName, limits: ServiceLimits, tokens: number, now: Instant): AdmissionDecision {
		const verdict = this.#limiter.admit(service, limits, tokens, now);
		if (verdict.kind === 'refused' && now - this.#askedAt >= pressureMs) {
			this.requestQuotas();
		}

		return verdict;
	}

	/** Asks the owners of every limit for parts. */
	requestQuotas(): void {
		const snapshot = this.parts.catalogue.current();
		if (snapshot.services.size === 0) {
			return;
		}

		this.#askedAt = this.parts.clock.now();
		this.#firstAskAt ??= this.#askedAt;
		for (const scope of [this.parts.self.dataCentre, deploymentScope]) {
			for (const [owner, services] of this.#groupByOwner(scope, snapshot)) {
				void this.#askOwner(scope, owner, services);
			}
		}
	}

	#groupByOwner(scope: DataCentreId, snapshot: CatalogueSnapshot): ReadonlyMap<InstanceId, ServiceName[]> {
		const groups = new Map<InstanceId, ServiceName[]>();
		for (const service of snapshot.services.keys()) {
			const owner = this.parts.shares.find({kind: 'limits', service, dataCentre: scope}, this.parts.clock.now())?.holder;
			if (owner !== undefined) {
				groups.set(owner, [...groups.get(owner) ?? [], service]);
			}
		}

		return groups;
	}

	async #askOwner(scope: DataCentreId, owner: InstanceId, services: readonly ServiceName[]): Promise<void> {
		const now = this.parts.clock.now();
		const asks = services.flatMap(service => this.#limiter.createRequests(service, scope, now));
		try {
			const grants = await this.#send(scope, owner, asks);
			this.#limiter.applyGrants(scope, grants, this.parts.clock.now());
			for (const {service} of grants) {
				this.#answered.add(`${scope}/${service}`);
			}

			this.#settledAt ??= this.#answered.size >= this.parts.catalogue.current().services.size * 2 ? this.parts.clock.now() : undefined;
			this.#yieldSoon(scope, owner, grants);
		} catch (error) {
			log('The owner of limits did not answer.', {scope, owner, reason: (error as Error).message});
		}
	}

	/** Tells the owner soon what was let go, so that those who want it need not wait for the next round. */
	#yieldSoon(scope: DataCentreId, owner: InstanceId, grants: readonly ServiceQuotaGrant[]): void {
		const yielding = new Set(grants.filter(({answer}) => answer.yieldTo < answer.granted).map(({service}) => service));
		const isRepeat = this.#yieldedAt !== undefined && this.parts.clock.now() - this.#yieldedAt < askMs / 2;
		if (yielding.size > 0 && !isRepeat) {
			this.#yieldedAt = this.parts.clock.now();
			void this.#askOwner(scope, owner, [...yielding]);
		}
	}

	async #send(scope: DataCentreId, owner: InstanceId, asks: readonly ServiceQuotaRequest[]): Promise<readonly ServiceQuotaGrant[]> {
		if (owner === this.parts.self.id) {
			return this.#answer(scope, asks);
		}

		const {grants} = await this.parts.peers.get(owner).call(LIMIT_PARTS, {scope, asks}, callMs);
		return grants;
	}

	#answer(scope: DataCentreId, asks: readonly ServiceQuotaRequest[]): readonly ServiceQuotaGrant[] {
		return this.#owners.handleRequests(scope, asks, this.parts.catalogue.current(), this.parts.clock.now());
	}
}
