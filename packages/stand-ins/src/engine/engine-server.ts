/** The HTTP dialect of the stand-in engine. */
import {setTimeout as sleep} from 'node:timers/promises';
import {HTTPError} from 'h3';
import type {H3Event} from 'h3';
import {request} from 'undici';
import type {FaultBoard} from '../faults.js';
import {FaultyApp, listen} from '../listen.js';
import type {RunningServer} from '../listen.js';
import {EngineModel} from './engine-model.js';
import type {EngineParameters, HeldAttempt} from './engine-model.js';

type Hold = {requestId: string; attempt: number};

const keepAliveMs = 500;
const stallPollMs = 100;
const encoder = new TextEncoder();

const bodyOf = async <T>(event: H3Event): Promise<T> => await event.req.json() as T;

const gone = (): HTTPError => new HTTPError({status: 410, body: {kind: 'expired'}});

/** Sends messages once, twice, or with two in each other's place. */
class MessageWriter {
	#kept: string | undefined;

	constructor(private readonly controller: ReadableStreamDefaultController<Uint8Array>, private readonly faults: FaultBoard, private readonly path: string) {}

	tokens(message: string): void {
		if (this.#kept === undefined && this.faults.has('swap', this.path)) {
			this.#kept = message;
			return;
		}

		this.#enqueue(message);
		if (this.faults.has('repeat', this.path)) {
			this.#enqueue(message);
		}

		this.flush();
	}

	/** Sends what was kept back. */
	flush(): void {
		if (this.#kept !== undefined) {
			this.#enqueue(this.#kept);
			this.#kept = undefined;
		}
	}

	#enqueue(message: string): void {
		this.controller.enqueue(encoder.encode(message));
	}
}

type StreamFaults = {
	readonly board: FaultBoard;
	readonly path: string;
};

const streamOf = (held: HeldAttempt, fromSeq: number, {board, path}: StreamFaults): ReadableStream<Uint8Array> => {
	let seq = fromSeq;
	let writer: MessageWriter;
	const closed = new AbortController();
	return new ReadableStream<Uint8Array>({
		start(controller) {
			writer = new MessageWriter(controller, board, path);
		},
		cancel() {
			closed.abort();
		},
		async pull(controller) {
			while (seq - fromSeq >= board.tokensUntil('stall', path) && !closed.signal.aborted) {
				// eslint-disable-next-line no-await-in-loop
				await sleep(stallPollMs, undefined, {ref: false});
			}

			if (held.cancelled || seq - fromSeq >= board.tokensUntil('cut', path)) {
				controller.error(new Error('the stream is cut'));
				return;
			}

			if (seq >= held.texts.length && !held.ended) {
				await Promise.race([held.changed, sleep(keepAliveMs, undefined, {ref: false})]);
			}

			if (seq < held.texts.length) {
				const texts = held.texts.slice(seq);
				writer.tokens(`data: ${JSON.stringify({seq, texts})}\n\n`);
				seq += texts.length;
			} else if (held.cancelled) {
				controller.error(new Error('the attempt was cancelled'));
				return;
			} else if (held.ended) {
				writer.flush();
				controller.enqueue(encoder.encode(`data: ${JSON.stringify({seq, end: 'stop'})}\n\n`));
				controller.close();
				return;
			}

			controller.enqueue(encoder.encode(': keep-alive\n\n'));
		},
	}, {highWaterMark: 0});
};

const sse = (stream: ReadableStream<Uint8Array>): Response => new Response(stream, {headers: {'content-type': 'text/event-stream'}});

/** A running stand-in engine. */
export type EngineServer = RunningServer & {readonly model: EngineModel};

/**
 * Starts a stand-in engine; `returnsIds` tells whether answers carry the `x-request-id` of their request.
 *
 * @example
 * const engine = await startEngine({...parameters, id: 'lm-a-1', role: 'decode'}, 0);
 */
export const startEngine = async (parameters: EngineParameters, port: number, returnsIds = true): Promise<EngineServer> => {
	const model = new EngineModel(parameters);
	const server = new FaultyApp(returnsIds);

	const heldOf = ({requestId, attempt}: Hold): HeldAttempt => {
		const held = model.findHeld(requestId, attempt);
		if (held === undefined) {
			throw gone();
		}

		return held;
	};

	server.on('POST', '/reserve', async event => {
		const hold = await bodyOf<Hold & {holder: string; pieces: number}>(event);
		if (!model.reserve(hold)) {
			throw new HTTPError({status: 409, body: {kind: 'full', freePieces: model.freePieces}});
		}

		return {incarnation: model.incarnation};
	});

	server.on('POST', '/prefill', async event => {
		const {tokens} = await bodyOf<Hold & {tokens: number}>(event);
		const abort = new AbortController();
		event.runtime?.node?.res?.once('close', () => {
			abort.abort();
		});
		const kvId = await model.prefill(tokens, abort.signal);
		return {kvId, tokens, expiresInMs: parameters.kvKeepMs};
	});

	server.on('POST', '/export', async event => {
		const {kvId} = await bodyOf<{kvId: string}>(event);
		const tokens = await model.exportKv(kvId);
		if (tokens === undefined) {
			throw gone();
		}

		return {tokens};
	});

	server.on('POST', '/import', async event => {
		const order = await bodyOf<Hold & {from: string; kvId: string}>(event);
		const held = heldOf(order);
		const answer = await request(`http://${order.from}/export`, {method: 'POST', body: JSON.stringify({kvId: order.kvId}), reset: true});
		await answer.body.dump();
		if (answer.statusCode !== 200) {
			throw gone();
		}

		held.imported = true;
		return {imported: true};
	});

	server.on('POST', '/decode', async event => {
		const order = await bodyOf<Hold & {maxTokens: number; sentTokens: number}>(event);
		const held = heldOf(order);
		if (!held.imported) {
			throw gone();
		}

		model.start(held, order.maxTokens, order.sentTokens);
		return sse(streamOf(held, 0, {board: server.faults, path: '/decode'}));
	});

	server.on('POST', '/resume', async event => {
		const order = await bodyOf<Hold & {fromSeq: number}>(event);
		const held = heldOf(order);
		if (!held.running) {
			throw gone();
		}

		return sse(streamOf(held, order.fromSeq, {board: server.faults, path: '/resume'}));
	});

	server.on('POST', '/cancel', async event => {
		const {requestId, attempt} = await bodyOf<Hold>(event);
		return {freed: model.cancel(requestId, attempt)};
	});

	server.on('POST', '/change', async event => {
		const {fencing, change} = await bodyOf<{fencing: number; change: {kind: string}}>(event);
		if (!model.change(fencing, change)) {
			throw new HTTPError({status: 412, body: {kind: 'refused', detail: `fencing number ${fencing} is older than ${model.fencing}`}});
		}

		return {taken: true};
	});

	server.on('GET', '/report', () => ({
		incarnation: model.incarnation,
		role: parameters.role,
		pieces: parameters.pieces,
		freePieces: model.freePieces,
		queuedTokens: model.queuedTokens,
		running: model.running,
		held: model.held().map(({requestId, attempt, pieces, holder}) => ({
			requestId, attempt, pieces, holder,
		})),
	}));

	server.app.put('/pace', async event => {
		const {extraTokenMs} = await bodyOf<{extraTokenMs: number}>(event);
		model.extraTokenMs = extraTokenMs;
		return {extraTokenMs};
	});

	server.app.get('/counters', () => ({...model.counters, heldPieces: model.heldPieces}));

	const running = await listen(server.app, port);
	return {...running, model};
};
