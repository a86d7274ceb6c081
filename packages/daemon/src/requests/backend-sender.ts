/** Sends one call to one backend server, once. */
import type {Readable} from 'node:stream';
import {err, ok, routerError} from '@baobabpier/core';
import type {
	BackendEntry, BackendId, ErrorKind, Result, RouterError,
} from '@baobabpier/core';
import {UseCounter} from '../fleet/use-counter.js';
import {createLog} from '../log.js';
import {traceHeaders, withSpan} from '../observability/tracing.js';
import {readIssuedId, requestIdHeader, RequestIdSource} from '../transport/request-id.js';
import {ServerTransport} from '../transport/server-transport.js';
import type {ForeignResponseListener, TransportFailure} from '../transport/types.js';
import {answerBody} from './answer-body.js';
import {answerHeaders, forwardHeaders} from './http-headers.js';
import type {PlainAnswer, PlainCall} from './plain-call.js';

/** In milliseconds. */
const connectTimeoutMs = 1000;
const log = createLog('plain');

/** Where and how a call is sent. */
export type SendOptions = {
	readonly backend: BackendEntry | undefined;
	readonly signal: AbortSignal;
	/** Asked right before the first byte is written; false means that the call must not go out any more. */
	readonly maySend?: () => boolean;
};

/** The error kind of a failed send; only what was surely not written counts as not run. */
export const failureOf = (failure: TransportFailure, signal: AbortSignal): ErrorKind => {
	if (failure.kind === 'unsent' && failure.isHeldBack === true) {
		return 'ledgerUnavailable';
	}

	if (failure.kind === 'unsent' && (failure.isUnreachable === true || !signal.aborted)) {
		return 'backendRefused';
	}

	return signal.aborted && (signal.reason as Error).name === 'TimeoutError' ? 'timeout' : 'outcomeUnknown';
};

/** Sends a call to one backend server. */
export type CallSender = {
	/** Sends a call once and waits for the head of its answer. */
	send(call: PlainCall, body: Readable | Uint8Array | undefined, options: SendOptions): Promise<Result<PlainAnswer, RouterError>>;
};

/** Connections to backend servers. Nothing here sends a call twice: no retry, no pipelining. */
export class BackendSender implements CallSender {
	readonly #transport: ServerTransport;
	readonly #ids = new RequestIdSource();
	readonly #uses = new UseCounter();

	constructor(onForeignResponse?: ForeignResponseListener) {
		this.#transport = new ServerTransport({
			maxConnectionsTo: () => Number.POSITIVE_INFINITY, readResponseId: readIssuedId, connectTimeoutMs, onForeignResponse,
		});
	}

	/** Calls in progress on a backend server. */
	usesOf(id: BackendId): number {
		return this.#uses.count(id);
	}

	async send(call: PlainCall, body: Readable | Uint8Array | undefined, {backend, signal, maySend}: SendOptions): Promise<Result<PlainAnswer, RouterError>> {
		if (backend === undefined) {
			return err(routerError('noBackend'));
		}

		const leave = this.#uses.enter(backend.id);
		const hasBody = call.method !== 'GET' && call.method !== 'HEAD';
		const {value, binding} = this.#ids.issue(call.requestId);
		return withSpan('backend.call', {attributes: {backend: backend.id}}, async () => {
			const response = await this.#transport.sendRequest({
				kind: 'plain',
				binding,
				server: backend.id,
				address: backend.address,
				method: call.method,
				target: call.path + call.search,
				headers: [...forwardHeaders(call.headers), requestIdHeader, value, ...Object.entries(traceHeaders()).flat()],
				body: hasBody ? body : undefined,
				signal,
				maySend,
			});
			if (response.kind === 'head') {
				response.body.once('close', leave);
				return ok({status: response.status, headers: answerHeaders(response.rawHeaders), body: answerBody(response)});
			}

			leave();
			const kind = failureOf(response, signal);
			log('A backend server failed.', {
				requestId: call.requestId, backend: backend.id, kind, reason: response.detail,
			});
			return err(routerError(kind));
		});
	}

	/** Closes the connections. */
	async close(): Promise<void> {
		await this.#transport.close();
	}
}
