/** Answers JSON-RPC 2.0 calls of peers and operators over HTTP. */
import {createHash, timingSafeEqual} from 'node:crypto';
import {routerError, toErrorBody} from '@baobabpier/core';
import type {RpcMethod} from '@baobabpier/core';
import {SpanKind} from '@opentelemetry/api';
import {H3} from 'h3';
import {JSONRPCServer} from 'json-rpc-2.0';
import type {JSONRPCRequest, JSONRPCResponse} from 'json-rpc-2.0';
import {readTrace, withSpan} from '../observability/tracing.js';

/** Maximum size of a call, in bytes: that of the largest snapshot of the control state. Callers state the length of each call. */
const maxCallBytes = 32 * 1024 * 1024;

/** What a handler learns of its caller's connection. */
export type RpcContext = {
	/** Aborted when the caller's connection closes before the answer. */
	readonly signal: AbortSignal;
};

/** The name of a call, or of a batch of them, in traces. */
const spanName = (call: JSONRPCRequest | JSONRPCRequest[]): `rpc ${string}` => {
	const [first, ...others] = [call].flat();
	return first === undefined || others.length > 0 ? 'rpc batch' : `rpc ${first.method}`;
};

const digest = (text: string): Uint8Array => createHash('sha256').update(text).digest();

/** The JSON-RPC methods of one instance, behind a shared secret. */
export class RpcServer {
	readonly app: H3 = new H3({silent: true});
	readonly #server = new JSONRPCServer<RpcContext>();
	readonly #expected: Uint8Array;

	constructor(secret: string) {
		this.#expected = digest(`Bearer ${secret}`);
		this.app.use(event => {
			const requestId = event.req.headers.get('x-request-id');
			if (requestId !== null) {
				event.res.headers.set('x-request-id', requestId);
				event.res.errHeaders.set('x-request-id', requestId);
			}
		});
		this.app.post('/rpc', async event => {
			if (!timingSafeEqual(digest(event.req.headers.get('authorization') ?? ''), this.#expected)) {
				return Response.json(toErrorBody(routerError('unauthorized')), {status: 401});
			}

			const length = Number(event.req.headers.get('content-length') ?? Number.NaN);
			if (!(length <= maxCallBytes)) {
				return Response.json(toErrorBody(routerError('bodyTooLarge', `a call must state a length of at most ${maxCallBytes} bytes`)), {status: 413});
			}

			const abort = new AbortController();
			const res = event.runtime?.node?.res;
			const giveUp = (): void => {
				abort.abort();
			};

			res?.once('close', giveUp);
			try {
				const call = await event.req.json() as JSONRPCRequest | JSONRPCRequest[];
				const answer = await this.#receive(call, event.req.headers.get('traceparent') ?? undefined, {signal: abort.signal});
				return answer ?? new Response(undefined, {status: 204});
			} finally {
				// Each response closes in the end; an abort of every call would take a tenth of its processor time
				res?.off('close', giveUp);
			}
		});
	}

	/**
	 * Registers the handler of a method; returns the teardown.
	 *
	 * @example
	 * const teardown = server.registerMethod(STATUS, async () => status);
	 */
	registerMethod<Params, Result>(command: RpcMethod<Params, Result>, handler: (params: Params, context: RpcContext) => Promise<Result> | Result): () => void {
		this.#server.addMethod(command.method, handler as (params: unknown, context: RpcContext) => Result);
		return () => {
			this.#server.removeMethod(command.method);
		};
	}

	/** Only calls that carry a trace get a span; polls carry none. */
	async #receive(call: JSONRPCRequest | JSONRPCRequest[], traceparent: string | undefined, rpcContext: RpcContext): Promise<JSONRPCResponse | JSONRPCResponse[] | null> { // eslint-disable-line @typescript-eslint/no-restricted-types
		const run = async () => this.#server.receive(call, rpcContext);
		return traceparent === undefined ? run() : withSpan(spanName(call), {kind: SpanKind.SERVER, parent: readTrace({traceparent})}, run);
	}
}
