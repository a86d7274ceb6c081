/** Admission of requests under the limits of a service. */
import type {ServiceLimits} from '../catalogue/types.js';
import type {ServiceName} from '../ids.js';
import type {Instant} from '../time.js';

/** The outcome of an admission check. */
export type AdmissionDecision =
	/** `release` must be called when the request ends; further calls do nothing. */
	| {readonly kind: 'admitted'; readonly release: () => void}
	| {readonly kind: 'refused'; readonly limit: 'inFlight' | 'requestsPerSecond' | 'tokensPerSecond'; readonly retryAfterMs: number};

/** Admits requests under a service's limits. */
export type Limiter = {
	admit(service: ServiceName, limits: ServiceLimits, tokens: number, now: Instant): AdmissionDecision | Promise<AdmissionDecision>;
};
