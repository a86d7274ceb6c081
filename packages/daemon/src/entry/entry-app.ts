/** The callers' port: completions, plain services, health and readiness. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {getHeapStatistics} from 'node:v8';
import {defaultResourceLimits, routerError} from '@baobabpier/core';
import {SpanKind} from '@opentelemetry/api';
import {H3} from 'h3';
import type {EventHandler} from 'h3';
import {createLog} from '../log.js';
import {
	isTracing, readTrace, runIn, startSpan,
} from '../observability/tracing.js';
import {registerGauges} from '../observability/gauge-sampler.js';
import type {GaugeSources} from '../observability/gauge-sampler.js';
import {noMetrics} from '../observability/metrics.js';
import type {Metrics} from '../observability/metrics.js';
import {defaultEntrySettings} from '../settings/parse-settings.js';
import {clientConnections, metLimits} from '../transport/client-connections.js';
import {pacedReading} from '../transport/paced-reading.js';
import {BodyReader} from './body-reader.js';
import type {BodyReaderLimits} from './body-reader.js';
import {ModelHandler} from './model-handler.js';
import type {ModelHandlerParts} from './model-handler.js';
import {PlainHandler} from './plain-handler.js';
import type {PlainHandlerParts} from './plain-handler.js';
import {readRequestId} from './request-id.js';
import {sendError} from './send-error.js';

const log = createLog('entry');
const tickMs = 100;

/** What the callers' port needs. */
export type EntryParts = Omit<ModelHandlerParts & PlainHandlerParts, 'bodies' | 'metrics'> & {
	readonly metrics?: Metrics;
	readonly isStopping: () => boolean;
	readonly limits?: BodyReaderLimits | undefined;
	/** Gauges of other parts, sampled with those of the entry. */
	readonly gauges?: GaugeSources;
};

/** Routes as spans show them; the rest of a path may hold what callers would not want traced. */
const routeOf = (url = ''): string => url.split('?', 1)[0]!.split('/').slice(0, 3).join('/');

type NodeHandler = (req: IncomingMessage, res: ServerResponse) => Promise<void>;

/** Covers a request from its headers to the close of its answer. */
const withEntrySpan = async (req: IncomingMessage, res: ServerResponse, handler: NodeHandler): Promise<void> => {
	if (!isTracing()) {
		await handler(req, res);
		return;
	}

	const span = startSpan('entry', {kind: SpanKind.SERVER, parent: readTrace(req.headers), attributes: {requestId: readRequestId(req), method: req.method, route: routeOf(req.url)}});
	if (span !== undefined) {
		res.once('close', () => {
			span.setAttribute('status', res.statusCode);
			span.end();
		});
	}

	await runIn(span, async () => handler(req, res));
};

const runGuarded = async (req: IncomingMessage, res: ServerResponse, handler: NodeHandler): Promise<void> => {
	try {
		await withEntrySpan(req, res, handler);
	} catch (error) {
		const requestId = readRequestId(req);
		log('A handler failed.', {requestId, reason: (error as Error).message});
		sendError(req, res, requestId, routerError('internal'));
	}
};

/**
 * Lets a handler write to the caller's connection itself, and answers with a typed error whatever it throws.
 * H3 gets a promise that stays pending, so that it never ends an answer a second time.
 */
const guard = (handler: NodeHandler): EventHandler => async event => {
	const {req, res} = event.runtime!.node!;
	void runGuarded(req as IncomingMessage, res as ServerResponse, handler);
	return new Promise<never>(() => {/* The handler answers */});
};

/** Takes callers' requests in. */
export class EntryApp {
	readonly app: H3 = new H3({silent: true});
	readonly #models: ModelHandler;
	readonly #plains: PlainHandler;
	readonly #timer: NodeJS.Timeout;
	readonly #stopGauges: () => void;

	constructor(private readonly parts: EntryParts) {
		const bodies = new BodyReader(parts.limits ?? {bodyTimeoutMs: defaultEntrySettings.bodyTimeoutMs, maxBufferedBytes: defaultResourceLimits.bodyBytes});
		const metrics = parts.metrics ?? noMetrics;
		this.#models = new ModelHandler({...parts, bodies, metrics});
		this.#plains = new PlainHandler({...parts, bodies, metrics});
		/* eslint-disable @typescript-eslint/naming-convention */
		this.#stopGauges = registerGauges(metrics, {
			'requests.open': () => this.inFlight,
			'bodies.buffered': () => bodies.bufferedBytes,
			'process.heap_used': () => getHeapStatistics().used_heap_size,
			'clients.connections': () => clientConnections.size,
			'clients.displaced': () => metLimits.displaced.count,
			'clients.refused': () => metLimits.refused.count,
			'clients.unread': () => metLimits.unread.count,
			'clients.ahead': () => metLimits.ahead.count,
			'clients.malformed': () => metLimits.malformed.count,
			'clients.unparsed': () => pacedReading.heldBytes,
			'clients.full_turns': () => pacedReading.fullTurns,
			'cancels.pending': () => parts.canceller.pending,
			'catalogue.revision': () => parts.catalogue.current().revision,
			...parts.gauges,
		});
		/* eslint-enable @typescript-eslint/naming-convention */
		this.app.get('/healthz', () => ({healthy: true}));
		this.app.get('/readyz', () => this.#ready());
		this.app.post('/v1/completions', guard(async (req, res) => this.#models.handle(req, res, 'completion')));
		this.app.post('/v1/chat/completions', guard(async (req, res) => this.#models.handle(req, res, 'chat')));
		this.app.all('/services/**', guard(async (req, res) => this.#plains.handle(req, res)));
		this.app.all('/**', guard(async (req, res) => {
			sendError(req, res, readRequestId(req), routerError('unknownService', `path "${req.url?.split('?', 1)[0] ?? ''}"`));
		}));
		this.#timer = setInterval(() => {
			this.#models.tick();
		}, tickMs);
	}

	/** Requests in progress. */
	get inFlight(): number {
		return this.#models.inFlight + this.#plains.inFlight;
	}

	/** Whether the platform's balancer may send callers. */
	get ready(): boolean {
		return !this.parts.isStopping() && this.parts.catalogue.current().revision > 0;
	}

	stop(): void {
		clearInterval(this.#timer);
		this.#stopGauges();
	}

	#ready(): Response {
		return Response.json({ready: this.ready}, {status: this.ready ? 200 : 503});
	}
}
