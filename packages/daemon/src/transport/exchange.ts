/** One request on a connection and the response to it. */
import {judgeStatus} from '@baobabpier/core';
import type {ResponseVerdict} from '@baobabpier/core';
import type {Dispatcher} from 'undici';
import {EmbeddedHeadScanner} from './embedded-head-scanner.js';
import {ResponseBody} from './response-body.js';
import {isFramed} from './response-head.js';
import {ForeignResponseError} from './types.js';
import type {
	ForeignMoment, OpenResponse, OutgoingRequest, SendPermit, SendRecord, ServerTransportOptions, TransportFailure,
} from './types.js';

/** How long the response to an aborted request that keeps its connection is awaited, in milliseconds. */
const abortedResponseMs = 2000;

/** What an exchange tells its connection. */
export type ExchangeListener = {
	/** Called right before the request is written. */
	onWrite(): void;
	/** Judges a response head by the id that it names. */
	judge(responseId: string | undefined): ResponseVerdict;
	/** Called when a response of another request has arrived; the connection is not used any more. */
	onForeign(moment: ForeignMoment, responseId: string | undefined): void;
	/** Called when the response is complete. */
	onEnd(): void;
	/** Called when the exchange failed; the connection is not used any more. */
	onFailed(): void;
	/** Called when the client refused to write the request, which leaves the connection as it was. */
	onRefused(): void;
	/** Whether the server reset the connection. */
	wasReset(): boolean;
};

/** Flattens a header object to alternating names and values. */
const flattenHeaders = (headers: Readonly<Record<string, string | string[] | undefined>>): string[] => Object.entries(headers)
	.flatMap(([name, value]) => (Array.isArray(value) ? value : [value ?? '']).flatMap(item => [name, item]));

/** What an exchange tells whoever sent the request. */
export type ExchangeCaller = {
	/** Called once, with the response head or the failure. */
	settle(result: OpenResponse | TransportFailure): void;
	/** Called once, when nothing of the exchange is left to be aborted. */
	release(): void;
};

/**
 * Follows one request from its dispatch to the end of its response.
 *
 * @example
 * const exchange = new Exchange(request, options, {settle, release});
 * connection.send(exchange);
 */
export class Exchange {
	#controller: Dispatcher.DispatchController | undefined;
	#listener: ExchangeListener | undefined;
	#body: ResponseBody | undefined;
	#scanner: EmbeddedHeadScanner | undefined;
	#isWritten = false;
	#isSettled = false;
	#isOver = false;
	#failure: Error | undefined;
	#sendRecord: SendRecord | undefined;
	/** Ends the wait for the response to an aborted request; undefined for one that is not aborted. */
	#abortedTimer: NodeJS.Timeout | undefined;

	constructor(
		readonly request: OutgoingRequest,
		private readonly options: ServerTransportOptions,
		private readonly caller: ExchangeCaller,
		private readonly permit?: SendPermit,
	) {}

	get binding(): OutgoingRequest['binding'] {
		return this.request.binding;
	}

	get isRepeat(): boolean {
		return this.request.isRepeat ?? false;
	}

	/** Id of the request for logs; undefined where no id is sent. */
	get requestId(): string | undefined {
		return 'requestId' in this.request.binding ? this.request.binding.requestId : undefined;
	}

	/** Whether the request has its complete response, or has failed. */
	get isOver(): boolean {
		return this.#isOver;
	}

	/** Whether part of the request may have been written. */
	get isWritten(): boolean {
		return this.#isWritten;
	}

	/** Names the connection on which the request is sent next. */
	attach(listener: ExchangeListener): void {
		this.#listener = listener;
		this.#controller = undefined;
	}

	/** Resolves the request with a failure; the first result counts. */
	fail(failure: TransportFailure): void {
		this.#markOver();
		this.#finish(failure);
	}

	/** Aborts a request that has been dispatched. */
	abort(reason: Error): void {
		if (this.#isOver) {
			return;
		}

		if (this.request.keepsConnection === true && this.#isWritten && !this.#isSettled) {
			this.#finish({kind: 'broken', detail: reason.message});
			this.caller.release();
			this.#abortedTimer = setTimeout(() => {
				this.#end(reason);
			}, abortedResponseMs).unref();
			return;
		}

		this.#failure = reason;
		if (this.#controller === undefined) {
			this.#end(reason);
		} else {
			this.#controller.abort(reason);
		}
	}

	/** Ends a request that may not be written now as unsent; returns whether it has done so. */
	withdrawIfHeldBack(): boolean {
		const {kind, server, maySend} = this.request;
		const isHeldBack = maySend?.() === false || (server !== undefined && this.options.gate?.maySend(server, kind, this.permit) === false);
		if (isHeldBack) {
			this.fail({kind: 'unsent', detail: 'the request was withdrawn before it was written', isHeldBack: true});
		}

		return isHeldBack;
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		this.#controller = controller;
		if (this.#isWritten) {
			controller.abort(new Error('the connection closed before a response'));
			return;
		}

		if (this.withdrawIfHeldBack()) {
			controller.abort(new Error('the request was withdrawn'));
			this.#listener?.onFailed();
			return;
		}

		this.#isWritten = true;
		this.#listener?.onWrite();
		const {kind, server} = this.request;
		if (server !== undefined) {
			this.#sendRecord = this.options.gate?.recordSend(server, kind, this.permit);
		}
	}

	onResponseStart(controller: Dispatcher.DispatchController, status: number, headers: Readonly<Record<string, string | string[] | undefined>>): void {
		const statusVerdict = judgeStatus(status);
		if (statusVerdict === 'interim') {
			return;
		}

		if (statusVerdict === 'invalid') {
			this.#end(new Error(`no response has the status ${status}`));
			return;
		}

		const {kind, server} = this.request;
		const {readResponseId, gate} = this.options;
		const rawHeaders = flattenHeaders(headers);
		const responseId = readResponseId(rawHeaders);
		if (this.#listener?.judge(responseId).kind === 'foreign') {
			this.#end(new ForeignResponseError(responseId), 'awaited');
			return;
		}

		if (server !== undefined && this.#sendRecord !== undefined) {
			gate?.recordResponse(server, kind, {status, rawHeaders}, this.#sendRecord);
		}

		const hasFraming = isFramed(rawHeaders);
		const listener = this.#listener;
		this.#scanner = new EmbeddedHeadScanner({rawHeaders, isFramed: hasFraming, readResponseId});
		this.#body = new ResponseBody({
			resume() {
				controller.resume();
			},
			abort(reason) {
				controller.abort(reason);
			},
		});
		if (this.#abortedTimer !== undefined) {
			this.#body.resume();
			return;
		}

		this.#isSettled = true;
		this.caller.settle({
			kind: 'head', status, rawHeaders, body: this.#body, mayBeTruncated: () => !hasFraming && listener?.wasReset() === true,
		});
	}

	onResponseData(controller: Dispatcher.DispatchController, chunk: Uint8Array): void {
		const bytes = this.#scan(scanner => scanner.push(chunk));
		if (bytes !== undefined && bytes.length > 0 && this.#body?.push(bytes) === false) {
			controller.pause();
		}
	}

	onResponseEnd(): void {
		const rest = this.#scan(scanner => scanner.end());
		if (rest === undefined || this.#isOver) {
			return;
		}

		this.#markOver();
		if (rest.length > 0) {
			this.#body?.push(rest);
		}

		this.#body?.complete();
		this.#listener?.onEnd();
	}

	onResponseError(error: Error): void {
		if (this.#isOver) {
			return;
		}

		if (this.#isWritten || this.#failure !== undefined) {
			this.#end(error);
			return;
		}

		this.fail(failureOf(error));
		this.#listener?.onRefused();
	}

	#scan(use: (scanner: EmbeddedHeadScanner) => Uint8Array): Uint8Array | undefined {
		try {
			return this.#scanner === undefined || this.#isOver ? undefined : use(this.#scanner);
		} catch (error) {
			this.#end(error as Error, 'body');
			return undefined;
		}
	}

	#markOver(): void {
		if (!this.#isOver) {
			this.#isOver = true;
			clearTimeout(this.#abortedTimer);
			this.caller.release();
		}
	}

	#end(error: Error, moment?: ForeignMoment): void {
		this.#markOver();
		if (moment !== undefined) {
			this.#listener?.onForeign(moment, (error as ForeignResponseError).responseId);
		}

		this.#finish(this.#isWritten ? failureOf(error) : {kind: 'unsent', detail: error.message});
		this.#body?.destroy(error);
		this.#listener?.onFailed();
	}

	#finish(failure: TransportFailure): void {
		if (!this.#isSettled) {
			this.#isSettled = true;
			this.caller.settle(failure);
		}
	}
}

/** The failure that an error of a written request, or of its response's body, means. */
export const failureOf = (error: unknown): TransportFailure => error instanceof ForeignResponseError
	? {kind: 'foreign', detail: error.message, responseId: error.responseId}
	: {kind: 'broken', detail: (error as Error).message};
