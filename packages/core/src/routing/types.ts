/** The routing configuration as the product reads it: which calls go to which service, within which bounds. */
import type {Branded, RoutingVersion, ServiceName} from '../ids.js';

/** A route's name. */
export type RouteName = Branded<string, 'RouteName'>;

/** What may be repeated of a route's calls: all of a `safe` call, nothing of an `unsafe` one. */
export type RouteKind = 'safe' | 'unsafe' | 'stream';

/** A service that gets part of a route's calls. */
export type RouteTarget = {
	readonly service: ServiceName;
	/** Share of the calls, relative to the route's other targets. */
	readonly weight: number;
};

/** Where calls of one host and path prefix go. */
export type Route = {
	readonly name: RouteName;
	/** In lower case. */
	readonly host: string;
	/** Begins and ends with a slash. */
	readonly prefix: string;
	readonly kind: RouteKind;
	/** Longest time a caller is kept waiting, in milliseconds. */
	readonly timeoutMs: number;
	/** Time to the answer, or to a stream's first event, that counts as in time, in milliseconds. */
	readonly targetLatencyMs: number;
	/** Rank; 0 is the most urgent. */
	readonly priority: number;
	readonly targets: readonly RouteTarget[];
	/** Servers that one call may be sent to at most. */
	readonly maxAttempts: number;
	/** Whether a broken stream may go on at another engine. */
	readonly resumable: boolean;
	/** Longest pause between events that counts as steady, in milliseconds. */
	readonly targetGapMs: number;
};

/** What the engines of a model service can do. */
export type EngineCapabilities = {
	/** Requests that run at once. */
	readonly slots: number;
	/** Memory, in tokens. */
	readonly memoryTokens: number;
	/** Output tokens in one event of a stream. */
	readonly tokensPerEvent: number;
	/** How long a prefill's result is kept, in milliseconds. */
	readonly resultTtlMs: number;
};

/** A service of the routing configuration. */
export type RoutedService = {
	readonly name: ServiceName;
	readonly healthPath: string;
	/** Connections that one of its servers accepts from all callers together. */
	readonly maxConnections: number;
	/** Undefined for a plain service. */
	readonly engines: EngineCapabilities | undefined;
};

/** What a caller may send, and how long it may take. */
export type CallerLimits = {
	readonly headerBytes: number;
	readonly bodyBytes: number;
	readonly headersTimeoutMs: number;
	readonly idleTimeoutMs: number;
};

/** A routing configuration, immutable. */
export type RoutingTable = {
	readonly version: RoutingVersion;
	readonly routes: readonly Route[];
	readonly services: ReadonlyMap<ServiceName, RoutedService>;
	readonly limits: CallerLimits;
};

/** One fault of a routing configuration. */
export type RoutingFault = {
	/** Path of the field, such as `routes.2.timeout`. */
	readonly field: string;
	readonly value: string;
	readonly problem: string;
};
