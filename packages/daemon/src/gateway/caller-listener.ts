/** HTTP listener for callers: reads complete calls, matches their routes and writes the responses. */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {
	addMs, costOf, defaultResourceLimits, errorResponses, isErrorKind, pickTarget, RouteIndex, routerError, TeamIndex, toErrorBody,
} from '@baobabpier/core';
import type {
	ClientPortBounds, Clock, DrainWindow, ErrorKind, ErrorResponse, Instant, RandomSource, RouterError, RoutingTable, ServiceName,
} from '@baobabpier/core';
import {listenOn} from '../listen.js';
import {createLog} from '../log.js';
import {breakOff, isShortBody, ServerConnections} from '../server-connections.js';
import type {RelayClient} from '../relay/relay-client.js';
import {declinedHeader, readRelayHeaders, relayHeaderNames} from '../relay/relay-headers.js';
import type {RelayHeaders} from '../relay/relay-headers.js';
import type {QuotaOutcome, TeamQuotas} from '../teams/team-quotas.js';
import {processBuffers} from '../transport/buffer-account.js';
import {metLimits} from '../transport/client-connections.js';
import {incomingBodies} from '../transport/incoming-bodies.js';
import {CallBodyReader} from './call-body-reader.js';
import {CallDrain} from './call-drain.js';
import type {DrainEffect} from './call-drain.js';
import {CallScope} from './call-scope.js';
import {CallerStream} from './caller-stream.js';
import type {GatewayMetrics} from './gateway-metrics.js';
import type {PlainRoute} from './plain-route.js';
import {forwardableHeaders} from './raw-headers.js';
import {detailOf, errorReply} from './reply.js';
import {digestRequest} from './request-digest.js';
import type {Reply} from './reply.js';
import type {StartupGate} from './startup-gate.js';
import type {StreamRoute} from './stream-route.js';
import type {Call, CallerDialect, CallSender} from './types.js';
import {VersionGate} from './version-gate.js';

const log = createLog('callers');
const connectionCheckIntervalMs = 500;
/**
 * Retry delay sent by an instance that has had no configuration for seconds, in milliseconds: by then the load balancer
 * uses other instances.
 */
const noTableRetryAfterMs = 1000;
/** Limits that apply until the first routing configuration. */
const initialLimits = {
	headerBytes: 16 * 1024, bodyBytes: 4 * 1024 * 1024, headersTimeoutMs: 3000, idleTimeoutMs: 15_000,
};
/** Time for the body of a call whose caller states no time, in milliseconds. */
const usualBodyMs = 30_000;
/** Longest time for a body, in milliseconds: 4 MiB at a third of a megabit a second. */
const maxBodyMs = 120_000;
/** Least time for a body, in milliseconds: a process that was paused has read nothing of what arrived meanwhile. */
const minBodyMs = 1000;
/** Maximum number of relayed calls in progress: the bodies and responses of more would crowd out this instance's own callers. */
const maxRelayedCalls = 256;
/** Size of the headers that a relayed call has beside its caller's, in bytes. */
const relayHeaderBytes = 1024;
/** Errors of calls that have not run, for which servers that can't be reached may be the cause. */
const pathErrors: ReadonlySet<ErrorKind> = new Set(['noBackend', 'overloaded', 'queueTimeout']);
/** Maximum number of connections that wait to be accepted. */
const backlog = 1024;

const pathOf = (req: IncomingMessage): string => (req.url ?? '/').split('?', 1)[0]!;

/** The reply to a call whose route returned `reply`: every caller gets a response, and one that fits the end of its call. */
const toFinalReply = (reply: Reply, res: ServerResponse, scope: CallScope): Reply => {
	if (reply.kind === 'streamed' && !res.headersSent && scope.reason !== 'callerGone') {
		return errorReply(routerError('answerLost', 'the stream ended without a response'));
	}

	// Another instance may serve at once what this one could not begin
	return reply.kind === 'error' && scope.isCutShort && errorResponses[reply.error.kind].run === 'no' ? errorReply(routerError('shuttingDown')) : reply;
};

/** The reply to a call that its team's quota does not admit. */
const toQuotaReply = (outcome: Exclude<QuotaOutcome, {kind: 'granted'}>, scope: CallScope): Reply => {
	if (scope.reason === 'callerGone') {
		return {kind: 'streamed'};
	}

	return errorReply(routerError(outcome.kind === 'denied' ? 'quotaReached' : 'quotaUnavailable', undefined, outcome.retryAfterMs));
};

/** Dependencies of the caller listener. */
export type CallerListenerParts = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly dialect: CallerDialect;
	readonly plain: PlainRoute;
	readonly streams: StreamRoute;
	readonly metrics: GatewayMetrics;
	/** Decides on calls of teams with a quota. */
	readonly quotas: Pick<TeamQuotas, 'acquire'>;
	/** Opens once a routing configuration and a server list are available. */
	readonly gate: StartupGate;
	/** Serves calls through other instances while this one reaches no server. */
	readonly relay: Pick<RelayClient, 'becomesNeeded' | 'isNeeded' | 'send'>;
	/** Calls that other instances relay here. */
	readonly relayPort: RelayPortSettings;
	/** Bounds of the connections of callers and of other instances. */
	readonly connections?: Pick<ClientPortBounds, 'callers' | 'partners'>;
};

/** How this instance takes relayed calls. */
export type RelayPortSettings = {
	readonly secret: string;
	/** Whether this instance reaches no server, once that is known; it then declines relayed calls, which go through no second instance. */
	readonly isPathLost: () => Promise<boolean>;
};

/** Whether a call certainly did not run, for a reason that a lost path to servers explains. */
const isUnreached = (reply: Reply, {reason}: CallScope, {isStarted}: CallerStream): boolean => reply.kind === 'error' && pathErrors.has(reply.error.kind) && !isStarted && reason === undefined;

/** Accepts calls and serves them over plain or stream routes. */
export class CallerListener {
	readonly #server: Server;
	readonly #connections: ServerConnections;
	/** Connections of other instances, with the calls that they relay. */
	readonly #relayConnections: ServerConnections;
	readonly #openScopes = new Set<CallScope>();
	readonly #bodies = new CallBodyReader(incomingBodies);
	readonly #drain: CallDrain;
	readonly #versions = new VersionGate();
	#index: {readonly table: RoutingTable; readonly routes: RouteIndex; readonly teams: TeamIndex | undefined} | undefined;
	#isClosed = false;
	/** Relayed calls in progress. */
	#relayedCalls = 0;

	constructor(private readonly parts: CallerListenerParts) {
		const options = {
			headersTimeout: initialLimits.headersTimeoutMs, requestTimeout: 0, keepAliveTimeout: initialLimits.idleTimeoutMs, connectionsCheckingInterval: connectionCheckIntervalMs, noDelay: true,
		};
		this.#connections = new ServerConnections(createServer({...options, maxHeaderSize: initialLimits.headerBytes}), (req, res, waitedMs) => {
			void this.#handle(req, res, waitedMs);
		});
		this.#relayConnections = new ServerConnections(createServer({...options, maxHeaderSize: initialLimits.headerBytes + relayHeaderBytes}), (req, res, waitedMs) => {
			void this.#handleRelayed(req, res, waitedMs);
		});
		const {callers, partners} = parts.connections ?? defaultResourceLimits.ports;
		this.#connections.setBounds(callers);
		this.#relayConnections.setBounds(partners);

		this.#server = this.#connections.server;
		this.#drain = new CallDrain(parts.clock);
	}

	/** Number of calls in progress that other instances relay here. */
	get relayedCalls(): number {
		return this.#relayedCalls;
	}

	/** Number of calls in progress. */
	get inProgress(): number {
		return this.#openScopes.size;
	}

	/** Whether no call is in progress or being read, and all responses have been sent. */
	get isIdle(): boolean {
		return this.#openScopes.size === 0 && this.#connections.active === 0 && this.#relayConnections.active === 0;
	}

	/** Calls of each kind of route that a stop refused, that it ended before their deadline, and that were broken off during it. */
	get drainEffects(): Readonly<Record<DrainEffect, string>> {
		return this.#drain.effects;
	}

	/** The calls that got no complete response during a stop, with their causes. */
	get unfinishedCalls(): string {
		return this.#drain.unfinished;
	}

	/** TCP port for relayed calls. */
	get relayTcpPort(): number {
		return (this.#relayConnections.server.address() as AddressInfo).port;
	}

	/** TCP port of the listener. */
	get port(): number {
		return (this.#server.address() as AddressInfo).port;
	}

	async listen(address: string): Promise<void> {
		await listenOn(this.#server, address, backlog);
	}

	/** Listens for calls that other instances relay. */
	async listenForRelays(address: string): Promise<void> {
		await listenOn(this.#relayConnections.server, address, backlog);
	}

	/** Applies a routing table to later calls. */
	apply(table: RoutingTable): void {
		this.#index = {table, routes: new RouteIndex(table.routes), teams: table.teams === undefined ? undefined : new TeamIndex(table.teams)};
		this.#server.keepAliveTimeout = table.limits.idleTimeoutMs;
		this.#server.headersTimeout = table.limits.headersTimeoutMs;
		this.#drain.retainRoutes(table.routes);
		this.#versions.setVersion(table.version);
	}

	/**
	 * Begins to drain: each response closes its connection, calls that can't be expected to end in time are refused, and
	 * those in progress are ended when the drain is over.
	 */
	startClosing(window: DrainWindow): void {
		this.#drain.begin(window);
		this.#connections.setClosing(true);
		this.#relayConnections.setClosing(true);
		for (const scope of this.#openScopes) {
			scope.limitTo(window.endsAt);
		}
	}

	/** Ends the calls in progress, refuses those that still arrive and closes all connections, within `ms` milliseconds at the latest. */
	async close(ms: number): Promise<void> {
		this.#endCalls();
		await Promise.all([this.#connections.close(ms), this.#relayConnections.close(ms)]);
	}

	/** Ends the calls in progress and closes all connections at once. */
	destroy(): void {
		this.#endCalls();
		this.#connections.destroy();
		this.#relayConnections.destroy();
	}

	#endCalls(): void {
		this.#isClosed = true;
		this.parts.gate.open();
		this.#versions.close();
		for (const scope of this.#openScopes) {
			scope.limitTo(this.parts.clock.now());
		}
	}

	/** Serves a call of another instance like one of a caller, but never through a third one. */
	async #handleRelayed(req: IncomingMessage, res: ServerResponse, waitedMs: number): Promise<void> {
		const relay = readRelayHeaders(req.rawHeaders, this.parts.relayPort.secret);
		if (relay === undefined) {
			this.#refuse(req, res, routerError('unauthorized'));
			return;
		}

		this.#relayedCalls += 1;
		res.once('close', () => {
			this.#relayedCalls -= 1;
		});
		const takenAt = this.parts.clock.now();
		if (this.#relayedCalls > maxRelayedCalls || await this.parts.relayPort.isPathLost()) {
			this.#decline(req, res, 'this instance takes no relayed calls now');
			return;
		}

		await this.#handle(req, res, waitedMs + (this.parts.clock.now() - takenAt), relay);
	}

	/** Tells another instance that its call has not run here, and may go to a further one. */
	#decline(req: IncomingMessage, res: ServerResponse, detail: string): void {
		res.setHeader(...declinedHeader);
		this.#refuse(req, res, routerError('shuttingDown', detail));
	}

	async #handle(req: IncomingMessage, res: ServerResponse, waitedMs: number, relay?: RelayHeaders): Promise<void> {
		const arrivedAt = addMs(this.parts.clock.now(), -waitedMs);
		try {
			const refusal = relay === undefined && !isShortBody(req) ? this.#refuseByHead(req, arrivedAt) : undefined;
			if (refusal !== undefined) {
				metLimits.unreadBodies.add({kind: refusal.kind});
				this.#refuse(req, res, refusal);
				return;
			}

			const body = await this.#bodies.read(req, res, {maxBytes: this.#index?.table.limits.bodyBytes ?? initialLimits.bodyBytes, timeoutMs: this.#bodyTimeoutMs(req, relay)});
			if (body === 'gone') {
				return;
			}

			if ('kind' in body) {
				this.#refuse(req, res, body);
				return;
			}

			await this.#route(req, res, body, arrivedAt, relay);
		} catch (error) {
			log('A call failed with an internal error.', {error: (error as Error).stack ?? String(error)});
			this.#refuse(req, res, routerError('internal'));
		}
	}

	/** Why a call can't be served whatever its body is; undefined where it may be, or that is not known yet. */
	#refuseByHead(req: IncomingMessage, arrivedAt: Instant): RouterError | undefined {
		const index = this.#index;
		const metadata = this.parts.dialect.parseMetadata(req.headers);
		if (index === undefined) {
			return undefined;
		}

		const route = index.routes.match(req.headers.host ?? '', pathOf(req));
		if (route === undefined) {
			return this.#unknownRoute(req);
		}

		if (metadata.err) {
			return metadata.val;
		}

		if (index.teams?.identify(metadata.val.key, route.isOpen === true).kind === 'rejected') {
			return routerError('unknownKey');
		}

		const deadlineAt = addMs(arrivedAt, Math.min(route.timeoutMs, metadata.val.callerTimeoutMs ?? route.timeoutMs));
		if (deadlineAt <= this.parts.clock.now()) {
			return routerError('queueTimeout');
		}

		if (this.#isClosed || !this.#drain.admits({route, deadlineAt})) {
			this.#drain.countEffect('refused', route.kind);
			return routerError('shuttingDown');
		}

		return undefined;
	}

	#unknownRoute(req: IncomingMessage): RouterError {
		return routerError('unknownService', `no route for ${req.headers.host ?? ''}${pathOf(req)}`);
	}

	/** Time for the body of a call, in milliseconds: as long as its caller waits for the response. */
	#bodyTimeoutMs(req: IncomingMessage, relay: RelayHeaders | undefined): number {
		const metadata = this.parts.dialect.parseMetadata(req.headers);
		const waitMs = relay?.remainingMs ?? (metadata.ok ? metadata.val.callerTimeoutMs : undefined) ?? usualBodyMs;
		return Math.min(maxBodyMs, Math.max(minBodyMs, waitMs));
	}

	// eslint-disable-next-line max-params
	async #route(req: IncomingMessage, res: ServerResponse, body: Uint8Array, arrivedAt: ReturnType<Clock['now']>, relay: RelayHeaders | undefined): Promise<void> {
		const metadata = this.parts.dialect.parseMetadata(req.headers);
		await this.parts.gate.wait(metadata.ok ? metadata.val.callerTimeoutMs ?? Number.POSITIVE_INFINITY : 0);
		const isOutdated = relay !== undefined && !await this.#versions.reach(relay.routingVersion, relay.remainingMs - (this.parts.clock.now() - arrivedAt));
		if (res.destroyed) {
			log('A caller disconnected before a configuration was in force.', {requestId: this.#requestId(req)});
			return;
		}

		const target = req.url ?? '/';
		const index = this.#index;
		if (isOutdated) {
			this.#decline(req, res, 'the routing configuration is older than the sender\'s');
			return;
		}

		if (index === undefined) {
			this.#refuse(req, res, routerError('shuttingDown', 'no configuration is in force yet', noTableRetryAfterMs));
			return;
		}

		const route = index.routes.match(req.headers.host ?? '', pathOf(req));
		const service = route === undefined ? undefined : pickTarget(route, this.parts.random.next());
		if (route === undefined || service === undefined) {
			log('No route matches a call.', {requestId: this.#requestId(req), host: req.headers.host, version: index.table.version});
			this.#refuse(req, res, this.#unknownRoute(req));
			return;
		}

		if (metadata.err) {
			this.#refuse(req, res, metadata.val);
			return;
		}

		const identity = index.teams?.identify(metadata.val.key, route.isOpen === true);
		if (identity?.kind === 'rejected') {
			this.#refuse(req, res, routerError('unknownKey'), metadata.val.requestId);
			return;
		}

		const sender: CallSender | undefined = identity === undefined ? undefined : {team: identity.kind === 'team' ? identity.team : undefined};
		const timeoutMs = Math.min(route.timeoutMs, relay?.remainingMs ?? metadata.val.callerTimeoutMs ?? route.timeoutMs);
		const request = {
			method: req.method ?? 'GET', target, rawHeaders: relay === undefined ? req.rawHeaders : forwardableHeaders(req.rawHeaders, relayHeaderNames), body,
		};
		const {sharedSegments} = metadata.val;
		const call: Call = {
			...metadata.val, ...request, route, sender, isRelayed: relay !== undefined, arrivedAt, deadlineAt: addMs(arrivedAt, timeoutMs),
			sharedSegments: route.kind === 'stream' && sharedSegments.length > 0 ? sharedSegments : [digestRequest({...request, team: sender?.team?.name})],
		};
		await this.#serve(call, service, req, res);
	}

	/** Serves a call by the servers that this instance reaches, or through another instance where it reaches none. */
	async #findReply(call: Call, service: ServiceName, scope: CallScope, out: CallerStream): Promise<Reply> {
		const {relay} = this.parts;
		const relayed = relay.isNeeded ? await this.#relay(call, scope, out) : undefined;
		if (relayed !== undefined) {
			return relayed;
		}

		const reply = await this.#findOwnReply(call, service, scope, out);
		// The path may have been lost meanwhile
		return isUnreached(reply, scope, out) && await relay.becomesNeeded() ? await this.#relay(call, scope, out) ?? reply : reply;
	}

	/** Serves a call within its team's quota; a call that certainly was not run gets its credit back. */
	async #findOwnReply(call: Call, service: ServiceName, scope: CallScope, out: CallerStream): Promise<Reply> {
		const quota = call.sender?.team?.quota;
		if (quota === undefined) {
			return this.#serveByRoute(call, service, scope, out);
		}

		const outcome = await this.parts.quotas.acquire(call.sender!.team!.name, quota, costOf(quota, call), scope);
		if (outcome.kind !== 'granted') {
			return toQuotaReply(outcome, scope);
		}

		const reply = await this.#serveByRoute(call, service, scope, out);
		if (reply.kind === 'error' && errorResponses[reply.error.kind].run === 'no' && !out.isStarted) {
			outcome.refund();
		}

		return reply;
	}

	async #serveByRoute(call: Call, service: ServiceName, scope: CallScope, out: CallerStream): Promise<Reply> {
		const {plain, streams} = this.parts;
		return call.route.kind === 'stream' ? streams.serve(call, service, scope, out) : plain.serve(call, service, scope);
	}

	/** Serves a call through another instance; undefined where none takes it. */
	async #relay(call: Call, scope: CallScope, out: CallerStream): Promise<Reply | undefined> {
		const outcome = await this.parts.relay.send(call, scope, {
			start(head) {
				out.start(head);
			},
			write({bytes}) {
				out.write(bytes);
				return scope.reason === undefined;
			},
			end() {
				out.end();
			},
		});
		switch (outcome.kind) {
			case 'declined': {
				return scope.reason === undefined ? undefined : errorReply(routerError('queueTimeout'));
			}

			case 'reply': {
				return outcome.reply;
			}

			case 'complete': {
				return {kind: 'streamed'};
			}

			case 'broken': {
				if (out.isStarted) {
					out.abort();
					return {kind: 'streamed', detail: outcome.detail};
				}

				return errorReply(routerError(scope.reason === 'deadline' ? 'timeout' : 'answerLost', outcome.detail));
			}
		}
	}

	async #serve(call: Call, service: ServiceName, req: IncomingMessage, res: ServerResponse): Promise<void> {
		const {clock, metrics} = this.parts;
		if (call.deadlineAt <= clock.now()) {
			this.#refuse(req, res, routerError('queueTimeout'), call.requestId);
			return;
		}

		if (this.#isClosed || !this.#drain.admits(call)) {
			this.#drain.countEffect('refused', call.route.kind);
			if (call.isRelayed === true) {
				this.#decline(req, res, 'this instance stops');
				return;
			}

			this.#refuse(req, res, routerError('shuttingDown'), call.requestId);
			return;
		}

		const scope = new CallScope(clock, call.deadlineAt);
		if (this.#drain.window !== undefined) {
			scope.limitTo(this.#drain.window.endsAt);
		}

		this.#openScopes.add(scope);
		res.once('close', () => {
			if (!res.writableFinished) {
				scope.end('callerGone');
			}
		});
		try {
			const out = new CallerStream(call, res, scope);
			const routed = call.isRelayed === true ? await this.#findOwnReply(call, service, scope, out) : await this.#findReply(call, service, scope, out);
			if (call.isRelayed === true && isUnreached(routed, scope, out) && await this.parts.relayPort.isPathLost()) {
				this.#decline(req, res, 'this instance reaches no server');
				return;
			}

			const reply = toFinalReply(routed, res, scope);
			this.#writeReply(call, req, res, reply, scope);
			const outcome = this.#findOutcome(reply, res, scope);
			const cause = detailOf(reply) ?? scope.reason;
			const write = outcome === 'brokenOff' || outcome === 'cutShort' ? log.warn : log;
			write('A call ended.', {
				requestId: call.requestId, team: call.sender?.team?.name, route: call.route.name, service, outcome, cause, status: res.statusCode, ms: Math.round(clock.now() - call.arrivedAt), ended: scope.reason, stoppingMs: this.#drain.elapsedMs,
			});
			metrics.observeCall(call.route.kind, outcome, clock.now() - call.arrivedAt);
			this.#recordForDrain(call, outcome, cause);
		} finally {
			scope.close();
			this.#openScopes.delete(scope);
		}
	}

	#recordForDrain({route, arrivedAt, requestId}: Call, outcome: string, cause = 'unknown'): void {
		if (outcome === 'cutShort' || outcome === 'brokenOff') {
			this.#drain.recordUnfinished({
				requestId, kind: route.kind, effect: outcome, cause,
			});
		} else if (outcome !== 'callerGone' && !(isErrorKind(outcome) && errorResponses[outcome].run === 'no')) {
			this.#drain.recordDuration(route.name, this.parts.clock.now() - arrivedAt);
		}
	}

	#findOutcome(reply: Reply, res: ServerResponse, scope: CallScope): string {
		if (scope.reason === 'callerGone') {
			return 'callerGone';
		}

		if (reply.kind !== 'error' && res.writableEnded) {
			return 'answered';
		}

		if (scope.isCutShort) {
			return 'cutShort';
		}

		return reply.kind === 'error' ? reply.error.kind : 'brokenOff';
	}

	#writeReply(call: Call, req: IncomingMessage, res: ServerResponse, reply: Reply, scope: CallScope): void {
		if (reply.kind === 'streamed' || scope.reason === 'callerGone') {
			return;
		}

		if (reply.kind === 'error') {
			this.#refuse(req, res, reply.error, call.requestId);
			return;
		}

		if (res.headersSent) {
			log('A response to a stream that has begun is dropped.', {requestId: call.requestId, status: reply.head.status});
			breakOff(res);
			return;
		}

		const {head, body} = reply;
		const headers = forwardableHeaders(head.rawHeaders, new Set(['content-length']));
		const isBodiless = call.method === 'HEAD' || head.status === 204 || head.status === 304;
		res.writeHead(head.status, isBodiless ? headers : [...headers, 'content-length', String(body.length)]);
		// A caller that reads slowly holds the body until it has all of it
		const share = processBuffers.open();
		share.add(body.length);
		res.once('close', () => {
			share.release();
		});
		res.end(isBodiless ? undefined : body);
	}

	#requestId(req: IncomingMessage): string | undefined {
		const metadata = this.parts.dialect.parseMetadata(req.headers);
		return metadata.ok ? metadata.val.requestId : undefined;
	}

	#refuse(req: IncomingMessage, res: ServerResponse, error: RouterError, requestId = this.#requestId(req)): void {
		if (res.headersSent || res.destroyed) {
			breakOff(res);
			return;
		}

		const response: ErrorResponse = errorResponses[error.kind];
		const text = JSON.stringify(toErrorBody(error));
		res.shouldKeepAlive &&= req.complete;
		res.writeHead(response.status, {
			'content-type': 'application/json', 'content-length': Buffer.byteLength(text), ...this.parts.dialect.errorHeaders(requestId, error.retryAfterMs ?? response.retryAfterMs),
		});
		res.end(text);
		if (!req.complete) {
			req.resume();
		}

		log('A call is refused.', {
			requestId, kind: error.kind, status: response.status, retryAfterMs: error.retryAfterMs, detail: error.detail,
		});
		this.parts.metrics.countRefusal(error.kind);
	}
}
