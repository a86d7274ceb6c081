/** Runs prefills on prefill engines. */
import {Buffer} from 'node:buffer';
import {routerError, softwareVersionOf} from '@baobabpier/core';
import type {BackendId, Clock, RouterError} from '@baobabpier/core';
import {createLog} from '../log.js';
import type {PathWatch} from '../relay/path-watch.js';
import type {ServerTransport} from '../transport/server-transport.js';
import type {OpenResponse, TransportFailure} from '../transport/types.js';
import type {CallScope} from './call-scope.js';
import type {EngineLeases} from './engine-leases.js';
import {resultOfUnsent} from './fleet-view.js';
import type {CallResult, FleetView} from './fleet-view.js';
import {isUrgent} from './plain-route.js';
import type {StreamPlacement} from './stream-placements.js';
import type {RetryBudgets} from './retry-budgets.js';
import {recordResult, rejectedRetryAfterMs} from './stream-progress.js';
import type {StreamProgress} from './stream-progress.js';
import type {KvSource, ServerDialect} from './types.js';

const log = createLog('prefill');
/** Timeout of a prefill whose engine is free for it, in milliseconds: several times the prefill of the longest prompts. */
const prefillTimeoutMs = 1500;
/** Timeout of the call that frees a prefill's result, in milliseconds. */
const freeTimeoutMs = 1000;

/** Dependencies of a prefill client. */
export type PrefillClientParts = {
	readonly fleet: FleetView;
	readonly transport: ServerTransport;
	readonly dialect: ServerDialect;
	readonly retryBudgets: RetryBudgets;
	readonly leases: EngineLeases;
	readonly path: Pick<PathWatch, 'recordFailure'>;
	readonly clock: Clock;
};

/** A prefill's result at the engine that computed it. */
export type PrefillResult = KvSource & {
	readonly server: BackendId;
};

/** Requests prefills and frees unused results. */
export class PrefillClient {
	constructor(private readonly parts: PrefillClientParts) {}

	/** Runs the prefill of a call's prompt on the placed engine. */
	async prefill(progress: StreamProgress, placement: StreamPlacement): Promise<PrefillResult | {readonly error: RouterError}> {
		const {call, service, scope} = progress;
		const server = this.parts.leases.findListed(progress, placement.prefill);
		if (server === undefined) {
			return {error: routerError('noBackend', 'the prefill engine is no longer listed, or runs another version', rejectedRetryAfterMs)};
		}

		if (progress.prefills > 0 && !this.parts.retryBudgets.tryAcquire(service)) {
			return {error: routerError('overloaded', 'the retry budget is exhausted', rejectedRetryAfterMs)};
		}

		const {transport, dialect, fleet} = this.parts;
		const limit = scope.createTimeout(Math.min(prefillTimeoutMs, scope.remainingMs()));
		const endCall = fleet.begin(server.id);
		const startedAt = this.parts.clock.now();
		const response = await transport.sendRequest({
			kind: 'prefill', binding: {kind: 'echoed', requestId: call.requestId}, server: server.id, address: server.address, method: call.method, target: call.target, headers: dialect.sendHeaders(call, server, {kind: 'prefill'}, scope.remainingMs()), body: call.body, signal: limit.signal, isRepeat: progress.sentTo.has(server.address), isUrgent: isUrgent(call),
		});
		progress.sentTo.add(server.address);
		progress.prefills += response.kind === 'unsent' ? 0 : 1;
		const body = response.kind === 'head' ? await transport.readBody(response) : response;
		limit.release();
		placement.prefillDone();
		if ('kind' in body && body.kind === 'broken' && scope.reason === undefined) {
			this.parts.path.recordFailure(server.id);
		}

		const handle = response.kind === 'head' && response.status === 200 && Buffer.isBuffer(body) ? dialect.readPrefill(body) : undefined;
		const isMisdirected = response.kind === 'head' && dialect.readHead(response.status, response.rawHeaders).isMisdirected;
		const result = prefillResultOf(response, handle !== undefined, isMisdirected, scope);
		endCall(result);
		recordResult(progress, server, result);
		log('A prompt was read.', {
			requestId: call.requestId, engine: server.id, softwareVersion: server.softwareVersion, tokens: call.promptTokens, ms: Math.round(this.parts.clock.now() - startedAt), isRead: handle !== undefined,
			status: response.kind === 'head' ? response.status : undefined, detail: 'detail' in response ? response.detail : undefined,
		});
		return handle === undefined
			? {error: routerError('overloaded', 'the prefill failed', rejectedRetryAfterMs)}
			: {
				server: server.id, address: server.address, handle, softwareVersion: softwareVersionOf(server),
			};
	}

	/** Frees an unused prefill result. */
	async free({server, address, handle}: PrefillResult): Promise<void> {
		const {transport, dialect} = this.parts;
		const response = await transport.sendRequest({
			kind: 'free', binding: {kind: 'ownConnection'}, server, address, method: 'DELETE', target: dialect.freePath(handle), headers: [], body: undefined, signal: AbortSignal.timeout(freeTimeoutMs),
		});
		if (response.kind === 'head') {
			response.body.resume();
			return;
		}

		log('A prefill result could not be freed; it will expire on the engine.', {address, detail: response.detail});
	}
}

/** Returns the call result that a prefill's outcome means for its engine. */
const prefillResultOf = (response: OpenResponse | TransportFailure, isPrefilled: boolean, isMisdirected: boolean, scope: CallScope): CallResult => {
	if (isPrefilled) {
		return 'good';
	}

	if (isMisdirected) {
		return 'misplaced';
	}

	if (response.kind === 'unsent' && (scope.reason === undefined || response.isUnreachable === true)) {
		return resultOfUnsent(response);
	}

	return scope.reason === undefined ? 'failed' : 'none';
};
