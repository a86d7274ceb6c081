/** How a limit is split into scopes: one for each data centre, and one for the whole deployment. */
import type {ServiceLimits} from '../catalogue/types.js';
import {toId} from '../ids.js';
import type {DataCentreId, ServiceName} from '../ids.js';
import type {QuotaGrant, QuotaRequest} from './limit-share-owner.js';

/** The limits that are shared over all instances. */
export const limitDimensions = ['inFlight', 'requestsPerSecond', 'tokensPerSecond'] as const;

/** One shared limit of a service. */
export type LimitDimension = (typeof limitDimensions)[number];

/** Stands for the whole deployment where a data centre is named; no data centre can have this name. */
export const deploymentScope = toId<DataCentreId>('*');

/** Smallest step of a part of each limit. */
export const quotaSteps = {inFlight: 1, requestsPerSecond: 0, tokensPerSecond: 0} as const;

/** A holder's wish for a part of one limit of one service. */
export type ServiceQuotaRequest = {
	readonly service: ServiceName;
	readonly dimension: LimitDimension;
	readonly req: QuotaRequest;
};

/** The answer to a `PartAsk`. */
export type ServiceQuotaGrant = {
	readonly service: ServiceName;
	readonly dimension: LimitDimension;
	readonly answer: QuotaGrant;
};

/** The part of a limit that stays in the data centres, so that one that is cut off goes on serving. */
const localPart = 0.5;

/**
 * Works out a scope's share of a limit; the shares of all scopes add up to the limit.
 *
 * @example
 * scopeTotal(limits, 'inFlight', deploymentScope, 3);
 */
export const scopeLimit = (limits: ServiceLimits, dimension: LimitDimension, scope: DataCentreId, dataCentres: number): number => {
	const limit = limits[dimension];
	const each = (limit * localPart) / dataCentres;
	const local = quotaSteps[dimension] === 1 ? Math.floor(each) : each;
	return scope === deploymentScope ? limit - (local * dataCentres) : local;
};
