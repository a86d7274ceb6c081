/** The decoded routing configuration: which calls go to which service, within which limits. */
import type {Branded, RoutingVersion, ServiceName} from '../ids.js';
import type {Team} from '../teams/types.js';

/** A route's name. */
export type RouteName = Branded<string, 'RouteName'>;

/** Whether a route's calls may be retried: a `safe` call may, an `unsafe` one may not. */
export type RouteKind = 'safe' | 'unsafe' | 'stream';

/** A service that receives a fraction of a route's calls. */
export type RouteTarget = {
	readonly service: ServiceName;
	/** Weight relative to the route's other targets. */
	readonly weight: number;
};

/** Routes the calls of one host and path prefix. */
export type Route = {
	readonly name: RouteName;
	/** In lower case. */
	readonly host: string;
	/** Begins and ends with a slash. */
	readonly prefix: string;
	readonly kind: RouteKind;
	/** Request timeout, in milliseconds. */
	readonly timeoutMs: number;
	/** Target time to the response, or to a stream's first event, in milliseconds. */
	readonly targetLatencyMs: number;
	/** 0 is the most urgent. */
	readonly priority: number;
	readonly targets: readonly RouteTarget[];
	/** Maximum number of servers that one call is sent to. */
	readonly maxAttempts: number;
	/** Whether a broken stream may be resumed at another engine. */
	readonly resumable: boolean;
	/** Target for the longest gap between events, in milliseconds. */
	readonly targetGapMs: number;
	/** Whether callers without a key may use it where the configuration has teams. */
	readonly isOpen?: boolean;
};

/** Capabilities of the engines of a model service. */
export type EngineCapabilities = {
	/** Concurrent requests. */
	readonly slots: number;
	/** KV cache capacity, in tokens. */
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
	/** Connections that each of its servers accepts in total. */
	readonly maxConnections: number;
	/** Undefined for a plain service. */
	readonly engines: EngineCapabilities | undefined;
};

/** Size limits and timeouts of calls. */
export type CallerLimits = {
	readonly headerBytes: number;
	readonly bodyBytes: number;
	readonly headersTimeoutMs: number;
	readonly idleTimeoutMs: number;
};

/** An immutable routing configuration. */
export type RoutingTable = {
	readonly version: RoutingVersion;
	readonly routes: readonly Route[];
	readonly services: ReadonlyMap<ServiceName, RoutedService>;
	readonly limits: CallerLimits;
	/** Undefined where callers need no key. */
	readonly teams?: readonly Team[] | undefined;
};

/** A validation fault of a routing configuration. */
export type RoutingFault = {
	/** Path of the field, such as `routes.2.timeout`. */
	readonly field: string;
	readonly value: string;
	readonly problem: string;
};
