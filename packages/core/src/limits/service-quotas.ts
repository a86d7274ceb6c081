/** One instance's quotas of all limits of one service. */
import type {DataCentreId, ServiceName} from '../ids.js';
import type {Instant} from '../time.js';
import {DemandEstimator} from './demand-estimator.js';
import {QuotaHolder} from './quota-holder.js';
import type {QuotaHolderOptions} from './quota-holder.js';
import {
	deploymentScope, limitDimensions, quotaSteps,
} from './limit-scope.js';
import type {LimitDimension, ServiceQuotaRequest, ServiceQuotaGrant} from './limit-scope.js';
import {TokenBucket} from './token-bucket.js';

/** Rejection by one limit. */
export type QuotaRefusal = {
	readonly limit: LimitDimension;
	readonly waitMs: number;
};

const inFlightRetryAfterMs = 1000;
const measurementPeriodMs = 1000;

type Holders = Readonly<Record<LimitDimension, QuotaHolder>>;

const createHolders = (terms: QuotaHolderOptions): Holders => ({
	inFlight: new QuotaHolder(terms), requestsPerSecond: new QuotaHolder(terms), tokensPerSecond: new QuotaHolder(terms),
});

/** Admits the requests of one service within its quotas; those of the data centre are used first. */
export class ServiceQuotas {
	readonly #localHolders: Holders;
	readonly #deploymentHolders: Holders;
	readonly #requestBucket = new TokenBucket();
	readonly #tokenBucket = new TokenBucket();
	readonly #demands: Readonly<Record<LimitDimension, DemandEstimator>> = {inFlight: new DemandEstimator(), requestsPerSecond: new DemandEstimator(), tokensPerSecond: new DemandEstimator()};
	#wanted: Readonly<Record<LimitDimension, number>> = {inFlight: 0, requestsPerSecond: 0, tokensPerSecond: 0};
	#measuredAt: Instant | undefined;
	#inFlight = 0;
	#refusedInFlight = 0;

	constructor(private readonly service: ServiceName, private readonly terms: QuotaHolderOptions) {
		this.#localHolders = createHolders(terms);
		this.#deploymentHolders = createHolders(terms);
	}

	/** Admits a request and returns a function that releases it, or returns the limit that rejected it. */
	admit(tokens: number, now: Instant): (() => void) | QuotaRefusal {
		this.#demands.requestsPerSecond.add(1);
		this.#demands.tokensPerSecond.add(tokens);
		return this.readmit(tokens, now);
	}

	/** Admits a request whose demand is already counted: it was rejected before a new grant arrived. */
	readmit(tokens: number, now: Instant): (() => void) | QuotaRefusal {
		const requestRate = this.#quota('requestsPerSecond', now);
		if (requestRate === 0 || this.#requestBucket.refill(requestRate, now) < 1) {
			return {limit: 'requestsPerSecond', waitMs: this.#requestBucket.waitMs(1, requestRate)};
		}

		const tokenRate = this.#quota('tokensPerSecond', now);
		if (tokenRate === 0 || this.#tokenBucket.refill(tokenRate, now) < 0) {
			return {limit: 'tokensPerSecond', waitMs: this.#tokenBucket.waitMs(0, tokenRate)};
		}

		const holder = [this.#localHolders.inFlight, this.#deploymentHolders.inFlight].find(candidate => candidate.acquire(1, now));
		if (holder === undefined) {
			this.#refusedInFlight += 1;
			return {limit: 'inFlight', waitMs: inFlightRetryAfterMs};
		}

		this.#requestBucket.take(1);
		this.#tokenBucket.take(tokens);
		return this.#beginUse(holder);
	}

	/** Creates the quota requests for the allocator of a scope. */
	createRequests(scope: DataCentreId, now: Instant): readonly ServiceQuotaRequest[] {
		this.#measureDemand(now);
		return limitDimensions.map(dimension => {
			const step = quotaSteps[dimension];
			const fromLocal = scope === deploymentScope ? this.#localHolders[dimension].quota(now) : 0;
			const wanted = Math.max(0, this.#wanted[dimension] - fromLocal);
			return {service: this.service, dimension, req: this.#holder(scope, dimension).createRequest(step === 1 ? Math.ceil(wanted) : wanted, now)};
		});
	}

	/** Applies a grant of a scope's allocator. */
	applyGrant(scope: DataCentreId, {dimension, answer}: ServiceQuotaGrant, now: Instant): void {
		this.#requestBucket.refill(this.#quota('requestsPerSecond', now), now);
		this.#tokenBucket.refill(this.#quota('tokensPerSecond', now), now);
		this.#holder(scope, dimension).applyGrant(answer);
	}

	#beginUse(holder: QuotaHolder): () => void {
		this.#inFlight += 1;
		this.#demands.inFlight.recordLevel(this.#inFlight);
		let isInUse = true;
		return () => {
			if (isInUse) {
				isInUse = false;
				this.#inFlight -= 1;
				holder.release(1);
			}
		};
	}

	#holder(scope: DataCentreId, dimension: LimitDimension): QuotaHolder {
		return (scope === deploymentScope ? this.#deploymentHolders : this.#localHolders)[dimension];
	}

	#quota(dimension: LimitDimension, now: Instant): number {
		return this.#localHolders[dimension].quota(now) + this.#deploymentHolders[dimension].quota(now);
	}

	/** Ends the demand period once it is long enough to measure a rate. */
	#measureDemand(now: Instant): void {
		const periodMs = this.#measuredAt === undefined ? measurementPeriodMs : now - this.#measuredAt;
		this.#demands.inFlight.recordLevel(this.#inFlight + this.#refusedInFlight);
		if (periodMs < measurementPeriodMs / 10) {
			return;
		}

		const seconds = periodMs / measurementPeriodMs;
		this.#measuredAt = now;
		this.#refusedInFlight = 0;
		this.#wanted = {
			inFlight: this.#demands.inFlight.endPeriod(),
			requestsPerSecond: this.#demands.requestsPerSecond.endPeriod(seconds),
			tokensPerSecond: this.#demands.tokensPerSecond.endPeriod(seconds),
		};
	}
}
