/** Serves calls to plain services: bodies and answers pass through as they arrive. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Readable} from 'node:stream';
import {
	err, isIdempotentCall, ok, routerError, toId,
} from '@baobabpier/core';
import type {
	CatalogueView, Clock, ErrorKind, Limiter, PlainService, RequestId, Result, RouterError, ServiceName,
} from '@baobabpier/core';
import type {Metrics} from '../observability/metrics.js';
import type {PlainAnswer, PlainCaller} from '../requests/plain-call.js';
import {bodyLength, BodyTimeoutError} from './body-reader.js';
import type {BodyReader} from './body-reader.js';
import {readRequestId} from './request-id.js';
import {sendError} from './send-error.js';
import {passBody} from './write-answer.js';

const prefix = '/services/';

/** Made once: a reason made at each call would take a stack trace each time. */
const callerGone = new Error('the caller has gone');
const timeUp = new Error('the call took too long');

/** Bodies up to this are read before the call starts, so that a half-sent one starts none. */
const smallBodyBytes = 64 * 1024;

/** What the handler needs. */
export type PlainHandlerParts = {
	readonly catalogue: CatalogueView;
	readonly limiter: Limiter;
	readonly clock: Clock;
	readonly plain: PlainCaller;
	readonly bodies: BodyReader;
	readonly metrics: Metrics;
};

type Target = {
	readonly service: PlainService;
	readonly path: string;
	readonly search: string;
};

const indexOr = (index: number, otherwise: number): number => index === -1 ? otherwise : index;

/** Splits `/services/<name>/<path>?<search>`; the path stays as the caller wrote it. */
const splitUrl = (url: string): {readonly name: string; readonly path: string; readonly search: string} => {
	const query = indexOr(url.indexOf('?'), url.length);
	const slash = Math.min(query, indexOr(url.indexOf('/', prefix.length), query));
	return {name: url.slice(prefix.length, slash), path: url.slice(slash, query) || '/', search: url.slice(query)};
};

const headersOf = (answer: PlainAnswer, requestId: RequestId): string[] => [...answer.headers.flat(), 'x-request-id', requestId];

const toBody = (body: ((signal: AbortSignal) => Readable) | Uint8Array | undefined, signal: AbortSignal): Readable | Uint8Array | undefined => typeof body === 'function' ? body(signal) : body;

/** Takes calls to plain services. */
export class PlainHandler {
	#inFlight = 0;
	/** Why calls failed, until their connections close. */
	readonly #outcomes = new WeakMap<ServerResponse, ErrorKind>();

	constructor(private readonly parts: PlainHandlerParts) {}

	/** Calls in progress. */
	get inFlight(): number {
		return this.#inFlight;
	}

	/** Answers one call. */
	async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const requestId = readRequestId(req);
		const target = this.#find(req.url ?? '');
		if (target.err) {
			this.#refuse(req, res, requestId, target.val);
			return;
		}

		const whole = await this.#readBody(req, res, target.val);
		if (whole?.err) {
			this.#refuse(req, res, requestId, whole.val);
			return;
		}

		const {service} = target.val;
		const verdict = await this.parts.limiter.admit(service.name, service.limits, 0, this.parts.clock.now());
		if (verdict.kind === 'refused') {
			this.#refuse(req, res, requestId, routerError('limitReached', verdict.limit, verdict.retryAfterMs));
			return;
		}

		const signal = this.#register(res, service, verdict.release);
		await this.#call({
			req, res, requestId, target: target.val, signal, body: toBody(whole?.val, signal) ?? this.parts.bodies.passOn(req, signal),
		});
	}

	#refuse(req: IncomingMessage, res: ServerResponse, requestId: RequestId, error: RouterError): void {
		this.parts.metrics.count('refusals', 1, {kind: error.kind});
		sendError(req, res, requestId, error);
	}

	#find(url: string): Result<Target, RouterError> {
		const {name, path, search} = splitUrl(url);
		const service = this.parts.catalogue.current().services.get(toId<ServiceName>(name));
		return service?.kind === 'plain'
			? ok({service, path, search})
			: err(routerError('unknownService', `service "${name}"`));
	}

	/** Reads small bodies and those of calls with a key as a whole, and the start of idempotent calls, which wait for it anyway; others are passed on. */
	async #readBody(req: IncomingMessage, res: ServerResponse, {service, path}: Target): Promise<Result<((signal: AbortSignal) => Readable) | Uint8Array, RouterError> | undefined> {
		const length = bodyLength(req);
		if (length === 0) {
			return ok(new Uint8Array());
		}

		const claimed = req.headers['idempotency-key'] !== undefined && !isIdempotentCall(service, req.method!, path);
		if (claimed) {
			return this.parts.bodies.read(req, res, service.limits.bodyBytes);
		}

		if (length !== undefined) {
			return length <= smallBodyBytes ? this.parts.bodies.read(req, res, smallBodyBytes) : undefined;
		}

		return isIdempotentCall(service, req.method!, path) ? this.parts.bodies.readStart(req, res, smallBodyBytes) : undefined;
	}

	/** Counts the call until its connection closes; the signal ends with it, or when its time is up. */
	#register(res: ServerResponse, service: PlainService, leave: () => void): AbortSignal {
		const abort = new AbortController();
		const startedAt = this.parts.clock.now();
		this.#inFlight += 1;
		const timer = setTimeout(() => {
			abort.abort(timeUp);
		}, service.limits.totalMs);
		const end = (): void => {
			clearTimeout(timer);
			this.#inFlight -= 1;
			leave();
			this.parts.metrics.count('requests', 1, {service: service.name, outcome: this.#outcomes.get(res) ?? (res.writableFinished ? 'complete' : 'callerGone')});
			this.parts.metrics.time('request.duration', this.parts.clock.now() - startedAt, {service: service.name});
			if (!res.writableFinished) {
				abort.abort(callerGone);
			}
		};

		if (res.closed) {
			end();
		} else {
			res.once('close', end);
		}

		return abort.signal;
	}

	async #call({
		req, res, requestId, target, signal, body,
	}: {req: IncomingMessage; res: ServerResponse; requestId: RequestId; target: Target; signal: AbortSignal; body: Readable | Uint8Array}): Promise<void> {
		const answer = await this.#answer(req, requestId, target, {signal, body});
		if (answer.err) {
			this.#outcomes.set(res, answer.val.kind);
			sendError(req, res, requestId, answer.val);
			return;
		}

		res.writeHead(answer.val.status, headersOf(answer.val, requestId));
		passBody(res, answer.val.body);
	}

	async #answer(req: IncomingMessage, requestId: RequestId, target: Target, {signal, body}: {signal: AbortSignal; body: Readable | Uint8Array}): Promise<Result<PlainAnswer, RouterError>> {
		try {
			return await this.parts.plain.call({
				requestId,
				...target,
				method: req.method ?? 'GET',
				headers: req.headers,
				key: req.headers['idempotency-key'] as string | undefined,
				body,
				signal,
			});
		} catch (error) {
			if (error instanceof BodyTimeoutError) {
				return err(routerError('requestTimeout', error.message));
			}

			throw error;
		}
	}
}
