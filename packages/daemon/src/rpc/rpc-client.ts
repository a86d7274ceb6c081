/** Calls JSON-RPC 2.0 methods of another instance over HTTP. */
import type {RpcMethod} from '@baobabpier/core';
import {createJSONRPCRequest} from 'json-rpc-2.0';
import type {JSONRPCResponse} from 'json-rpc-2.0';
import {Pool} from 'undici';
import {traceHeaders} from '../observability/tracing.js';
import {isConnectFailure} from '../connect-failure.js';
import {createTimedConnect} from '../timed-connect.js';

const connections = 32;
const connectTimeoutMs = 500;

/** A call that got no result; `sent` is false when it surely did not reach the peer. */
export class RpcCallError extends Error {
	override readonly name = 'RpcCallError';

	constructor(message: string, readonly sent: boolean) {
		super(message);
	}
}

/** A client of one peer. Calls are sent once; undici does not repeat a POST. */
export class RpcClient {
	readonly #pool: Pool;
	#nextId = 1;

	constructor(address: string, private readonly secret: string) {
		this.#pool = new Pool(`http://${address}`, {
			connections, pipelining: 1, connect: createTimedConnect(connectTimeoutMs), headersTimeout: 0, bodyTimeout: 0,
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
		const timer = setTimeout(giveUp, Math.ceil(timeoutMs));
		signal?.addEventListener('abort', giveUp, {once: true});
		if (signal?.aborted) {
			giveUp();
		}

		const payload = createJSONRPCRequest(this.#nextId++, command.method, params);
		try {
			const answer = await this.#pool.request({
				path: '/rpc',
				method: 'POST',
				headers: {'content-type': 'application/json', authorization: `Bearer ${this.secret}`, ...traceHeaders()},
				body: JSON.stringify(payload),
				signal: abort.signal,
			});
			const response = await answer.body.json() as JSONRPCResponse;
			if (answer.statusCode === 200 && response.id !== payload.id) {
				throw new RpcCallError(`${command.method}: the result belongs to call ${String(response.id)}, not ${String(payload.id)}`, true);
			}

			if (answer.statusCode !== 200 || response.error !== undefined) {
				throw new RpcCallError(response.error?.message ?? `HTTP status ${answer.statusCode}`, true);
			}

			return response.result as Result;
		} catch (error) {
			if (error instanceof RpcCallError) {
				throw error;
			}

			throw new RpcCallError(`${command.method}: ${(error as Error).message}`, !isConnectFailure(error));
		} finally {
			clearTimeout(timer);
			signal?.removeEventListener('abort', giveUp);
		}
	}

	/** Closes the connections. */
	async close(): Promise<void> {
		await this.#pool.destroy();
	}
}
