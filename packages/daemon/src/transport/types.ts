/** Types of the transport: requests to other processes and what becomes of them. */
import type {Readable} from 'node:stream';
import type {
	BackendId, Instant, LimitRevision, ResponseBinding,
} from '@baobabpier/core';
import type {BufferAccount} from './buffer-account.js';

/** What a request is for, as metrics and logs name it. */
export type CallKind = 'run' | 'prefill' | 'lease' | 'release' | 'free' | 'order' | 'report' | 'liveness' | 'list' | 'rpc' | 'engine' | 'plain' | 'relay';

/** Where a response of another request, or of none, was found. */
export type ForeignMoment =
	/** In place of the response that was due. */
	| 'awaited'
	/** Within the body of another response. */
	| 'body'
	/** On a connection on which nothing was due. */
	| 'idle';

/** Called for each response that belongs to no request, or to another one. */
export type ForeignResponseListener = (kind: CallKind, moment: ForeignMoment) => void;

/** A request to a server. */
export type OutgoingRequest = {
	/** `IP:port`. */
	readonly address: string;
	readonly method: string;
	/** Path and query. */
	readonly target: string;
	/** Alternating names and values. */
	readonly headers: string[];
	readonly body: Uint8Array | Readable | undefined;
	readonly signal: AbortSignal;
	readonly kind: CallKind;
	/** What ties the response to this request. */
	readonly binding: ResponseBinding;
	/** The listed server that is addressed, if it is one. */
	readonly server?: BackendId;
	/** Whether a limited server takes it before others; requests without a caller are not urgent. */
	readonly isUrgent?: boolean;
	/** Whether the same request was sent to this address before: it gets a connection of its own. */
	readonly isRepeat?: boolean;
	/** Whether its connection is kept where it is aborted before a response: the response is discarded when it comes. */
	readonly keepsConnection?: boolean | undefined;
	/** Asked right before the first byte is written, after the wait for a connection; false withdraws the request. */
	readonly maySend?: () => boolean;
};

/** Why a request got no response. */
export type TransportFailure =
	/** Nothing was written: the request has not run and will not. */
	| {
		readonly kind: 'unsent';
		readonly detail: string;
		/** Whether no connection could be established. */
		readonly isUnreachable?: boolean;
		/** Whether the address refused the connection: no process listens there. */
		readonly isRefused?: boolean;
		/** Whether the request was withdrawn right before it would have been written. */
		readonly isHeldBack?: boolean;
	}
	/** The connection failed, or the request was aborted, after part of it may have been sent. */
	| {readonly kind: 'broken'; readonly detail: string}
	/** A response of another request came in place of the response, or within it; the outcome is unknown. */
	| {readonly kind: 'foreign'; readonly detail: string; readonly responseId: string | undefined};

/** The head of a response, whose body is still to be read. */
export type OpenResponse = {
	readonly kind: 'head';
	readonly status: number;
	/** Alternating names and values. */
	readonly rawHeaders: readonly string[];
	readonly body: Readable;
	/** Whether the body may be truncated: only the end of the connection marks its end, and that may have been a reset. */
	readonly mayBeTruncated: () => boolean;
};

/** Permission to send one request to a server that names a limit. */
export type SendPermit = {
	/** When it expires. */
	readonly until: Instant;
};

/** What was known when a request was sent. */
export type SendRecord = {
	readonly sentAt: Instant;
	readonly isPermitted: boolean;
	/** What was recorded of the server's limit; undefined while nothing was. */
	readonly limitRevision: LimitRevision | undefined;
};

/** A request that asks for a permit. */
export type PermitSeeker = {
	readonly server: BackendId;
	readonly kind: CallKind;
	readonly requestId: string | undefined;
	readonly isUrgent: boolean;
};

/**
 * Asked before each request to a listed server, and told of each response from one.
 *
 * @example
 * const response = gate.needsPermit(server) ? await sendWith(await gate.acquirePermit(seeker, signal)) : await send();
 */
export type ServerGate = {
	/** Whether a request to a server needs a permit, since the server names a limit. */
	needsPermit(server: BackendId): boolean;
	/** Resolves with a permit, or with undefined when there is none now. */
	acquirePermit(seeker: PermitSeeker, signal: AbortSignal): Promise<SendPermit | undefined>;
	/** Whether a request may be written; false ends it as unsent. */
	maySend(server: BackendId, kind: CallKind, permit: SendPermit | undefined): boolean;
	/** Called right when a request is written. */
	recordSend(server: BackendId, kind: CallKind, permit: SendPermit | undefined): SendRecord;
	/** Called when the head of a response that belongs to its request has arrived. */
	recordResponse(server: BackendId, kind: CallKind, response: {readonly status: number; readonly rawHeaders: readonly string[]}, record: SendRecord): void;
};

/** The settings and listeners of a transport. */
export type ServerTransportOptions = {
	/** Maximum number of kept connections to an address; it may change. */
	readonly maxConnectionsTo: (address: string) => number;
	/** Returns the request's id that a response's headers name; undefined when they name none. */
	readonly readResponseId: (rawHeaders: readonly string[]) => string | undefined;
	readonly onForeignResponse?: ForeignResponseListener;
	readonly gate?: ServerGate;
	/** In milliseconds. */
	readonly connectTimeoutMs?: number;
	/** Account of the bodies that are read whole; that of the process when undefined. */
	readonly buffers?: BufferAccount;
};

/** A response of another request was found in place of a response, or within its body. */
export class ForeignResponseError extends Error {
	override readonly name = 'ForeignResponseError';

	constructor(readonly responseId: string | undefined) {
		// Callers get the message; the other request's id is for logs
		super('a response of another request arrived');
	}
}
