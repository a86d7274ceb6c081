/** Types of the gateway: a caller's call, the responses to it, and the translations that a platform adapter provides. */
import type {
	Instant, KeyDigest, ListedServer, RequestId, Route, RouterError, RoutingFault, RoutingTable, Result, SegmentId, SoftwareVersion, Team,
} from '@baobabpier/core';

/** Metadata that a caller sends with a call, besides method, path and body. */
export type CallMetadata = {
	readonly requestId: RequestId;
	/** Timeout that the caller requests, in milliseconds; undefined when the call has none. */
	readonly callerTimeoutMs: number | undefined;
	/** Number of prompt tokens; 0 for a plain call. */
	readonly promptTokens: number;
	/** Maximum number of output tokens; 0 for a plain call. */
	readonly maxTokens: number;
	/** Id of the last stream event that the caller received; undefined when the stream starts from the beginning. */
	readonly lastEventId: string | undefined;
	/** Request that brought the first event of the stream which the caller takes up again; absent for a new stream. */
	readonly resumes?: RequestId | undefined;
	/** What other requests may have in common with it: segments of its prompt, without repetitions, or else the digest of the whole request. */
	readonly sharedSegments: readonly SegmentId[];
	/** Digest of the caller's key; absent where the call has none. */
	readonly key?: KeyDigest | undefined;
};

/** Who sent a call, where the configuration has teams. */
export type CallSender = {
	/** Undefined for a caller without a key, on a route that is open to everyone. */
	readonly team: Team | undefined;
};

/** A caller's call with its complete body. */
export type Call = CallMetadata & {
	readonly method: string;
	/** Path and query as the caller sent them. */
	readonly target: string;
	/** Alternating header names and values, as the caller sent them. */
	readonly rawHeaders: readonly string[];
	readonly body: Uint8Array;
	readonly route: Route;
	/** Whether another instance relays the call here; it goes through no third one. */
	readonly isRelayed?: boolean;
	/** Who sent it; absent where the configuration has no teams. */
	readonly sender?: CallSender;
	readonly arrivedAt: Instant;
	/** The earlier of the caller's and the route's deadline. */
	readonly deadlineAt: Instant;
};

/**
 * The priority of a call, 0 being the most urgent: that of its team, or else of its route.
 *
 * @example
 * priorityOf({route, sender: {team}}); // Priority of the team, if it has one
 */
export const priorityOf = ({route, sender}: Pick<Call, 'route' | 'sender'>): number => sender?.team?.priority ?? route.priority;

/** Purpose of a request to a backend server. */
export type SendPurpose =
	| {readonly kind: 'run'; readonly lease?: string | undefined}
	/** Processes only the prompt. */
	| {readonly kind: 'prefill'}
	/** Continues the stream from a KV cache that another engine holds. */
	| {readonly kind: 'decode'; readonly source: KvSource; readonly lease?: string | undefined}
	/** Resumes an interrupted stream after its last event. */
	| {readonly kind: 'resume'; readonly lastEventId: string; readonly lease?: string | undefined};

/** Location of a prefill's KV cache. */
export type KvSource = {
	readonly address: string;
	readonly handle: string;
	/** Version of the software that wrote it. */
	readonly softwareVersion: SoftwareVersion;
};

/** What a server says of itself in the head of a response. */
export type ServerNotice = {
	/** Whether the server leaves and wants no more work. */
	readonly isLeaving: boolean;
	/** Time for which a server that refuses a request wants no further ones, in milliseconds; undefined when it states none, NaN when the time can't be read. */
	readonly retryAfterMs: number | undefined;
	/** Requests a second that the server takes from all instances together; undefined when it names no limit, NaN when the limit can't be read. */
	readonly requestsPerSecond: number | undefined;
};

/** Status and headers of a backend server's response. */
export type ResponseHead = {
	readonly status: number;
	/** Alternating header names and values. */
	readonly rawHeaders: readonly string[];
	/** Whether the response carries the mark by which a server identifies its own responses. */
	readonly isAuthentic: boolean;
	/** Whether the address now belongs to another server than the intended one. */
	readonly isMisdirected: boolean;
	/** Whether the server reports that it has not executed the request and will not. */
	readonly isNotExecuted: boolean;
	/** Whether the body has a content encoding, which callers did not request. */
	readonly isEncoded: boolean;
	/** Number of requests running and queued at the server; undefined when it reports none. */
	readonly load: number | undefined;
	/** How many times as long as usual work takes at the server now; absent when it reports none. */
	readonly slowdown?: number | undefined;
};

/** Translates callers' requests and the error responses to them. */
export type CallerDialect = {
	parseMetadata(headers: Readonly<Record<string, string | string[] | undefined>>): Result<CallMetadata, RouterError>;
	/** Headers of an error response: the request's id and the time after which to retry. */
	errorHeaders(requestId: string | undefined, retryAfterMs: number | undefined): Record<string, string>;
	/** Headers, as alternating names and values, with which the stream of a request is taken up after an event, and the names that they replace. */
	takeUpHeaders(requestId: RequestId, lastEventId: string): {readonly names: ReadonlySet<string>; readonly headers: string[]};
};

/** Translates what servers say of themselves. */
export type NoticeDialect = {
	readNotice(rawHeaders: readonly string[]): ServerNotice;
};

/** Translates requests to backend servers and their responses. */
export type ServerDialect = NoticeDialect & {
	/** Alternating header names and values of a request to a server that must complete within `remainingMs`. */
	sendHeaders(call: Call, server: ListedServer, purpose: SendPurpose, remainingMs: number): string[];
	readHead(status: number, rawHeaders: readonly string[]): ResponseHead;
	/** Returns the id of the request that a response names; undefined when it names none. */
	readResponseId(rawHeaders: readonly string[]): string | undefined;
	/** Returns the handle of a prefill's result; undefined when the response has none. */
	readPrefill(body: Uint8Array): string | undefined;
	/** Creates the request that leases memory and a slot on an engine for one stream, for `ms` milliseconds. */
	leaseCall(tokens: number, ms: number): {readonly method: string; readonly target: string; readonly headers: string[]; readonly body: Uint8Array};
	/** Returns the lease from the response to that request; undefined when the engine has no capacity. */
	readLease(status: number, body: Uint8Array): string | undefined;
	/** Path of the DELETE request that drops an unused lease. */
	dropLeasePath(lease: string): string;
	/** Path of the DELETE request that frees a prefill's result. */
	freePath(handle: string): string;
};

/** One page of the platform's server list. */
export type ListPage = {
	readonly servers: readonly ListedServer[];
	/** Token of the next page; undefined on the last. */
	readonly next: string | undefined;
	/** Number of entries that could not be read. */
	readonly unreadable: number;
	/** Whether the page was read to its end; otherwise more entries or pages may follow. */
	readonly isWhole: boolean;
};

/** Translates the platform's server list. */
export type ListDialect = {
	pagePath(token: string | undefined): string;
	readPage(body: Uint8Array): Result<ListPage, string>;
};

/** Decodes routing configurations. */
export type RoutingCodec = {
	decode(text: string): Result<RoutingTable, readonly RoutingFault[]>;
};

/** All translations that a platform adapter provides to an entry instance. */
export type GatewayDialect = {
	readonly caller: CallerDialect;
	readonly server: ServerDialect;
	readonly list: ListDialect;
	readonly routing: RoutingCodec;
};
