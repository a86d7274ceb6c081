/** Admission of requests under the limits of a service. */
import type {ServiceLimits} from '../catalogue/types.js';
import type {ServiceName} from '../ids.js';
import type {Instant} from '../time.js';

/** The answer to a request for admission. */
export type AdmissionDecision =
	/** `leave` must be called when the request ends; a second call does nothing. */
	| {readonly kind: 'admitted'; readonly release: () => void}
	| {readonly kind: 'refused'; readonly limit: 'inFlight' | 'requestsPerSecond' | 'tokensPerSecond'; readonly retryAfterMs: number};

/** Admits requests under a service's limits. */
export type Limiter = {
	admit(service: ServiceName, limits: ServiceLimits, tokens: number, now: Instant): AdmissionDecision;
};
