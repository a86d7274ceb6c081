/** Splits a limit into scopes: one for each data centre, and one for the whole deployment. */
import type {ServiceLimits} from '../catalogue/types.js';
import {toId} from '../ids.js';
import type {DataCentreId, ServiceName} from '../ids.js';
import type {QuotaGrant, QuotaRequest} from './quota-allocator.js';

/** The limits that are shared over all instances. */
export const limitDimensions = ['inFlight', 'requestsPerSecond', 'tokensPerSecond'] as const;

/** One shared limit of a service. */
export type LimitDimension = (typeof limitDimensions)[number];

/** Scope of the whole deployment, in place of a data centre's id; no data centre can have this id. */
export const deploymentScope = toId<DataCentreId>('*');

/** Granularity of the quotas of each limit. */
export const quotaSteps = {inFlight: 1, requestsPerSecond: 0, tokensPerSecond: 0} as const;

/** A holder's request for a quota of one limit of one service. */
export type ServiceQuotaRequest = {
	readonly service: ServiceName;
	readonly dimension: LimitDimension;
	readonly req: QuotaRequest;
};

/** The grant for a `ServiceQuotaRequest`. */
export type ServiceQuotaGrant = {
	readonly service: ServiceName;
	readonly dimension: LimitDimension;
	readonly answer: QuotaGrant;
};

/** Fraction of a limit that is allocated within the data centres, so that a partitioned one continues to serve. */
const localFraction = 0.5;

/**
 * Computes the part of a limit that belongs to a scope; the parts of all scopes add up to the limit.
 *
 * @example
 * scopeLimit(limits, 'inFlight', deploymentScope, 3);
 */
export const scopeLimit = (limits: ServiceLimits, dimension: LimitDimension, scope: DataCentreId, dataCentres: number): number => {
	const limit = limits[dimension];
	const perDataCentre = (limit * localFraction) / dataCentres;
	const local = quotaSteps[dimension] === 1 ? Math.floor(perDataCentre) : perDataCentre;
	return scope === deploymentScope ? limit - (local * dataCentres) : local;
};
