/** The callers' port: reads calls whole, finds their route, and writes the answers. */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {
	addMs, errorResponses, pickTarget, RouteIndex, routerError, toErrorBody,
} from '@baobabpier/core';
import type {
	Clock, ErrorResponse, ErrorKind, RandomSource, RouterError, RoutingTable,
} from '@baobabpier/core';
import {listenOn} from '../listen.js';
import {createLog} from '../log.js';
import {CallScope} from './call-scope.js';
import type {GatewayMetrics} from './gateway-metrics.js';
import type {PlainRoute} from './plain-route.js';
import {passedHeaders} from './raw-headers.js';
import type {Reply} from './reply.js';
import type {StartGate} from './start-gate.js';
import type {StreamOutput} from './stream-progress.js';
import type {StreamRoute} from './stream-route.js';
import type {ResponseHead, Call, CallerDialect} from './types.js';

const log = createLog('callers');
/** Bytes of bodies held at a time; a quarter of the smallest instance's memory. */
const maxBufferedBytes = 40 * 1024 * 1024;
/** Bytes of a stream that wait for a slow caller; beyond them the stream is broken off. */
const maxUnreadBytes = 1024 * 1024;
const connectionCheckMs = 500;
/** When to come back to an instance that has had no configuration for seconds, in milliseconds: the balancer uses others by then. */
const noTableComeBackMs = 1000;
/** Used until the first routing configuration. */
const firstLimits = {
	headerBytes: 16 * 1024, bodyBytes: 4 * 1024 * 1024, headersTimeoutMs: 3000, idleTimeoutMs: 15_000,
};
/** Backlog of connections that wait to be accepted. */
const backlog = 1024;

/** What the callers' port works with. */
export type CallerListenerParts = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly dialect: CallerDialect;
	readonly plain: PlainRoute;
	readonly streams: StreamRoute;
	readonly metrics: GatewayMetrics;
	/** Opened once a configuration and a list of servers are known. */
	readonly gate: StartGate;
};

/** Serves callers. */
export class CallerListener {
	readonly #server: Server;
	readonly #open = new Set<CallScope>();
	#index: {readonly table: RoutingTable; readonly routes: RouteIndex} | undefined;
	#bufferedBytes = 0;
	#isClosing = false;
	#isClosed = false;

	constructor(private readonly parts: CallerListenerParts) {
		this.#server = createServer({
			maxHeaderSize: firstLimits.headerBytes, headersTimeout: firstLimits.headersTimeoutMs, requestTimeout: 0, keepAliveTimeout: firstLimits.idleTimeoutMs, connectionsCheckingInterval: connectionCheckMs, noDelay: true,
		}, (req, res) => {
			void this.#take(req, res);
		});
		this.#server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
			this.#refuseMalformed(error, socket);
		});
	}

	/** Calls in progress. */
	get inProgress(): number {
		return this.#open.size;
	}

	/** The port that it listens on. */
	get port(): number {
		return (this.#server.address() as AddressInfo).port;
	}

	async listen(address: string): Promise<void> {
		await listenOn(this.#server, address, backlog);
	}

	/** Takes a routing table into force for the calls that follow. */
	apply(table: RoutingTable): void {
		this.#index = {table, routes: new RouteIndex(table.routes)};
		this.#server.keepAliveTimeout = table.limits.idleTimeoutMs;
		this.#server.headersTimeout = table.limits.headersTimeoutMs;
	}

	/** Asks callers to use other instances: each answer closes its connection. */
	startClosing(): void {
		this.#isClosing = true;
		this.#server.closeIdleConnections();
	}

	/** Takes no more connections and no more calls on open ones; those without a call in progress are closed. */
	stopAccepting(): void {
		this.#isClosed = true;
		this.#server.close();
		this.#server.closeIdleConnections();
	}

	/** Ends the calls in progress, and closes. */
	destroy(): void {
		for (const scope of this.#open) {
			scope.end('stopping');
		}

		this.#server.close();
		this.#server.closeAllConnections();
	}

	async #take(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const arrivedAt = this.parts.clock.now();
		res.once('finish', () => {
			// An answer that began before the stop did not announce the end of its connection
			if (this.#isClosing) {
				req.socket.end();
			}
		});
		try {
			const body = await this.#readBody(req);
			if (body === 'gone') {
				return;
			}

			if (this.#isClosed) {
				this.#refuse(req, res, routerError('shuttingDown'));
				return;
			}

			if ('kind' in body) {
				this.#refuse(req, res, body);
				return;
			}

			await this.#route(req, res, body, arrivedAt);
		} catch (error) {
			log('A call failed within the instance.', {error: (error as Error).stack ?? String(error)});
			this.#refuse(req, res, routerError('internal'));
		}
	}

	/** Reads a body whole within the limits. */
	async #readBody(req: IncomingMessage): Promise<Uint8Array | RouterError | 'gone'> {
		const bodyBytes = this.#index?.table.limits.bodyBytes ?? firstLimits.bodyBytes;
		const chunks: Uint8Array[] = [];
		let bytes = 0;
		try {
			for await (const chunk of req as AsyncIterable<Uint8Array>) {
				bytes += chunk.length;
				this.#bufferedBytes += chunk.length;
				if (bytes > bodyBytes) {
					return routerError('bodyTooLarge', `over ${bodyBytes} bytes`);
				}

				if (this.#bufferedBytes > maxBufferedBytes) {
					return routerError('overloaded', 'too many bodies are being read');
				}

				chunks.push(chunk);
			}
		} catch (error) {
			log('A caller left before its call was read.', {detail: (error as Error).message, bytes});
			return 'gone';
		} finally {
			this.#bufferedBytes -= bytes;
		}

		return Buffer.concat(chunks);
	}

	async #route(req: IncomingMessage, res: ServerResponse, body: Uint8Array, arrivedAt: ReturnType<Clock['now']>): Promise<void> {
		const facts = this.parts.dialect.parseMetadata(req.headers);
		await this.parts.gate.wait(facts.ok ? facts.val.callerTimeoutMs ?? Number.POSITIVE_INFINITY : 0);
		if (res.destroyed) {
			log('A caller left before a configuration was in force.', {requestId: this.#idOf(req)});
			return;
		}

		const target = req.url ?? '/';
		const path = target.split('?', 1)[0]!;
		const index = this.#index;
		if (index === undefined) {
			this.#refuse(req, res, routerError('shuttingDown', 'no configuration is in force yet', noTableComeBackMs));
			return;
		}

		const route = index.routes.match(req.headers.host ?? '', path);
		const service = route === undefined ? undefined : pickTarget(route, this.parts.random.next());
		if (route === undefined || service === undefined) {
			log('A call has no route.', {requestId: this.#idOf(req), host: req.headers.host, version: index.table.version});
			this.#refuse(req, res, routerError('unknownService', `no route for ${req.headers.host ?? ''}${path}`));
			return;
		}

		if (facts.err) {
			this.#refuse(req, res, facts.val);
			return;
		}

		const waitMs = Math.min(route.timeoutMs, facts.val.callerTimeoutMs ?? route.timeoutMs);
		const call: Call = {
			...facts.val, method: req.method ?? 'GET', target, rawHeaders: req.rawHeaders, body, route, arrivedAt, deadlineAt: addMs(arrivedAt, waitMs),
		};
		await this.#serve(call, service, req, res);
	}

	async #serve(call: Call, service: Parameters<PlainRoute['serve']>[1], req: IncomingMessage, res: ServerResponse): Promise<void> {
		const {clock, plain, streams, metrics} = this.parts;
		const scope = new CallScope(clock, call.deadlineAt);
		this.#open.add(scope);
		res.once('close', () => {
			if (!res.writableFinished) {
				scope.end('callerGone');
			}
		});
		try {
			const reply = call.route.kind === 'stream' ? await streams.serve(call, service, scope, this.#output(call, req, res, scope)) : await plain.serve(call, service, scope);
			this.#write(call, req, res, reply, scope);
			const outcome = this.#outcomeOf(reply, res, scope);
			log('A call ended.', {
				requestId: call.requestId, route: call.route.name, service, outcome, status: res.statusCode, ms: Math.round(clock.now() - call.arrivedAt), ended: scope.reason,
			});
			metrics.observeCall(call.route.kind, outcome, clock.now() - call.arrivedAt);
		} finally {
			scope.close();
			this.#open.delete(scope);
		}
	}

	#outcomeOf(reply: Reply, res: ServerResponse, scope: CallScope): string {
		if (scope.reason === 'callerGone') {
			return 'callerGone';
		}

		if (reply.kind === 'error') {
			return reply.error.kind;
		}

		return reply.kind === 'relay' || res.writableEnded ? 'answered' : 'brokenOff';
	}

	#write(call: Call, req: IncomingMessage, res: ServerResponse, reply: Reply, scope: CallScope): void {
		if (reply.kind === 'streamed' || scope.reason === 'callerGone') {
			return;
		}

		if (reply.kind === 'error') {
			this.#refuse(req, res, reply.error, call.requestId);
			return;
		}

		const {head, body} = reply;
		const headers = passedHeaders(head.rawHeaders, new Set(['content-length']));
		const isBodiless = call.method === 'HEAD' || head.status === 204 || head.status === 304;
		this.#markClosing(res);
		res.writeHead(head.status, isBodiless ? headers : [...headers, 'content-length', String(body.length)]);
		res.end(isBodiless ? undefined : body);
	}

	#output(call: Call, _req: IncomingMessage, res: ServerResponse, scope: CallScope): StreamOutput {
		const markClosing = (): void => {
			this.#markClosing(res);
		};

		return {
			get isBegun() {
				return res.headersSent;
			},
			begin(head: ResponseHead) {
				markClosing();
				res.writeHead(head.status, passedHeaders(head.rawHeaders, new Set(['content-length'])));
			},
			write(bytes: Uint8Array) {
				res.write(bytes);
				if (res.writableLength > maxUnreadBytes) {
					log('A caller does not read its stream.', {requestId: call.requestId, unreadBytes: res.writableLength});
					scope.end('callerGone');
					res.destroy();
				}
			},
			end() {
				res.end();
			},
			breakOff() {
				res.destroy();
			},
		};
	}

	#markClosing(res: ServerResponse): void {
		if (this.#isClosing && !res.headersSent) {
			res.setHeader('connection', 'close');
			res.shouldKeepAlive = false;
		}
	}

	#idOf(req: IncomingMessage): string | undefined {
		const facts = this.parts.dialect.parseMetadata(req.headers);
		return facts.ok ? facts.val.requestId : undefined;
	}

	#refuse(req: IncomingMessage, res: ServerResponse, error: RouterError, requestId = this.#idOf(req)): void {
		if (res.headersSent || res.destroyed) {
			res.destroy();
			return;
		}

		const answer: ErrorResponse = errorResponses[error.kind];
		const text = JSON.stringify(toErrorBody(error));
		this.#markClosing(res);
		if (!req.complete) {
			res.setHeader('connection', 'close');
		}

		res.writeHead(answer.status, {
			'content-type': 'application/json', 'content-length': Buffer.byteLength(text), ...this.parts.dialect.errorHeaders(requestId, error.retryAfterMs ?? answer.retryAfterMs),
		});
		res.end(text);
		if (!req.complete) {
			req.resume();
		}

		log('A call is refused.', {
			requestId, kind: error.kind, status: answer.status, retryAfterMs: error.retryAfterMs, detail: error.detail,
		});
		this.parts.metrics.countRefusal(error.kind);
	}

	#refuseMalformed(error: NodeJS.ErrnoException, socket: Socket): void {
		if (!socket.writable || error.code === 'ECONNRESET') {
			socket.destroy();
			return;
		}

		const kinds: Readonly<Record<string, ErrorKind>> = {
			HPE_HEADER_OVERFLOW: 'headersTooLarge', // eslint-disable-line @typescript-eslint/naming-convention
			ERR_HTTP_REQUEST_TIMEOUT: 'requestTimeout', // eslint-disable-line @typescript-eslint/naming-convention
		};
		const kind = kinds[error.code ?? ''] ?? 'malformedRequest';
		log('What a connection sent is no call.', {kind, detail: error.message});
		socket.end(`HTTP/1.1 ${errorResponses[kind].status} ${kind}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`);
	}
}
