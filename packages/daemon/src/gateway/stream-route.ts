/** Serves streams of model services: a place, a prefill, the memory's move, the events, and going on elsewhere. */
import {routerError, toId} from '@baobabpier/core';
import type {
	Clock, EngineAddress, EngineId, RandomSource, BackendId, RouterError, ServiceName,
} from '@baobabpier/core';
import {createLog} from '../log.js';
import type {CallScope} from './call-scope.js';
import {EngineRooms} from './engine-rooms.js';
import {EngineRuns} from './engine-runs.js';
import type {FleetView} from './fleet-view.js';
import type {Place, Places} from './places.js';
import {PromptReader} from './prompt-reader.js';
import {errorReply} from './reply.js';
import type {Reply} from './reply.js';
import type {RetryBudgets} from './retry-budgets.js';
import type {ServerTransport} from './server-transport.js';
import {rejectedComeBackMs} from './stream-progress.js';
import type {
	DecodeOutcome, EngineRoom, Progress, StreamOutput,
} from './stream-progress.js';
import type {
	Call, KvSource, SendPurpose, ServerDialect,
} from './types.js';

const log = createLog('stream');
/** Rounds of place, prefill and decode for one call at most. */
const maxRounds = 4;
/** How long a prefill's result may be offered to another engine, in milliseconds: engines keep it for half a second. */
const resultUsableMs = 350;
/** Shortest time to come back to a full pool, and its spread, in targets to the first event: a burst passes in some seconds. */
const comeBackTargets = 1.5;

/** What a stream route works with. */
export type StreamRouteParts = {
	readonly fleet: FleetView;
	readonly transport: ServerTransport;
	readonly dialect: ServerDialect;
	readonly tries: RetryBudgets;
	readonly places: Places;
	readonly clock: Clock;
	readonly random: RandomSource;
};

/** What one round came to: the final reply, or what is said when no other round follows. */
type RoundResult = {
	readonly isFinal: boolean;
	readonly reply: Reply;
};

/** Serves one stream after the other; each call of `serve` is independent. */
export class StreamRoute {
	readonly #rooms: EngineRooms;
	readonly #prompts: PromptReader;
	readonly #engines: EngineRuns;

	constructor(private readonly parts: StreamRouteParts) {
		this.#rooms = new EngineRooms(parts);
		this.#prompts = new PromptReader({...parts, rooms: this.#rooms});
		this.#engines = new EngineRuns(parts);
	}

	/** Serves a call; resolves once its answer is out or known. */
	async serve(call: Call, service: ServiceName, scope: CallScope, out: StreamOutput): Promise<Reply> {
		this.parts.tries.recordCall(service);
		const progress: Progress = {
			call, service, scope, out, excluded: new Set(), sent: 0, prefills: 0, lastEventId: undefined, failed: [], served: [], events: 0, isComplete: false, pace: undefined,
		};
		let reply: Reply = errorReply(routerError('noBackend', undefined, rejectedComeBackMs));
		for (let round = 1; round <= maxRounds && scope.reason === undefined; round++) {
			// eslint-disable-next-line no-await-in-loop
			const result = await this.#round(progress, round);
			if (result.isFinal) {
				return result.reply;
			}

			reply = result.reply;
		}

		return this.#giveUp(progress, reply);
	}

	#giveUp({scope, out, sent}: Progress, reply: Reply): Reply {
		if (out.isBegun) {
			out.breakOff();
			return {kind: 'streamed'};
		}

		if (scope.reason === 'deadline') {
			return errorReply(sent > 0 ? routerError('timeout') : routerError('queueTimeout'));
		}

		return reply;
	}

	async #round(progress: Progress, round: number): Promise<RoundResult> {
		const {call, scope, out} = progress;
		if (out.isBegun) {
			return this.#goOn(progress, round);
		}

		const asked = await this.parts.places.place({...progress, round});
		if (asked.kind === 'refused') {
			log('A stream got no place.', {
				requestId: call.requestId, round, kind: asked.error.kind, retryAfterMs: asked.error.retryAfterMs, leftMs: Math.round(scope.remainingMs()),
			});
			return this.#refused(progress, asked.error);
		}

		const {place} = asked;
		log('A stream got a place.', {
			requestId: call.requestId, round, prefill: place.prefill.id, decode: place.decode.id, tokens: call.promptTokens, maxTokens: call.maxTokens, waitedMs: Math.round(this.parts.clock.now() - call.arrivedAt),
		});
		return this.#whileHeld(progress, place, async () => this.#usePlace(progress, place));
	}

	/** What a refused place comes to. */
	async #refused(progress: Progress, error: RouterError): Promise<RoundResult> {
		const {call} = progress;
		switch (error.kind) {
			case 'noBackend': {
				return this.#withoutPrefill(progress, error);
			}

			case 'promptTooLong': {
				// The call is proper: engines without enough memory refuse it as full engines do, and it need not come back soon
				return {isFinal: true, reply: errorReply(routerError('noBackend', error.detail, call.route.timeoutMs))};
			}

			default: {
				return {isFinal: true, reply: errorReply({...error, retryAfterMs: this.#comeBackMs(call, error)})};
			}
		}
	}

	/** Gives the place back after its use, with what was met there. */
	async #whileHeld(progress: Progress, place: Place, use: () => Promise<RoundResult>): Promise<RoundResult> {
		try {
			return await use();
		} finally {
			const unreachable = [place.decode, place.prefill].map(({id}) => id).filter(id => this.parts.fleet.isUnreachable(toId<BackendId>(id)));
			place.release({
				unreachable, pace: progress.pace, events: progress.isComplete ? progress.events : undefined, failed: progress.failed.splice(0), served: progress.served.splice(0),
			});
		}
	}

	async #usePlace(progress: Progress, place: Place): Promise<RoundResult> {
		const {scope} = progress;
		if (scope.reason !== undefined) {
			return {isFinal: true, reply: this.#giveUp(progress, {kind: 'streamed'})};
		}

		const meant = this.#rooms.listed(place.decode);
		const lease = place.isOwned || meant === undefined ? undefined : await this.#rooms.takeLease(progress, meant);
		if (meant === undefined || (!place.isOwned && lease === undefined)) {
			progress.excluded.add(place.decode.id);
			return {isFinal: false, reply: errorReply(routerError('overloaded', 'the engine has no room', rejectedComeBackMs))};
		}

		if (place.prefill.id === place.decode.id) {
			return this.#useDirectly(progress, place, {server: meant, lease});
		}

		const source = await this.#prompts.read(progress, place);
		if ('error' in source) {
			progress.excluded.add(place.prefill.id);
			return {isFinal: false, reply: errorReply(source.error)};
		}

		return this.#decode(progress, place, source, lease);
	}

	/** Lets an engine decode from a prefill's result; another where the one that was meant can't be had. */
	async #decode(progress: Progress, place: Place, source: KvSource, lease: string | undefined): Promise<RoundResult> {
		const readAt = this.parts.clock.now();
		const meant = this.#rooms.listed(place.decode);
		let engine = place.decode.id;
		let outcome: DecodeOutcome = {kind: 'unsent', detail: 'the engine is no longer listed'};
		let room: EngineRoom | undefined = meant === undefined ? undefined : {server: meant, lease};
		for (;;) {
			if (room !== undefined) {
				engine = toId<EngineId>(room.server.id);
				// One engine after the other
				// eslint-disable-next-line no-await-in-loop
				outcome = await this.#engines.run(progress, room.server, {kind: 'decode', source, lease: room.lease}, () => {
					place.transferDone();
				});
			}

			progress.excluded.add(engine);
			const isUsable = this.parts.clock.now() - readAt <= resultUsableMs && this.#maySendOn(progress, outcome);
			// eslint-disable-next-line no-await-in-loop
			room = isUsable ? await this.#rooms.find(progress) : undefined;
			if (room === undefined) {
				break;
			}

			place.moveTo(addressOf(room));
		}

		if (outcome.kind === 'unsent' || outcome.kind === 'notRun') {
			void this.#prompts.free(source);
		}

		return this.#conclude(progress, engine, outcome);
	}

	/** When a refused caller should return: after the queue, and not together with the others. */
	#comeBackMs({route}: Call, {retryAfterMs = 0}: RouterError): number {
		return retryAfterMs + (route.targetLatencyMs * (comeBackTargets + (this.parts.random.next() * comeBackTargets)));
	}

	/** Whether a prefill's result may be offered to another engine. */
	#maySendOn({call, service, scope, sent}: Progress, outcome: DecodeOutcome): boolean {
		if (scope.reason !== undefined) {
			return false;
		}

		return outcome.kind === 'unsent' || (outcome.kind === 'notRun' && sent < call.route.maxAttempts && this.parts.tries.tryAcquire(service));
	}

	/** Lets the decode engine read the prompt itself. */
	async #useDirectly(progress: Progress, place: Place, {server, lease}: EngineRoom): Promise<RoundResult> {
		const outcome = await this.#engines.run(progress, server, directPurpose(progress, lease), () => {
			place.prefillDone();
		});
		return this.#conclude(progress, place.decode.id, outcome);
	}

	/** Sends the call to an engine that reads the prompt itself, where no prefill engine can be had. */
	async #withoutPrefill(progress: Progress, error: RouterError): Promise<RoundResult> {
		const room = await this.#rooms.find(progress);
		if (room === undefined) {
			return {isFinal: true, reply: errorReply({...error, retryAfterMs: error.retryAfterMs ?? rejectedComeBackMs})};
		}

		return this.#runInRoom(progress, room, {kind: 'run', lease: room.lease});
	}

	/**
	 * Goes on with a broken stream at another engine, after the last event that the caller has. The engine reads prompt and
	 * events again, which delays its other streams: the pool says where and when.
	 */
	async #goOn(progress: Progress, round: number): Promise<RoundResult> {
		const asked = await this.parts.places.placeResumed({...progress, round}, progress.events);
		const server = asked.kind === 'placed' ? this.#rooms.listed(asked.place.decode) : undefined;
		log('A broken stream looks for another engine.', {
			requestId: progress.call.requestId, round, outcome: asked.kind, reason: asked.kind === 'refused' ? asked.error.kind : undefined, engine: server?.id, events: progress.events,
		});
		if (asked.kind === 'refused' || server === undefined) {
			return this.#goOnAnywhere(progress);
		}

		const {place} = asked;
		return this.#whileHeld(progress, place, async () => {
			const lease = place.isOwned ? undefined : await this.#rooms.takeLease(progress, server);
			return place.isOwned || lease !== undefined ? this.#useDirectly(progress, place, {server, lease}) : this.#goOnAnywhere(progress);
		});
	}

	/** Goes on at the least loaded engine that leases room. */
	async #goOnAnywhere(progress: Progress): Promise<RoundResult> {
		const room = await this.#rooms.find(progress);
		if (room === undefined) {
			return {isFinal: true, reply: this.#giveUp(progress, {kind: 'streamed'})};
		}

		return this.#runInRoom(progress, room, directPurpose(progress, room.lease));
	}

	/** Runs a call in room that the engine leased, of which the pool's owner is told. */
	async #runInRoom(progress: Progress, room: EngineRoom, purpose: SendPurpose): Promise<RoundResult> {
		const engine = addressOf(room);
		const place = this.parts.places.take(progress.call, progress.service, engine);
		return this.#whileHeld(progress, place, async () => {
			const outcome = await this.#engines.run(progress, room.server, purpose, () => undefined);
			return this.#conclude(progress, engine.id, outcome);
		});
	}

	/** What follows from the outcome at one engine. */
	#conclude(progress: Progress, engine: EngineId, outcome: DecodeOutcome): RoundResult {
		const {call, service, scope} = progress;
		progress.excluded.add(engine);
		if (outcome.kind === 'complete') {
			progress.isComplete = true;
			return {isFinal: true, reply: {kind: 'streamed'}};
		}

		if (outcome.kind === 'relay') {
			return {isFinal: true, reply: outcome};
		}

		if (outcome.kind === 'unsent') {
			return {isFinal: false, reply: errorReply(routerError('noBackend', outcome.detail, rejectedComeBackMs))};
		}

		const mayRun = outcome.kind === 'broken';
		const mayRepeat = scope.reason === undefined && progress.sent < call.route.maxAttempts && (!mayRun || call.route.resumable) && this.parts.tries.tryAcquire(service);
		const reply = errorReply(mayRun ? routerError(scope.reason === 'deadline' ? 'timeout' : 'answerLost', outcome.detail) : routerError('overloaded', 'the engine had no room', rejectedComeBackMs));
		return mayRepeat ? {isFinal: false, reply} : {isFinal: true, reply: this.#giveUp(progress, reply)};
	}
}

/** A run whose engine reads the prompt itself, after the events that the caller has. */
const directPurpose = ({out, call, lastEventId = call.lastEventId}: Progress, lease: string | undefined): SendPurpose =>
	!out.isBegun || lastEventId === undefined ? {kind: 'run', lease} : {kind: 'resume', lastEventId, lease};

const addressOf = ({server}: EngineRoom): EngineAddress => ({id: toId<EngineId>(server.id), address: server.address});
