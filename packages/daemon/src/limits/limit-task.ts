/** Leases quotas from the owners of limits, and allocates the quotas of the limits that this instance owns. */
import {setTimeout as sleep} from 'node:timers/promises';
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

const requestIntervalMs = 1000;
const earlyRequestIntervalMs = 100;
const callTimeoutMs = 500;
/** Maximum wait of a request over its quota of requests in progress for a new grant, in milliseconds. */
const grantWaitMs = 250;
const initializationTimeoutMs = 6000;
/** Two request rounds, after which a new owner has received a request from every holder, plus one second to accumulate burst capacity. */
const burstAccumulationMs = 3000;
/** In milliseconds. Outlasts the takeover of a lost owner's limits, some 14 s after its last grant, so that no holder is without a quota meanwhile. */
const holderLeaseDurationMs = 20_000;
/** More than two clocks can drift apart during a lease, in milliseconds. */
const clockDriftMs = 1000;
const ownerLeaseDurationMs = holderLeaseDurationMs + clockDriftMs;
const log = createLog('limits');

/** Dependencies of the limit task. */
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

/** Keeps this instance's quotas leased. */
export class LimitTask implements Limiter {
	readonly #limiter: LeasedLimiter;
	readonly #allocators: QuotaAllocators;
	readonly #grantedLimits = new Set<string>();
	#timer: NodeJS.Timeout | undefined;
	#firstRequestedAt: number | undefined;
	#requestedAt = Number.NEGATIVE_INFINITY;
	#fullyLeasedAt: number | undefined;
	#reducedAt: number | undefined;
	#earlyRequest: Promise<void> | undefined;

	constructor(private readonly parts: LimitTaskParts) {
		const {self, instances} = parts;
		this.#allocators = new QuotaAllocators(parts.shares, instances, ownerLeaseDurationMs);
		this.#limiter = new LeasedLimiter({
			holder: self.id, incarnation: parts.incarnation, leaseMs: holderLeaseDurationMs,
		}, parts.random);
	}

	/** Whether every limit has been leased long enough to accumulate burst capacity, or the initialization timeout has passed. */
	get isInitialized(): boolean {
		const now = this.parts.clock.now();
		const isLeasedLongEnough = this.#fullyLeasedAt !== undefined && now - this.#fullyLeasedAt >= burstAccumulationMs;
		return isLeasedLongEnough || (this.#firstRequestedAt !== undefined && now - this.#firstRequestedAt > initializationTimeoutMs);
	}

	/** Registers the owner's RPC method and starts to request quotas periodically. */
	start(server: RpcServer): void {
		server.registerMethod(LIMIT_PARTS, ({scope, asks: requests}) => ({grants: this.#allocate(scope, requests)}));
		this.#timer = setInterval(() => {
			void this.requestQuotas();
		}, requestIntervalMs);
	}

	stop(): void {
		clearInterval(this.#timer);
	}

	/**
	 * Admits or refuses a request; a refusal triggers an early quota request. A request over the quota of requests in progress
	 * waits for the grant, since the rest of the limit may be unused and assigned to an instance that was busy a moment ago.
	 */
	async admit(service: ServiceName, limits: ServiceLimits, tokens: number, now: Instant): Promise<AdmissionDecision> {
		const decision = this.#limiter.admit(service, limits, tokens, now);
		if (decision.kind === 'admitted') {
			return decision;
		}

		if (decision.limit === 'inFlight') {
			await Promise.race([this.#requestEarly(), sleep(grantWaitMs, undefined, {ref: false})]);
			return this.#limiter.readmit(service, tokens, this.parts.clock.now());
		}

		void this.#requestEarly();
		return decision;
	}

	/** Requests quotas from the owners of all limits; resolves once each has responded or timed out. */
	async requestQuotas(): Promise<void> {
		const snapshot = this.parts.catalogue.current();
		if (snapshot.services.size === 0) {
			return;
		}

		this.#requestedAt = this.parts.clock.now();
		this.#firstRequestedAt ??= this.#requestedAt;
		await Promise.all([this.parts.self.dataCentre, deploymentScope].flatMap(scope =>
			[...this.#groupByOwner(scope, snapshot)].map(async ([owner, services]) => this.#requestFromOwner(scope, owner, services))));
	}

	/** Requests quotas before the next round; refused requests share one early request. */
	async #requestEarly(): Promise<void> {
		this.#earlyRequest ??= this.#requestAfterInterval();
		await this.#earlyRequest;
	}

	async #requestAfterInterval(): Promise<void> {
		try {
			const waitMs = this.#requestedAt + earlyRequestIntervalMs - this.parts.clock.now();
			if (waitMs > 0) {
				// Rounded up, as demand is measured over whole intervals
				await sleep(Math.ceil(waitMs) + 1);
			}

			await this.requestQuotas();
		} finally {
			this.#earlyRequest = undefined;
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

	async #requestFromOwner(scope: DataCentreId, owner: InstanceId, services: readonly ServiceName[]): Promise<void> {
		const now = this.parts.clock.now();
		const requests = services.flatMap(service => this.#limiter.createRequests(service, scope, now));
		try {
			const grants = await this.#send(scope, owner, requests);
			this.#limiter.applyGrants(scope, grants, this.parts.clock.now());
			for (const {service} of grants) {
				this.#grantedLimits.add(`${scope}/${service}`);
			}

			this.#fullyLeasedAt ??= this.#grantedLimits.size >= this.parts.catalogue.current().services.size * 2 ? this.parts.clock.now() : undefined;
			this.#reportReductions(scope, owner, grants);
		} catch (error) {
			log('The limit owner did not respond.', {scope, owner, reason: (error as Error).message});
		}
	}

	/** Reports reduced quotas to the owner at once, so that other holders needn't wait for the next round. */
	#reportReductions(scope: DataCentreId, owner: InstanceId, grants: readonly ServiceQuotaGrant[]): void {
		const reduced = new Set(grants.filter(({answer}) => answer.yieldTo < answer.granted).map(({service}) => service));
		const isRepeat = this.#reducedAt !== undefined && this.parts.clock.now() - this.#reducedAt < requestIntervalMs / 2;
		if (reduced.size > 0 && !isRepeat) {
			this.#reducedAt = this.parts.clock.now();
			void this.#requestFromOwner(scope, owner, [...reduced]);
		}
	}

	async #send(scope: DataCentreId, owner: InstanceId, requests: readonly ServiceQuotaRequest[]): Promise<readonly ServiceQuotaGrant[]> {
		if (owner === this.parts.self.id) {
			return this.#allocate(scope, requests);
		}

		const {grants} = await this.parts.peers.get(owner).call(LIMIT_PARTS, {scope, asks: requests}, callTimeoutMs);
		return grants;
	}

	#allocate(scope: DataCentreId, requests: readonly ServiceQuotaRequest[]): readonly ServiceQuotaGrant[] {
		return this.#allocators.handleRequests(scope, requests, this.parts.catalogue.current(), this.parts.clock.now());
	}
}
