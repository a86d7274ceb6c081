/** The vocabulary of the gateway: a caller's call, the answers to it, and what an adapter must translate. */
import type {
	Instant, ListedServer, RequestId, Route, RouterError, RoutingFault, RoutingTable, Result,
} from '@baobabpier/core';

/** What a caller says of its call besides method, path and body. */
export type CallMetadata = {
	readonly requestId: RequestId;
	/** How long the caller waits, in milliseconds; undefined when it does not say. */
	readonly callerTimeoutMs: number | undefined;
	/** Tokens of the prompt; 0 for a plain call. */
	readonly promptTokens: number;
	/** Output tokens at most; 0 for a plain call. */
	readonly maxTokens: number;
	/** Id of the last event of the stream that the caller has; undefined at a stream's beginning. */
	readonly lastEventId: string | undefined;
};

/** A caller's call, read whole. */
export type Call = CallMetadata & {
	readonly method: string;
	/** Path and query as the caller sent them. */
	readonly target: string;
	/** Header names and values in turn, as the caller sent them. */
	readonly rawHeaders: readonly string[];
	readonly body: Uint8Array;
	readonly route: Route;
	readonly arrivedAt: Instant;
	/** When the caller or the route gives up. */
	readonly deadlineAt: Instant;
};

/** What a call is sent to a server for. */
export type SendPurpose =
	| {readonly kind: 'run'; readonly lease?: string | undefined}
	/** Only the prompt is read. */
	| {readonly kind: 'prefill'}
	/** The stream goes on from memory that another engine holds. */
	| {readonly kind: 'decode'; readonly source: KvSource; readonly lease?: string | undefined}
	/** A broken stream goes on after an event. */
	| {readonly kind: 'resume'; readonly lastEventId: string; readonly lease?: string | undefined};

/** A prefill's result on its engine. */
export type KvSource = {
	readonly address: string;
	readonly handle: string;
};

/** The head of a server's answer. */
export type ResponseHead = {
	readonly status: number;
	/** Header names and values in turn. */
	readonly rawHeaders: readonly string[];
	/** The request that the answer belongs to, as the server says. */
	readonly requestId: string | undefined;
	/** Whether the server vouches for the answer. */
	readonly isAuthentic: boolean;
	/** Whether another server than the one that was meant has the address. */
	readonly isMisdirected: boolean;
	/** Whether the server says that it did not and will not run the request. */
	readonly isNotExecuted: boolean;
	/** Whether the body is encoded, which callers did not ask for. */
	readonly isEncoded: boolean;
	/** Requests running and waiting at the server; undefined when it does not say. */
	readonly load: number | undefined;
};

/** Translates the calls of callers. */
export type CallerDialect = {
	parseMetadata(headers: Readonly<Record<string, string | string[] | undefined>>): Result<CallMetadata, RouterError>;
	/** Headers of an error answer: the request's id and the time to come back. */
	errorHeaders(requestId: string | undefined, retryAfterMs: number | undefined): Record<string, string>;
};

/** Translates calls to servers and their answers. */
export type ServerDialect = {
	/** Header names and values in turn for a call to a server that must end within `remainingMs`. */
	sendHeaders(call: Call, server: ListedServer, purpose: SendPurpose, remainingMs: number): string[];
	readHead(status: number, rawHeaders: readonly string[]): ResponseHead;
	/** The handle of a prefill's result; undefined when the answer holds none. */
	readPrefill(body: Uint8Array): string | undefined;
	/** The call that reserves memory and a slot at an engine for one request. */
	leaseCall(tokens: number, ms: number): {readonly method: string; readonly target: string; readonly headers: string[]; readonly body: Uint8Array};
	/** The lease of an answer to that call; undefined when the engine has no room. */
	readLease(status: number, body: Uint8Array): string | undefined;
	/** Path of the DELETE call that frees a prefill's result. */
	freePath(handle: string): string;
};

/** One page of the platform's list. */
export type ListPage = {
	readonly servers: readonly ListedServer[];
	/** Token of the next page; undefined on the last. */
	readonly next: string | undefined;
	/** Entries that could not be read. */
	readonly unreadable: number;
};

/** Translates the platform's list. */
export type ListDialect = {
	pagePath(token: string | undefined): string;
	readPage(body: Uint8Array): Result<ListPage, string>;
};

/** Translates routing configurations. */
export type RoutingCodec = {
	decode(text: string): Result<RoutingTable, readonly RoutingFault[]>;
};

/** Everything that an adapter translates for an entry instance. */
export type GatewayDialect = {
	readonly caller: CallerDialect;
	readonly server: ServerDialect;
	readonly list: ListDialect;
	readonly routing: RoutingCodec;
};
