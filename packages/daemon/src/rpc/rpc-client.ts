/** Calls JSON-RPC 2.0 methods of another instance over HTTP. */
import {Buffer} from 'node:buffer';
import type {RpcMethod} from '@baobabpier/core';
import {createJSONRPCNotification, createJSONRPCRequest} from 'json-rpc-2.0';
import type {JSONRPCRequest, JSONRPCResponse} from 'json-rpc-2.0';
import {startPolledTimeout} from '../polled-timeout.js';
import {traceHeaders} from '../observability/tracing.js';
import {readIssuedId, requestIdHeader, RequestIdSource} from '../transport/request-id.js';
import {ServerTransport} from '../transport/server-transport.js';
import type {ForeignResponseListener, OpenResponse} from '../transport/types.js';

/** Maximum number of kept connections to a peer. */
const maxConnections = 32;
/** Maximum size of a result, in bytes: that of the largest snapshot of the control state. */
const maxResultBytes = 32 * 1024 * 1024;
/** In milliseconds. */
const connectTimeoutMs = 500;

/** A call that got no result; `sent` is false when it surely did not reach the peer. */
export class RpcCallError extends Error {
	override readonly name = 'RpcCallError';

	constructor(message: string, readonly sent: boolean) {
		super(message);
	}
}

const createTraceHeaders = (): readonly string[] => Object.entries(traceHeaders()).flat();

type PostOptions = {
	/** Name of the call in errors. */
	readonly name: string;
	readonly keepsConnection: boolean | undefined;
};

/** One notification of a batch. */
export type RpcNotification = {
	readonly method: string;
	readonly params: unknown;
};

/** A client of one peer. Calls are sent once, and a result is taken only for the call whose ids it names. */
export class RpcClient {
	readonly #transport: ServerTransport;
	readonly #ids = new RequestIdSource();
	#nextId = 1;

	constructor(private readonly address: string, private readonly secret: string, onForeignResponse?: ForeignResponseListener) {
		this.#transport = new ServerTransport({
			maxConnectionsTo: () => maxConnections, readResponseId: readIssuedId, connectTimeoutMs, onForeignResponse,
		});
	}

	/**
	 * Calls a method and waits for its result.
	 *
	 * @throws RpcCallError when there is no result within `timeoutMs`.
	 * @example
	 * const status = await client.call(STATUS, {}, 1000);
	 */
	async call<Params, Result>(command: RpcMethod<Params, Result>, params: Params, timeoutMs: number, signal?: AbortSignal): Promise<Result> {
		return this.#withTimeout(timeoutMs, signal, async abortSignal => this.#exchange(command, params, abortSignal));
	}

	/**
	 * Sends notifications in one JSON-RPC batch, and resolves once the peer has processed them in their order. A notification that the peer rejects has no
	 * effect on the others. Only a batch of one carries the trace of the request that it is part of.
	 *
	 * @throws RpcCallError when the peer does not confirm the batch within `timeoutMs`.
	 * @example
	 * await client.notify([{method: POOL_RELEASE.method, params: hold}], 1000);
	 */
	async notify(notifications: readonly RpcNotification[], timeoutMs: number): Promise<void> {
		const batch = notifications.map(({method, params}) => createJSONRPCNotification(method, params));
		await this.#withTimeout(timeoutMs, undefined, async signal => {
			const name = `batch of ${batch.length}`;
			const answer = await this.#post({name, keepsConnection: true}, batch, batch.length === 1 ? createTraceHeaders() : [], signal);
			const body = await this.#transport.readBody(answer, maxResultBytes);
			if ('kind' in body) {
				throw new RpcCallError(`${name}: ${body.detail}`, true);
			}

			if (answer.status >= 300) {
				throw new RpcCallError(`${name}: HTTP status ${answer.status}`, true);
			}
		});
	}

	/** Closes the connections. */
	async close(): Promise<void> {
		await this.#transport.close();
	}

	async #withTimeout<Result>(timeoutMs: number, signal: AbortSignal | undefined, run: (signal: AbortSignal) => Promise<Result>): Promise<Result> {
		const abort = new AbortController();
		const giveUp = (): void => {
			abort.abort(new Error('the call was given up'));
		};

		// Ends with the call; a timeout signal would keep the answer in memory until its time is up
		const timeout = startPolledTimeout(Math.ceil(timeoutMs), giveUp);
		signal?.addEventListener('abort', giveUp, {once: true});
		if (signal?.aborted) {
			giveUp();
		}

		try {
			return await run(abort.signal);
		} finally {
			timeout.clear();
			signal?.removeEventListener('abort', giveUp);
		}
	}

	async #exchange<Params, Result>(command: RpcMethod<Params, Result>, params: Params, signal: AbortSignal): Promise<Result> {
		const payload = createJSONRPCRequest(this.#nextId++, command.method, params);
		const answer = await this.#post({name: command.method, keepsConnection: command.keepsConnection}, payload, createTraceHeaders(), signal);
		const response = await this.#readResponse(command.method, answer);
		if (answer.status === 200 && response.id !== payload.id) {
			throw new RpcCallError(`${command.method}: the result belongs to call ${String(response.id)}, not ${String(payload.id)}`, true);
		}

		if (answer.status !== 200 || response.error !== undefined) {
			throw new RpcCallError(response.error?.message ?? `HTTP status ${answer.status}`, true);
		}

		return response.result as Result;
	}

	async #post({name, keepsConnection}: PostOptions, payload: JSONRPCRequest | readonly JSONRPCRequest[], headers: readonly string[], signal: AbortSignal): Promise<OpenResponse> {
		const {value, binding} = this.#ids.issue();
		const answer = await this.#transport.sendRequest({
			kind: 'rpc',
			binding,
			address: this.address,
			method: 'POST',
			target: '/rpc',
			headers: ['content-type', 'application/json', 'authorization', `Bearer ${this.secret}`, requestIdHeader, value, ...headers],
			body: Buffer.from(JSON.stringify(payload)),
			signal,
			// A peer that answers late would otherwise have to accept a further connection for each aborted call
			keepsConnection,
		});
		if (answer.kind !== 'head') {
			throw new RpcCallError(`${name}: ${answer.detail}`, answer.kind !== 'unsent');
		}

		return answer;
	}

	async #readResponse(method: string, answer: OpenResponse): Promise<JSONRPCResponse> {
		const body = await this.#transport.readBody(answer, maxResultBytes);
		if ('kind' in body) {
			throw new RpcCallError(`${method}: ${body.detail}`, true);
		}

		try {
			return JSON.parse(Buffer.from(body).toString()) as JSONRPCResponse;
		} catch (error) {
			throw new RpcCallError(`${method}: ${(error as Error).message}`, true);
		}
	}
}
