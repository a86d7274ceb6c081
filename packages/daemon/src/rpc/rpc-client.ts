/** Calls JSON-RPC 2.0 methods of another instance over HTTP. */
import {Buffer} from 'node:buffer';
import type {RpcMethod} from '@baobabpier/core';
import {createJSONRPCRequest} from 'json-rpc-2.0';
import type {JSONRPCResponse} from 'json-rpc-2.0';
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
			return await this.#exchange(command, params, abort.signal);
		} finally {
			timeout.clear();
			signal?.removeEventListener('abort', giveUp);
		}
	}

	/** Closes the connections. */
	async close(): Promise<void> {
		await this.#transport.close();
	}

	async #exchange<Params, Result>(command: RpcMethod<Params, Result>, params: Params, signal: AbortSignal): Promise<Result> {
		const payload = createJSONRPCRequest(this.#nextId++, command.method, params);
		const {value, binding} = this.#ids.issue();
		const answer = await this.#transport.sendRequest({
			kind: 'rpc',
			binding,
			address: this.address,
			method: 'POST',
			target: '/rpc',
			headers: ['content-type', 'application/json', 'authorization', `Bearer ${this.secret}`, requestIdHeader, value, ...Object.entries(traceHeaders()).flat()],
			body: Buffer.from(JSON.stringify(payload)),
			signal,
		});
		if (answer.kind !== 'head') {
			throw new RpcCallError(`${command.method}: ${answer.detail}`, answer.kind !== 'unsent');
		}

		const response = await this.#readResponse(command.method, answer);
		if (answer.status === 200 && response.id !== payload.id) {
			throw new RpcCallError(`${command.method}: the result belongs to call ${String(response.id)}, not ${String(payload.id)}`, true);
		}

		if (answer.status !== 200 || response.error !== undefined) {
			throw new RpcCallError(response.error?.message ?? `HTTP status ${answer.status}`, true);
		}

		return response.result as Result;
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
