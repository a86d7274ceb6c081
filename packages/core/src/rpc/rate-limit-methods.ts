/** Methods by which instances share the limits that servers name. */
import type {BackendId, InstanceId} from '../ids.js';
import type {
	LimitObservation, PermitDecision, PermitRequest, ServerRateLimit,
} from '../server-rate-limits/types.js';
import {defineRpcMethod} from './rpc-methods.js';

/** An observation over the wire, whose time is relative. */
export type ReportedLimit = Omit<LimitObservation, 'instance' | 'sentAt' | 'requestsPerSecond'> & {
	/** Absent when the response names none. */
	readonly requestsPerSecond?: number | undefined;
	/** Time since the request was sent, in milliseconds. */
	readonly sentAgoMs: number;
};

/** What an instance has learned of limits. */
export type RateLimitReport = {
	readonly instance: InstanceId;
	readonly observations: readonly ReportedLimit[];
	/** Limits of former leaders, for one that has yet to hear of them. */
	readonly recorded: readonly ServerRateLimit[];
};

/** A request for a permit, with what the instance knows of the limit. */
export type ServerPermitParams = PermitRequest & {
	readonly instance: InstanceId;
	/** The limit in force at the instance, in requests a second. */
	readonly requestsPerSecond: number;
	/** The limit as a leader has recorded it; absent while none has. */
	readonly recorded: ServerRateLimit | undefined;
};

/** The decision, and the limit that the leader knows. */
export type ServerPermitResponse = {
	readonly decision: PermitDecision;
	readonly limit: ServerRateLimit | undefined;
};

/** The limits in force, as an operator sees them. */
export type RateLimitStatus = {
	readonly limits: ReadonlyArray<{readonly server: BackendId; readonly requestsPerSecond: number; readonly namedTo: InstanceId}>;
};

/* eslint-disable @typescript-eslint/naming-convention */
/** Asks for permission to send a request to a limited server. */
export const SERVER_PERMIT = defineRpcMethod<ServerPermitParams, ServerPermitResponse>('rateLimit.permit');
/** Reports what responses say of limits; returns what the leader knows of these servers. */
export const RATE_LIMIT_REPORT = defineRpcMethod<RateLimitReport, {readonly limits: readonly ServerRateLimit[]}>('rateLimit.report');
/** Lists the limits in force. */
export const RATE_LIMIT_LIST = defineRpcMethod<Record<string, never>, RateLimitStatus>('rateLimit.list');
/* eslint-enable @typescript-eslint/naming-convention */
