/** Serves completions: reads the body, admits the request, and writes its output. */
import {randomUUID} from 'node:crypto';
import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
	countPieces, err, estimateTokens, hashText, ok, routerError, toId,
} from '@baobabpier/core';
import type {
	CatalogueSnapshot, CatalogueView, Limiter, ModelService, RequestId, Result, RouterError, ServiceName,
} from '@baobabpier/core';
import {createLog} from '../log.js';
import type {Metrics} from '../observability/metrics.js';
import {breakOff} from '../server-connections.js';
import {ModelRequestTask} from '../requests/model-request-task.js';
import type {RequestTaskParts, TaskRequest} from '../requests/model-request-task.js';
import type {BodyReader} from './body-reader.js';
import {CompletionFormat} from './completion-answer.js';
import {parseCompletion} from './completion-request.js';
import type {CompletionRequest, CompletionStyle} from './completion-request.js';
import {OutputQueue} from './output-queue.js';
import type {OutputItem} from './output-queue.js';
import {readRequestId} from './request-id.js';
import {sendError, sendJson} from './send-error.js';
import {writePiece} from './write-answer.js';

const log = createLog('entry');
const silenceMs = 2000;
const maxAttempts = 4;
const prefixCharacters = 1024;

/** What the handler needs. */
export type ModelHandlerParts = RequestTaskParts & {
	readonly catalogue: CatalogueView;
	readonly limiter: Limiter;
	readonly bodies: BodyReader;
	readonly metrics: Metrics;
};

type Parsed = {
	readonly body: CompletionRequest;
	readonly service: ModelService;
	readonly promptTokens: number;
};

type Exchange = {
	readonly req: IncomingMessage;
	readonly res: ServerResponse;
	readonly requestId: RequestId;
};

const mostPieces = (service: ModelService): number => Math.max(0, ...service.engines.filter(({role}) => role === 'decode').map(({pieces}) => pieces));

const checkLength = ({body, service, promptTokens}: Parsed): RouterError | undefined => {
	const pieces = countPieces(promptTokens + body.maxTokens, service.pieceTokens);
	const most = mostPieces(service);
	return most > 0 && pieces > most
		? routerError('promptTooLong', `${promptTokens} prompt tokens and ${body.maxTokens} output tokens take ${pieces} memory pieces; the largest engine has ${most}`)
		: undefined;
};

/** Takes completion requests. */
export class ModelHandler {
	readonly #tasks = new Set<ModelRequestTask>();
	#longestBody: {readonly snapshot: CatalogueSnapshot | undefined; readonly bytes: number} = {snapshot: undefined, bytes: 0};

	constructor(private readonly parts: ModelHandlerParts) {}

	/** Requests in progress. */
	get inFlight(): number {
		return this.#tasks.size;
	}

	/** Lets every request check its deadlines. */
	tick(): void {
		for (const task of this.#tasks) {
			task.dispatch({kind: 'tick'});
		}
	}

	/** Answers one request. */
	async handle(req: IncomingMessage, res: ServerResponse, style: CompletionStyle): Promise<void> {
		const exchange = {req, res, requestId: readRequestId(req)};
		const parsed = await this.#parse(exchange, style);
		if (parsed.err) {
			this.#refuse(exchange, parsed.val);
			return;
		}

		const {body, service, promptTokens} = parsed.val;
		const verdict = await this.parts.limiter.admit(service.name, service.limits, promptTokens + body.maxTokens, this.parts.clock.now());
		if (verdict.kind === 'refused') {
			this.#refuse(exchange, routerError('limitReached', verdict.limit, verdict.retryAfterMs));
			return;
		}

		await this.#serve(exchange, parsed.val, verdict.release);
	}

	#refuse({req, res, requestId}: Exchange, error: RouterError): void {
		this.parts.metrics.count('refusals', 1, {kind: error.kind});
		sendError(req, res, requestId, error);
	}

	async #parse({req, res}: Exchange, style: CompletionStyle): Promise<Result<Parsed, RouterError>> {
		const bytes = await this.parts.bodies.read(req, res, this.#longestBodyBytes());
		if (bytes.err) {
			return bytes;
		}

		const body = parseCompletion(style, Buffer.from(bytes.val.buffer, bytes.val.byteOffset, bytes.val.byteLength).toString('utf8'));
		if (body.err) {
			return body;
		}

		const service = this.parts.catalogue.current().services.get(toId<ServiceName>(body.val.model));
		if (service?.kind !== 'model') {
			return err(routerError('unknownService', `model "${body.val.model}"`));
		}

		if (bytes.val.length > service.limits.bodyBytes) {
			return err(routerError('bodyTooLarge', `${bytes.val.length} bytes are over ${service.limits.bodyBytes}`));
		}

		const parsed = {body: body.val, service, promptTokens: estimateTokens(body.val.prompt)};
		const tooLong = checkLength(parsed);
		return tooLong === undefined ? ok(parsed) : err(tooLong);
	}

	/** Longest body that any entry takes; the entry is known only once the body is read. */
	#longestBodyBytes(): number {
		const snapshot = this.parts.catalogue.current();
		if (this.#longestBody.snapshot !== snapshot) {
			const limits = [...snapshot.services.values()].map(service => service.kind === 'model' ? service.limits.bodyBytes : 0);
			this.#longestBody = {snapshot, bytes: Math.max(0, ...limits)};
		}

		return this.#longestBody.bytes;
	}

	async #serve(exchange: Exchange, parsed: Parsed, leave: () => void): Promise<void> {
		const {req, res, requestId} = exchange;
		const queue = new OutputQueue();
		const task = new ModelRequestTask(this.#toTaskRequest(requestId, parsed), queue, this.parts);
		this.#register(exchange, task, parsed, leave);
		task.dispatch({kind: 'start'});
		const format = new CompletionFormat(parsed.body, requestId);
		const startedAt = this.parts.clock.now();
		const first = await queue.take();
		this.parts.metrics.time('request.first_output', this.parts.clock.now() - startedAt, {service: parsed.service.name});
		if (first.kind === 'end' && first.outcome.kind === 'failed') {
			sendError(req, res, requestId, first.outcome.error);
			return;
		}

		await (parsed.body.stream ? this.#stream(exchange, queue, first, format) : this.#sendWhole(exchange, queue, first, {format, promptTokens: parsed.promptTokens}));
	}

	#toTaskRequest(requestId: RequestId, {body, service, promptTokens}: Parsed): TaskRequest {
		return {
			id: toId<RequestId>(`${requestId}.${randomUUID().slice(0, 8)}`),
			promptTokens,
			maxTokens: body.maxTokens,
			pieceTokens: service.pieceTokens,
			queueMs: service.limits.queueMs,
			totalMs: service.limits.totalMs,
			streamIdleTimeoutMs: silenceMs,
			maxAttempts,
			service,
			prompt: body.prompt,
			prefix: hashText(body.prompt.slice(0, prefixCharacters)).toString(16),
		};
	}

	#register({res, requestId}: Exchange, task: ModelRequestTask, {service}: Parsed, leave: () => void): void {
		const startedAt = this.parts.clock.now();
		this.#tasks.add(task);
		const end = (): void => {
			task.dispatch({kind: 'callerGone'});
			this.#tasks.delete(task);
			leave();
			this.#measure(service.name, task, this.parts.clock.now() - startedAt);
			log('Request finished.', {
				requestId, service: service.name, outputTokens: task.life.outputTokens, ms: Math.round(this.parts.clock.now() - startedAt), dropped: task.life.droppedEvents,
			});
		};

		if (res.closed) {
			end();
		} else {
			res.once('close', end);
		}
	}

	#measure(service: ServiceName, task: ModelRequestTask, ms: number): void {
		const {metrics} = this.parts;
		metrics.count('requests', 1, {service, outcome: task.outcome ?? 'callerGone'});
		metrics.time('request.duration', ms, {service});
		metrics.count('request.output_tokens', task.life.outputTokens, {service});
		metrics.count('request.dropped_events', task.life.droppedEvents, {service});
	}

	async #stream({res, requestId}: Exchange, queue: OutputQueue, first: OutputItem, format: CompletionFormat): Promise<void> {
		res.writeHead(200, {'content-type': 'text/event-stream', 'cache-control': 'no-store', 'x-request-id': requestId});
		let item = first;
		while (item.kind === 'text') {
			// eslint-disable-next-line no-await-in-loop
			await writePiece(res, format.chunk(item.text));
			// eslint-disable-next-line no-await-in-loop
			item = await queue.take();
		}

		const {outcome} = item;
		if (outcome.kind === 'callerGone') {
			breakOff(res);
			return;
		}

		res.end(outcome.kind === 'complete' ? format.end(outcome.finish) : format.failure(outcome.error));
	}

	async #sendWhole({req, res, requestId}: Exchange, queue: OutputQueue, first: OutputItem, {format, promptTokens}: {format: CompletionFormat; promptTokens: number}): Promise<void> {
		let text = '';
		let item = first;
		while (item.kind === 'text') {
			text += item.text;
			// eslint-disable-next-line no-await-in-loop
			item = await queue.take();
		}

		const {outcome} = item;
		if (outcome.kind === 'complete') {
			sendJson(res, 200, format.whole(text, promptTokens, outcome), {'x-request-id': requestId});
		} else {
			sendError(req, res, requestId, outcome.kind === 'failed' ? outcome.error : routerError('answerLost'));
		}
	}
}
