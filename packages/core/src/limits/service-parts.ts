/** One instance's parts of all limits of one service. */
import type {DataCentreId, ServiceName} from '../ids.js';
import type {Instant} from '../time.js';
import {DemandEstimator} from './demand.js';
import {QuotaHolder} from './limit-share-holder.js';
import type {QuotaHolderOptions} from './limit-share-holder.js';
import {
	deploymentScope, limitDimensions, quotaSteps,
} from './limit-scope.js';
import type {LimitDimension, ServiceQuotaRequest, ServiceQuotaGrant} from './limit-scope.js';
import {TokenBucket} from './rate-bucket.js';

/** A refusal by one limit. */
export type QuotaRefusal = {
	readonly limit: LimitDimension;
	readonly waitMs: number;
};

const inFlightWaitMs = 1000;
const askPeriodMs = 1000;

type Holders = Readonly<Record<LimitDimension, QuotaHolder>>;

const createHolders = (terms: QuotaHolderOptions): Holders => ({
	inFlight: new QuotaHolder(terms), requestsPerSecond: new QuotaHolder(terms), tokensPerSecond: new QuotaHolder(terms),
});

/** Admits the requests of one service under the parts held, those of the data centre first. */
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

	/** Admits a request, and returns the end of its use, or says which limit refused it. */
	admit(tokens: number, now: Instant): (() => void) | QuotaRefusal {
		this.#demands.requestsPerSecond.add(1);
		this.#demands.tokensPerSecond.add(tokens);
		const requestRate = this.#quota('requestsPerSecond', now);
		if (requestRate === 0 || this.#requestBucket.refill(requestRate, now) < 1) {
			return {limit: 'requestsPerSecond', waitMs: this.#requestBucket.waitMs(1, requestRate)};
		}

		const tokenRate = this.#quota('tokensPerSecond', now);
		if (tokenRate === 0 || this.#tokenBucket.refill(tokenRate, now) < 0) {
			return {limit: 'tokensPerSecond', waitMs: this.#tokenBucket.waitMs(0, tokenRate)};
		}

		const holder = [this.#localHolders.inFlight, this.#deploymentHolders.inFlight].find(one => one.acquire(1, now));
		if (holder === undefined) {
			this.#refusedInFlight += 1;
			return {limit: 'inFlight', waitMs: inFlightWaitMs};
		}

		this.#requestBucket.take(1);
		this.#tokenBucket.take(tokens);
		return this.#beginUse(holder);
	}

	/** What to ask of a scope's owner now. */
	createRequests(scope: DataCentreId, now: Instant): readonly ServiceQuotaRequest[] {
		this.#measureDemand(now);
		return limitDimensions.map(dimension => {
			const step = quotaSteps[dimension];
			const fromLocal = scope === deploymentScope ? this.#localHolders[dimension].quota(now) : 0;
			const wanted = Math.max(0, this.#wanted[dimension] - fromLocal);
			return {service: this.service, dimension, req: this.#holder(scope, dimension).createRequest(step === 1 ? Math.ceil(wanted) : wanted, now)};
		});
	}

	/** Takes a scope owner's answer in. */
	applyGrant(scope: DataCentreId, {dimension, answer}: ServiceQuotaGrant, now: Instant): void {
		this.#requestBucket.refill(this.#quota('requestsPerSecond', now), now);
		this.#tokenBucket.refill(this.#quota('tokensPerSecond', now), now);
		this.#holder(scope, dimension).applyGrant(answer);
	}

	#beginUse(holder: QuotaHolder): () => void {
		this.#inFlight += 1;
		this.#demands.inFlight.recordLevel(this.#inFlight);
		let isOpen = true;
		return () => {
			if (isOpen) {
				isOpen = false;
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

	/** Closes a period of the demand once it is long enough to tell a rate. */
	#measureDemand(now: Instant): void {
		const periodMs = this.#measuredAt === undefined ? askPeriodMs : now - this.#measuredAt;
		this.#demands.inFlight.recordLevel(this.#inFlight + this.#refusedInFlight);
		if (periodMs < askPeriodMs / 10) {
			return;
		}

		const seconds = periodMs / askPeriodMs;
		this.#measuredAt = now;
		this.#refusedInFlight = 0;
		this.#wanted = {
			inFlight: this.#demands.inFlight.endPeriod(),
			requestsPerSecond: this.#demands.requestsPerSecond.endPeriod(seconds),
			tokensPerSecond: this.#demands.tokensPerSecond.endPeriod(seconds),
		};
	}
}
