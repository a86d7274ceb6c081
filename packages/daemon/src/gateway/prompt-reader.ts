/** Reads prompts on prefill engines. */
import {Buffer} from 'node:buffer';
import {routerError} from '@baobabpier/core';
import type {Clock, RouterError} from '@baobabpier/core';
import {createLog} from '../log.js';
import type {CallScope} from './call-scope.js';
import type {EngineRooms} from './engine-rooms.js';
import type {CallResult, FleetView} from './fleet-view.js';
import type {Place} from './places.js';
import type {SecondTries} from './second-tries.js';
import type {SendFault, ServerTransport} from './server-transport.js';
import {noteResult, rejectedComeBackMs} from './stream-progress.js';
import type {Progress} from './stream-progress.js';
import type {KvSource, ServerDialect} from './types.js';

const log = createLog('prefill');
/** Longest time for a prefill that has its engine's turn, in milliseconds: several of the longest prompts. */
const prefillMs = 1500;
/** Longest time to free a prefill's result, in milliseconds. */
const freeMs = 1000;

/** What a prompt reader works with. */
export type PromptReaderParts = {
	readonly fleet: FleetView;
	readonly transport: ServerTransport;
	readonly dialect: ServerDialect;
	readonly tries: SecondTries;
	readonly rooms: EngineRooms;
	readonly clock: Clock;
};

/** Has prompts read, and frees results that nobody will use. */
export class PromptReader {
	constructor(private readonly parts: PromptReaderParts) {}

	/** Reads the prompt on the prefill engine. */
	async read(progress: Progress, place: Place): Promise<KvSource | {readonly error: RouterError}> {
		const {call, service, scope} = progress;
		const server = this.parts.rooms.listed(place.prefill);
		if (server === undefined) {
			return {error: routerError('noBackend', 'the prefill engine is no longer listed', rejectedComeBackMs)};
		}

		if (progress.prefills > 0 && !this.parts.tries.tryTake(service)) {
			return {error: routerError('overloaded', 'no second try is left', rejectedComeBackMs)};
		}

		const {transport, dialect, fleet} = this.parts;
		const limit = scope.limit(Math.min(prefillMs, scope.remainingMs()));
		const end = fleet.begin(server.id);
		const startedAt = this.parts.clock.now();
		const answer = await transport.open({
			address: server.address, method: call.method, target: call.target, headers: dialect.sendHeaders(call, server, {kind: 'prefill'}, scope.remainingMs()), body: call.body, signal: limit.signal,
		});
		progress.prefills += answer.kind === 'unsent' ? 0 : 1;
		const body = answer.kind === 'head' ? await transport.readBody(answer) : answer;
		limit.release();
		place.prefillDone();
		const handle = answer.kind === 'head' && answer.status === 200 && Buffer.isBuffer(body) ? dialect.readPrefill(body) : undefined;
		const isMisplaced = answer.kind === 'head' && dialect.readHead(answer.status, answer.rawHeaders).isMisdirected;
		const result = prefillResultOf(answer.kind, handle !== undefined, isMisplaced, scope);
		end(result);
		noteResult(progress, server, result);
		log('A prompt was read.', {
			requestId: call.requestId, engine: server.id, tokens: call.promptTokens, ms: Math.round(this.parts.clock.now() - startedAt), isRead: handle !== undefined,
			status: answer.kind === 'head' ? answer.status : undefined, detail: 'detail' in answer ? answer.detail : undefined,
		});
		return handle === undefined ? {error: routerError('overloaded', 'the prompt could not be read', rejectedComeBackMs)} : {address: server.address, handle};
	}

	/** Frees a prefill's result that nobody will use. */
	async free({address, handle}: KvSource): Promise<void> {
		const {transport, dialect} = this.parts;
		const answer = await transport.open({
			address, method: 'DELETE', target: dialect.freePath(handle), headers: [], body: undefined, signal: AbortSignal.timeout(freeMs),
		});
		if (answer.kind === 'head') {
			answer.body.resume();
			return;
		}

		log('A prefill\'s result could not be freed; it expires.', {address, detail: answer.detail});
	}
}

/** What a prefill's outcome says of its engine. */
const prefillResultOf = (kind: 'head' | SendFault['kind'], isRead: boolean, isMisplaced: boolean, scope: CallScope): CallResult => {
	if (isRead) {
		return 'good';
	}

	if (kind === 'unsent' || isMisplaced) {
		return isMisplaced ? 'misplaced' : 'unreachable';
	}

	return scope.reason === undefined ? 'failed' : 'none';
};
