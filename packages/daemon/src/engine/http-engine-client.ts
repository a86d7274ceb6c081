/** The adapter to engines that speak the stand-in's HTTP dialect. */
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
import {Pool} from 'undici';
import {isConnectFailure} from '../connect-failure.js';
import {traceHeaders} from '../observability/tracing.js';
import {readSse} from './sse-reader.js';

const connections = 1024;
const connectTimeoutMs = 1000;
const shortCallMs = 3000;

const faultOf = (error: unknown): EngineFault => {
	const {message} = error as Error;
	return isConnectFailure(error) ? {kind: 'unreachable', detail: message} : {kind: 'lost', detail: message};
};

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
	readonly #pool: Pool;

	constructor(private readonly id: EngineId, address: string, private readonly onAlive: (hold: EngineHold) => void = () => {/* Nobody watches */}) {
		this.#pool = new Pool(`http://${address}`, {
			connections, pipelining: 1, connectTimeout: connectTimeoutMs, headersTimeout: 0, bodyTimeout: 0,
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
		try {
			const answer = await this.#pool.request({path: '/report', method: 'GET', signal: AbortSignal.timeout(shortCallMs)});
			const body = await answer.body.json() as Omit<EngineReport, 'engine'>;
			return ok({...body, engine: this.id});
		} catch (error) {
			return err(faultOf(error));
		}
	}

	async change(fencing: FencingToken, change: EngineChange): Promise<Result<void, EngineFault>> {
		const answer = await this.#post('/change', {fencing, change}, AbortSignal.timeout(shortCallMs));
		return answer.map(() => undefined);
	}

	/** Closes the connections. */
	async close(): Promise<void> {
		await this.#pool.destroy();
	}

	async #post<T>(path: string, body: unknown, signal: AbortSignal): Promise<Result<T, EngineFault>> {
		try {
			const answer = await this.#pool.request({
				path, method: 'POST', headers: {'content-type': 'application/json', ...traceHeaders()}, body: JSON.stringify(body), signal,
			});
			const parsed = await answer.body.json() as T;
			return answer.statusCode === 200 ? ok(parsed) : err(faultOfStatus(answer.statusCode, parsed as {kind?: string}));
		} catch (error) {
			return err(faultOf(error));
		}
	}

	async * #stream(path: string, body: EngineHold & {readonly fromSeq?: number}, signal: AbortSignal): AsyncGenerator<DecodeChunk> {
		let ended = false;
		try {
			const answer = await this.#pool.request({
				path, method: 'POST', headers: {'content-type': 'application/json', ...traceHeaders()}, body: JSON.stringify(body), signal,
			});
			if (answer.statusCode !== 200) {
				throw new EngineFaultError(faultOfStatus(answer.statusCode, await answer.body.json() as {kind?: string}));
			}

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
			throw error instanceof EngineFaultError ? error : new EngineFaultError(faultOf(error));
		}

		if (!ended) {
			throw new EngineFaultError({kind: 'lost', detail: 'the stream closed without its end'});
		}
	}
}
