/** Types of the limits that servers name for all instances together. */
import type {BackendId, InstanceId, RequestId} from '../ids.js';
import type {Instant} from '../time.js';

/** Orders what is known of one server's limit, also across leaders. */
export type LimitRevision = {
	/** Term of the leader that recorded it. */
	readonly term: number;
	readonly count: number;
};

/** The limit of one server. */
export type ServerRateLimit = {
	readonly server: BackendId;
	/** Undefined once the server names none any more. */
	readonly requestsPerSecond: number | undefined;
	readonly revision: LimitRevision;
	/** The instance that received the response with it. */
	readonly namedTo: InstanceId;
};

/** All limits that a leader knows. */
export type RateLimitsSnapshot = {
	readonly term: number;
	/** Changes with the limits and the term. */
	readonly version: string;
	readonly limits: readonly ServerRateLimit[];
};

/** How urgent a request to a limited server is; `upkeep` are the calls that instances make for themselves. */
export type PermitClass = 'urgent' | 'patient' | 'upkeep';

/** Whether a request may be sent to a limited server now. */
export type PermitDecision =
	| {readonly kind: 'granted'}
	/** The time after which it is worth asking again, in milliseconds. */
	| {readonly kind: 'denied'; readonly availableInMs: number};

/** What a response says of its server's limit. */
export type LimitObservation = {
	readonly server: BackendId;
	/** Undefined when the response names none, NaN when the limit can't be read. */
	readonly requestsPerSecond: number | undefined;
	/** When its request was sent, by the clock of whoever records it. */
	readonly sentAt: Instant;
	/** Whether the request was sent with a permit, and so after the limit was known. */
	readonly isPermitted: boolean;
	readonly instance: InstanceId;
};

/** A change of a limit. */
export type LimitChange = {
	readonly server: BackendId;
	readonly before: number | undefined;
	readonly requestsPerSecond: number | undefined;
};

/** Asks for permission to send one request to a limited server. */
export type PermitRequest = {
	readonly server: BackendId;
	readonly class: PermitClass;
	/** A request that was placed on the server has its permit reserved. */
	readonly requestId: RequestId | undefined;
};

/**
 * Whether one revision is newer than another; any is newer than none.
 *
 * @example
 * isNewerRevision({term: 2, count: 1}, {term: 1, count: 9}); // true
 */
export const isNewerRevision = (revision: LimitRevision, than: LimitRevision | undefined): boolean =>
	than === undefined || revision.term > than.term || (revision.term === than.term && revision.count > than.count);
