/** The adapter to engines that speak the stand-in's HTTP dialect. */
import {Buffer} from 'node:buffer';
import {
	EngineFaultError, err, ok, toId,
} from '@baobabpier/core';
import type {
	Result,
	DecodeChunk,
	DecodeRequest,
	EngineChange,
	EngineClient,
	EngineFault,
	EngineHold,
	EngineId,
	EngineReport,
	FencingToken,
	EngineIncarnation,
	InstanceId,
	KvHandle,
	PrefillRequest,
} from '@baobabpier/core';
import {traceHeaders} from '../observability/tracing.js';
import {readIssuedId, requestIdHeader, RequestIdSource} from '../transport/request-id.js';
import {ServerTransport} from '../transport/server-transport.js';
import type {ForeignResponseListener, OpenResponse, TransportFailure} from '../transport/types.js';
import {readSse} from './sse-reader.js';

/** Maximum number of kept connections; each stream has one to itself. */
const maxConnections = 1024;
/** In milliseconds. */
const connectTimeoutMs = 1000;
/** Timeout of calls that an engine answers at once, in milliseconds. */
const shortCallMs = 3000;

const faultOf = (failure: TransportFailure): EngineFault => ({kind: failure.kind === 'unsent' && failure.isUnreachable === true ? 'unreachable' : 'lost', detail: failure.detail});

const lostBy = (error: unknown): EngineFault => ({kind: 'lost', detail: (error as Error).message});

const faultOfStatus = (status: number, body: {kind?: string; freePieces?: number; detail?: string}): EngineFault => {
	switch (status) {
		case 409: {
			return {kind: 'full', freePieces: body.freePieces ?? 0};
		}

		case 410: {
			return {kind: 'expired'};
		}

		default: {
			return {kind: 'refused', detail: body.detail ?? `HTTP status ${status}`};
		}
	}
};

type StreamMessage = {
	readonly seq: number;
	readonly texts?: readonly string[];
	readonly end?: 'stop' | 'length';
};

const toChunk = (message: StreamMessage): DecodeChunk => message.end === undefined
	? {kind: 'tokens', seq: message.seq, texts: message.texts ?? []}
	: {kind: 'end', seq: message.seq, finish: message.end};

/** A client of one engine. */
export class HttpEngineClient implements EngineClient {
	readonly #transport: ServerTransport;
	readonly #ids = new RequestIdSource();

	constructor(
		private readonly id: EngineId,
		private readonly address: string,
		private readonly onAlive: (hold: EngineHold) => void = () => {/* Nobody watches */},
		onForeignResponse?: ForeignResponseListener,
	) {
		this.#transport = new ServerTransport({
			maxConnectionsTo: () => maxConnections, readResponseId: readIssuedId, connectTimeoutMs, onForeignResponse,
		});
	}

	async reserve(hold: EngineHold, pieces: number, holder: InstanceId): Promise<Result<EngineIncarnation, EngineFault>> {
		const answer = await this.#post<{incarnation: string}>('/reserve', {...hold, pieces, holder}, AbortSignal.timeout(shortCallMs));
		return answer.map(({incarnation}) => toId<EngineIncarnation>(incarnation));
	}

	async prefill(order: PrefillRequest, signal: AbortSignal): Promise<Result<KvHandle, EngineFault>> {
		const answer = await this.#post<{kvId: string; tokens: number; expiresInMs: number}>('/prefill', order, signal);
		return answer.map(body => ({...body, engine: this.id}));
	}

	async transfer(hold: EngineHold, handle: KvHandle, from: string, signal: AbortSignal): Promise<Result<void, EngineFault>> {
		const answer = await this.#post('/import', {...hold, kvId: handle.kvId, from}, signal);
		return answer.map(() => undefined);
	}

	async * decode(order: DecodeRequest, signal: AbortSignal): AsyncGenerator<DecodeChunk> {
		yield * this.#stream('/decode', order, signal);
	}

	async * resume(hold: EngineHold, fromSeq: number, signal: AbortSignal): AsyncGenerator<DecodeChunk> {
		yield * this.#stream('/resume', {...hold, fromSeq}, signal);
	}

	async cancel(hold: EngineHold): Promise<Result<void, EngineFault>> {
		const answer = await this.#post('/cancel', {requestId: hold.requestId, attempt: hold.attempt}, AbortSignal.timeout(shortCallMs));
		return answer.map(() => undefined);
	}

	async report(): Promise<Result<EngineReport, EngineFault>> {
		const answer = await this.#read<Omit<EngineReport, 'engine'>>(await this.#send('GET', '/report', undefined, AbortSignal.timeout(shortCallMs)));
		return answer.map(body => ({...body, engine: this.id}));
	}

	async change(fencing: FencingToken, change: EngineChange): Promise<Result<void, EngineFault>> {
		const answer = await this.#post('/change', {fencing, change}, AbortSignal.timeout(shortCallMs));
		return answer.map(() => undefined);
	}

	/** Closes the connections. */
	async close(): Promise<void> {
		await this.#transport.close();
	}

	async #post<T>(path: string, body: unknown, signal: AbortSignal): Promise<Result<T, EngineFault>> {
		return this.#read<T>(await this.#send('POST', path, body, signal));
	}

	async #send(method: 'GET' | 'POST', path: string, body: unknown, signal: AbortSignal): Promise<OpenResponse | TransportFailure> {
		const {value, binding} = this.#ids.issue();
		return this.#transport.sendRequest({
			kind: 'engine',
			binding,
			address: this.address,
			method,
			target: path,
			headers: [...(body === undefined ? [] : ['content-type', 'application/json']), requestIdHeader, value, ...Object.entries(traceHeaders()).flat()],
			body: body === undefined ? undefined : Buffer.from(JSON.stringify(body)),
			signal,
		});
	}

	async #read<T>(answer: OpenResponse | TransportFailure): Promise<Result<T, EngineFault>> {
		if (answer.kind !== 'head') {
			return err(faultOf(answer));
		}

		const bytes = await this.#transport.readBody(answer);
		if ('kind' in bytes) {
			return err(faultOf(bytes));
		}

		try {
			const body: unknown = JSON.parse(Buffer.from(bytes).toString());
			return answer.status === 200 ? ok(body as T) : err(faultOfStatus(answer.status, body as {kind?: string}));
		} catch (error) {
			return err(lostBy(error));
		}
	}

	async * #stream(path: string, body: EngineHold & {readonly fromSeq?: number}, signal: AbortSignal): AsyncGenerator<DecodeChunk> {
		const answer = await this.#send('POST', path, body, signal);
		if (answer.kind !== 'head' || answer.status !== 200) {
			const refused = await this.#read(answer);
			throw new EngineFaultError(refused.err ? refused.val : {kind: 'refused', detail: 'no stream'});
		}

		let ended = false;
		try {
			for await (const item of readSse(answer.body)) {
				if (item.kind === 'comment') {
					this.onAlive(body);
					continue;
				}

				const chunk = toChunk(JSON.parse(item.data) as StreamMessage);
				ended = chunk.kind === 'end';
				yield chunk;
			}
		} catch (error) {
			throw new EngineFaultError(lostBy(error));
		}

		if (!ended) {
			throw new EngineFaultError({kind: 'lost', detail: 'the stream closed without its end'});
		}
	}
}
