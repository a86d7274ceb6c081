/** Serves streams of model services: placement, prefill, KV cache transfer, event relay, and resumption at another engine. */
import {
	routerError, spreadRetryDelay, toId, toUncertainError,
} from '@baobabpier/core';
import type {
	Clock, EngineAddress, EngineId, ErrorKind, Instant, ListedServer, RandomSource, BackendId, RouterError, ServiceName,
} from '@baobabpier/core';
import {createLog} from '../log.js';
import type {RelayClient} from '../relay/relay-client.js';
import type {PathWatch} from '../relay/path-watch.js';
import type {OriginDirectory} from '../streams/origin-directory.js';
import type {ServerTransport} from '../transport/server-transport.js';
import type {CallScope} from './call-scope.js';
import type {CrashGuard} from './crash-guard.js';
import {EngineLeases} from './engine-leases.js';
import {EngineSeekers} from './engine-seekers.js';
import {StreamRun} from './stream-run.js';
import type {RunStage} from './stream-run.js';
import type {FleetView} from './fleet-view.js';
import type {PlacementUsage, StreamPlacement, StreamPlacements} from './stream-placements.js';
import {PartnerResume} from './partner-resume.js';
import {StreamBinder} from './stream-binder.js';
import {PrefillClient} from './prefill-client.js';
import type {PrefillResult} from './prefill-client.js';
import {detailOf, errorReply, serverReply} from './reply.js';
import type {Reply} from './reply.js';
import type {RetryBudgets} from './retry-budgets.js';
import {rejectedRetryAfterMs} from './stream-progress.js';
import type {
	ReservedEngine, SilentRun, StreamProgress, StreamOutput,
} from './stream-progress.js';
import type {
	Call, SendPurpose, ServerDialect,
} from './types.js';

const log = createLog('stream');
/** Maximum number of rounds of one call in which it was sent to an engine; rounds without a send end with the wait for a placement. */
const maxSentRounds = 4;
/** Time for which a prefill's result may be offered to another engine, in milliseconds: engines keep it for half a second. */
const prefillResultTtlMs = 350;
/** Minimum retry delay after a full pool and the width of its jitter, in multiples of the first event's target latency: a burst passes in a few seconds. */
const retryDelayTargets = 1.5;

/** Interval at which another engine is sought for a stream whose engine stays silent, in milliseconds. */
const seekIntervalMs = 400;

/** Errors of calls that found no engine with capacity. */
const capacityErrors: ReadonlySet<ErrorKind> = new Set(['noBackend', 'overloaded', 'queueTimeout']);

/** Dependencies of a stream route. */
export type StreamRouteParts = {
	readonly fleet: FleetView;
	readonly transport: ServerTransport;
	readonly dialect: ServerDialect;
	readonly retryBudgets: RetryBudgets;
	readonly places: StreamPlacements;
	readonly guard: CrashGuard;
	readonly origins: Pick<OriginDirectory, 'lookup' | 'record'>;
	readonly path: Pick<PathWatch, 'explainsFailures' | 'recordFailure' | 'settled' | 'state'>;
	readonly relay: Pick<RelayClient, 'isNeeded' | 'send'>;
	readonly clock: Clock;
	readonly random: RandomSource;
};

/** Result of one round: the final reply, or the reply to send if no other round follows. */
type RoundResult = {
	readonly isFinal: boolean;
	readonly reply: Reply;
	/** A run of the round whose engine is silent, which keeps its placement. */
	readonly silent?: Omit<SilentRun, 'release'>;
};

/** Serves streams; calls of `serve` are independent of each other. */
export class StreamRoute {
	readonly #leases: EngineLeases;
	readonly #prefillClient: PrefillClient;
	readonly #seekers = new EngineSeekers();
	readonly #binder: StreamBinder;
	readonly #partnerResume: PartnerResume;

	constructor(private readonly parts: StreamRouteParts) {
		this.#leases = new EngineLeases({...parts, expectedTokens: (service, call) => parts.places.expectedTokens(service, call)});
		this.#prefillClient = new PrefillClient({...parts, leases: this.#leases});
		this.#binder = new StreamBinder(parts);
		this.#partnerResume = new PartnerResume(parts);
	}

	/** Serves a call; resolves once its response is sent or determined. */
	async serve(call: Call, drawn: ServiceName, scope: CallScope, out: StreamOutput): Promise<Reply> {
		const bound = await this.#binder.bind(call, drawn);
		this.parts.retryBudgets.recordCall(bound?.service ?? drawn);
		if (bound === undefined) {
			return errorReply(routerError('noBackend', 'the software version that began the stream is not known', call.route.timeoutMs));
		}

		const progress: StreamProgress = {
			...bound, call, scope, out, runs: new Set(), silent: undefined, mayHaveRun: false, isRetryDue: false, excluded: new Set(), sent: 0, prefills: 0, lastEventId: undefined, failed: [], served: [], rejectedBy: [], events: 0, lastEventAt: undefined, isComplete: false, pace: undefined, avoided: [], sentTo: new Set(),
		};
		const unregister = this.parts.guard.register(call, scope);
		try {
			const reply = toCertainReply(await this.#runRounds(progress), progress);
			if (out.isStarted && !progress.isComplete) {
				out.abort();
			}

			return this.#withRetryDelay(reply, progress);
		} finally {
			progress.silent?.release();
			unregister();
		}
	}

	/** Tells a refused caller when an engine takes work again, if all of them leave, ask for time or have used up their limit. */
	#withRetryDelay(reply: Reply, {call, service}: StreamProgress): Reply {
		const {fleet, random} = this.parts;
		const unavailableForMs = reply.kind === 'error' && capacityErrors.has(reply.error.kind) ? fleet.unavailableForMs(service, 'decode') : 0;
		if (reply.kind !== 'error' || unavailableForMs === 0) {
			return reply;
		}

		fleet.logUnavailable(call.requestId, service, 'decode');
		return errorReply({...reply.error, retryAfterMs: spreadRetryDelay(unavailableForMs, random.next())});
	}

	async #runRounds(progress: StreamProgress): Promise<Reply> {
		const {scope} = progress;
		let reply: Reply = errorReply(routerError('noBackend', undefined, rejectedRetryAfterMs));
		for (let round = 1, sentRounds = 0; scope.reason === undefined; round++) {
			const maySend = sentRounds < maxSentRounds;
			if (!maySend && progress.silent === undefined) {
				break;
			}

			const sends = progress.sent + progress.prefills;
			// eslint-disable-next-line no-await-in-loop
			const result = progress.silent === undefined ? await this.#runRound(progress, round) : await this.#contend(progress, progress.silent, maySend ? round : undefined);
			if (result.isFinal) {
				return result.reply;
			}

			reply = result.reply;
			sentRounds += progress.sent + progress.prefills > sends ? 1 : 0;
		}

		return this.#fail(progress, reply);
	}

	/**
	 * Looks for another engine beside a silent run, unless `round` is undefined. The silent run goes on meanwhile: an engine may
	 * be silent for a moment, and what the caller has is given up only for a run that delivers.
	 */
	async #contend(progress: StreamProgress, silent: SilentRun, round: number | undefined): Promise<RoundResult> {
		const {run} = silent;
		const {scope} = progress;
		if (run.isSilent && round !== undefined && progress.sent < progress.call.route.maxAttempts) {
			const part = scope.createPart();
			run.onActive = () => {
				part.end('superseded');
			};

			progress.scope = part;
			const result = await this.#seekOther(progress, silent, round);
			progress.scope = scope;
			run.onActive = undefined;
			if (progress.silent !== silent) {
				return result;
			}

			part.close();
		}

		await run.waitWhileSilent(seekIntervalMs);
		if (run.isSilent) {
			return {isFinal: false, reply: errorReply(routerError('answerLost', 'the engine is silent'))};
		}

		progress.silent = undefined;
		const stage = await this.#follow(progress, run);
		const result = this.#handleOutcome(progress, silent.engine, stage, run);
		if (result.silent === undefined) {
			silent.release();
		} else {
			progress.silent = silent;
		}

		return result;
	}

	/** Runs a round beside a silent run. */
	async #seekOther(progress: StreamProgress, {engine, run}: SilentRun, round: number): Promise<RoundResult> {
		const {delayMs, end} = this.#seekers.begin(engine);
		progress.isRetryDue = true;
		try {
			await this.parts.path.settled();
			// A lost path silences every engine, so that no other one is overrun
			await run.waitWhileSilent(this.parts.relay.isNeeded ? 0 : delayMs);
			return progress.scope.reason === undefined ? await this.#runRound(progress, round) : {isFinal: false, reply: {kind: 'streamed'}};
		} finally {
			progress.isRetryDue = false;
			end();
		}
	}

	/** Starts a run and waits until it is over or silent. */
	async #run(progress: StreamProgress, server: ListedServer, purpose: SendPurpose, onFirstEvent: () => void): Promise<{readonly stage: RunStage; readonly run: StreamRun}> {
		const run = new StreamRun(this.parts, progress, {server, purpose, onFirstEvent});
		return {run, stage: await this.#follow(progress, run)};
	}

	/** Waits until a run is over or silent; beside another silent run, until one of the two is over or delivers. */
	async #follow(progress: StreamProgress, run: StreamRun): Promise<RunStage> {
		let stage = await run.nextStage();
		while (stage.kind === 'silent' && progress.silent !== undefined && progress.silent.run !== run && progress.silent.run.isSilent) {
			// eslint-disable-next-line no-await-in-loop
			await run.waitWhileSilent(seekIntervalMs);
			// eslint-disable-next-line no-await-in-loop
			stage = await run.nextStage();
		}

		progress.mayHaveRun ||= stage.kind !== 'notRun' && stage.kind !== 'unsent';
		return stage;
	}

	#fail({scope, out, sent}: StreamProgress, reply: Reply): Reply {
		if (out.isStarted) {
			return {kind: 'streamed', detail: detailOf(reply) ?? scope.reason};
		}

		if (scope.reason === 'deadline') {
			return errorReply(sent > 0 ? routerError('timeout') : routerError('queueTimeout'));
		}

		if (scope.reason === 'quarantined') {
			return errorReply(quarantineError(sent));
		}

		return reply;
	}

	async #runRound(progress: StreamProgress, round: number): Promise<RoundResult> {
		const {call, scope, out} = progress;
		if (round > 1) {
			// What failed before may have failed for a lost path
			await this.parts.path.settled();
			const relayed = await this.#partnerResume.resume(progress);
			if (relayed !== undefined) {
				return {isFinal: true, reply: relayed};
			}
		}

		const decision = await this.parts.guard.admit(call, scope, this.parts.places.maxWaitMs(call, scope));
		if (decision.kind === 'quarantined' || decision.kind === 'busy') {
			return {isFinal: true, reply: this.#fail(progress, errorReply(decision.kind === 'busy' ? routerError('overloaded', 'requests with a suspected prompt run one at a time', this.#retryAfterMs(call, routerError('overloaded'))) : quarantineError(progress.sent)))};
		}

		progress.avoided = decision.kind === 'trial' ? decision.avoid : [];
		if (out.isStarted) {
			return this.#resume(progress, round);
		}

		const placementOutcome = await this.parts.places.place({...progress, round, softwareVersion: progress.binding.version});
		if (placementOutcome.kind === 'refused') {
			log('A stream got no place.', {
				requestId: call.requestId, round, kind: placementOutcome.error.kind, retryAfterMs: placementOutcome.error.retryAfterMs, leftMs: Math.round(scope.remainingMs()),
			});
			return this.#handleRefusal(progress, placementOutcome.error);
		}

		const {placement} = placementOutcome;
		log('A stream got a place.', {
			requestId: call.requestId, round, prefill: placement.prefill.id, decode: placement.decode.id, tokens: call.promptTokens, maxTokens: call.maxTokens, waitedMs: Math.round(this.parts.clock.now() - call.arrivedAt),
		});
		return this.#withPlacement(progress, placement, async () => this.#runPlacement(progress, placement));
	}

	/** Maps a refused placement to the result of the round. */
	async #handleRefusal(progress: StreamProgress, error: RouterError): Promise<RoundResult> {
		const {call} = progress;
		switch (error.kind) {
			case 'noBackend': {
				return this.#runWithoutPrefill(progress, error);
			}

			case 'promptTooLong': {
				// The call is valid: engines without enough memory refuse it as full engines do, and an early retry would fail as well
				return {isFinal: true, reply: errorReply(routerError('noBackend', error.detail, call.route.timeoutMs))};
			}

			default: {
				return {isFinal: true, reply: errorReply({...error, retryAfterMs: this.#retryAfterMs(call, error)})};
			}
		}
	}

	/** Releases the placement after its use and reports the failures, successes and pace seen on its engines. A silent run keeps it. */
	async #withPlacement(progress: StreamProgress, placement: StreamPlacement, use: () => Promise<RoundResult>): Promise<RoundResult> {
		const placedAt = this.parts.clock.now();
		let isReleased = false;
		const release = (): void => {
			if (isReleased) {
				return;
			}

			isReleased = true;
			const unreachable = [placement.decode, placement.prefill].map(({id}) => id).filter(id => this.parts.fleet.isUnreachable(toId<BackendId>(id)));
			void this.#release(progress.call, placement, placedAt, {
				unreachable, pace: progress.pace, events: progress.isComplete ? progress.events : undefined, failed: progress.failed.splice(0), served: progress.served.splice(0), rejectedBy: progress.rejectedBy.splice(0),
			});
		};

		let result: RoundResult | undefined;
		try {
			result = progress.isRetryDue && !this.parts.retryBudgets.tryAcquire(progress.service)
				? {isFinal: true, reply: this.#fail(progress, errorReply(routerError('overloaded', 'the retry budget is exhausted', rejectedRetryAfterMs)))}
				: await use();
			return result;
		} finally {
			if (result?.silent === undefined) {
				release();
			} else {
				// An earlier silent run has ended, or this one would have been waited for
				void progress.silent?.run.outcome.then(progress.silent.release);
				progress.silent = {...result.silent, release};
			}
		}
	}

	/** Releases a placement; what failed says nothing of its engines if the path to all servers was lost since it was granted. */

	async #release({requestId}: Call, placement: StreamPlacement, placedAt: Instant, usage: PlacementUsage): Promise<void> {
		const {failed = [], unreachable = []} = usage;
		if (failed.length === 0 && unreachable.length === 0) {
			placement.release(usage);
			return;
		}

		const pathBefore = this.parts.path.state;
		const isPathCause = await this.parts.path.explainsFailures(placedAt);
		log('Engines failed a placement.', {
			requestId, failed: failed.join(' '), unreachable: unreachable.join(' '), pathBefore, path: this.parts.path.state, isReported: !isPathCause,
		});
		placement.release(isPathCause ? {...usage, failed: [], unreachable: []} : usage);
	}

	async #runPlacement(progress: StreamProgress, placement: StreamPlacement): Promise<RoundResult> {
		const {scope} = progress;
		if (scope.reason !== undefined) {
			return {isFinal: true, reply: this.#fail(progress, {kind: 'streamed'})};
		}

		const placedServer = this.#leases.findListed(progress, placement.decode);
		const lease = placement.isFromOwner || placedServer === undefined ? undefined : await this.#leases.acquire(progress, placedServer);
		if (placedServer === undefined) {
			declinePlacement(progress, placement);
		}

		if (placedServer === undefined || (!placement.isFromOwner && lease === undefined)) {
			return {isFinal: false, reply: errorReply(routerError('overloaded', 'the engine has no free capacity', rejectedRetryAfterMs))};
		}

		placement.leased();
		if (placement.prefill.id === placement.decode.id) {
			return this.#runDirectly(progress, placement, {server: placedServer, lease});
		}

		const source = await this.#prefillClient.prefill(progress, placement);
		if ('error' in source) {
			void this.#leases.drop({server: placedServer, lease});
			progress.excluded.add(placement.prefill.id);
			return {isFinal: false, reply: errorReply(source.error)};
		}

		return this.#decode(progress, placement, source, lease);
	}

	/** Decodes from a prefill's result at the placed engine, or at another one if that engine is unavailable. */
	async #decode(progress: StreamProgress, placement: StreamPlacement, source: PrefillResult, lease: string | undefined): Promise<RoundResult> {
		const prefilledAt = this.parts.clock.now();
		const placedServer = this.#leases.findListed(progress, placement.decode);
		let engine = placement.decode.id;
		let outcome: RunStage = {kind: 'unsent', detail: 'the engine is no longer listed'};
		let run: StreamRun | undefined;
		let reserved: ReservedEngine | undefined = placedServer === undefined ? undefined : {server: placedServer, lease};
		for (;;) {
			if (reserved !== undefined) {
				engine = toId<EngineId>(reserved.server.id);
				// Engines are tried in sequence
				// eslint-disable-next-line no-await-in-loop
				({stage: outcome, run} = await this.#run(progress, reserved.server, {kind: 'decode', source, lease: reserved.lease}, () => {
					placement.transferDone();
				}));
			}

			if (outcome.kind !== 'notRun' || outcome.isMisdirected) {
				progress.excluded.add(engine);
			}

			const isUsable = this.parts.clock.now() - prefilledAt <= prefillResultTtlMs && this.#mayTryAnotherEngine(progress, outcome);
			// eslint-disable-next-line no-await-in-loop
			reserved = isUsable ? await this.#leases.acquireLeastLoaded(progress, source) : undefined;
			if (reserved === undefined) {
				break;
			}

			placement.moveTo(addressOf(reserved));
		}

		if (outcome.kind === 'unsent' || outcome.kind === 'notRun') {
			void this.#prefillClient.free(source);
		}

		return this.#handleOutcome(progress, engine, outcome, run);
	}

	/** Retry delay for a refused caller, in milliseconds: the queue's wait plus a jitter that spreads the retries of many callers. */
	#retryAfterMs({route}: Call, {retryAfterMs = 0}: RouterError): number {
		return retryAfterMs + (route.targetLatencyMs * (retryDelayTargets + (this.parts.random.next() * retryDelayTargets)));
	}

	/** Returns whether a prefill's result may be offered to another engine. */
	#mayTryAnotherEngine({call, service, scope, sent}: StreamProgress, outcome: RunStage): boolean {
		if (scope.reason !== undefined) {
			return false;
		}

		return outcome.kind === 'unsent' || (outcome.kind === 'notRun' && sent < call.route.maxAttempts && this.parts.retryBudgets.tryAcquire(service));
	}

	/** Runs prefill and decode on the same engine. */
	async #runDirectly(progress: StreamProgress, placement: StreamPlacement, {server, lease}: ReservedEngine): Promise<RoundResult> {
		const {stage, run} = await this.#run(progress, server, directPurpose(progress, lease), () => {
			placement.prefillDone();
		});
		return this.#handleOutcome(progress, placement.decode.id, stage, run);
	}

	/** Runs prefill and decode on one decode engine when no prefill engine is available. */
	async #runWithoutPrefill(progress: StreamProgress, error: RouterError): Promise<RoundResult> {
		const reserved = await this.#leases.acquireLeastLoaded(progress);
		if (reserved === undefined) {
			return {isFinal: true, reply: errorReply({...error, retryAfterMs: this.#retryAfterMs(progress.call, error)})};
		}

		return this.#runWithLease(progress, reserved, {kind: 'run', lease: reserved.lease});
	}

	/**
	 * Resumes a broken stream at another engine, after the last event that the caller received. The engine recomputes the prompt
	 * and the events, which delays its other streams; the pool therefore chooses the engine and the time.
	 */
	async #resume(progress: StreamProgress, round: number): Promise<RoundResult> {
		const placementOutcome = await this.parts.places.placeResumed({...progress, round, softwareVersion: progress.binding.version}, progress);
		const server = placementOutcome.kind === 'placed' ? this.#leases.findListed(progress, placementOutcome.placement.decode) : undefined;
		log('A broken stream looks for another engine.', {
			requestId: progress.call.requestId, round, outcome: placementOutcome.kind, reason: placementOutcome.kind === 'refused' ? placementOutcome.error.kind : undefined, engine: server?.id, events: progress.events,
		});
		if (placementOutcome.kind === 'refused') {
			return this.#resumeWithLease(progress);
		}

		const {placement} = placementOutcome;
		return this.#withPlacement(progress, placement, async () => {
			if (server === undefined) {
				declinePlacement(progress, placement);
			}

			const lease = placement.isFromOwner || server === undefined ? undefined : await this.#leases.acquire(progress, server);
			if (server === undefined || (!placement.isFromOwner && lease === undefined)) {
				// The engines that can be reached read broken streams one after another, so the pool is asked again
				return {isFinal: false, reply: {kind: 'streamed'}};
			}

			placement.leased();
			return this.#runDirectly(progress, placement, {server, lease});
		});
	}

	/** Resumes a stream at the least loaded engine that grants a lease, without a placement of the pool's owner. */
	async #resumeWithLease(progress: StreamProgress): Promise<RoundResult> {
		const reserved = await this.#leases.acquireLeastLoaded(progress);
		if (reserved === undefined) {
			return {isFinal: true, reply: this.#fail(progress, {kind: 'streamed', detail: 'no engine takes the rest of the stream'})};
		}

		return this.#runWithLease(progress, reserved, directPurpose(progress, reserved.lease));
	}

	/** Runs a call on an engine that granted a lease, and reports the hold to the pool's owner. */
	async #runWithLease(progress: StreamProgress, reserved: ReservedEngine, purpose: SendPurpose): Promise<RoundResult> {
		const engine = addressOf(reserved);
		const placement = this.parts.places.recordLeased(progress.call, progress.service, engine);
		let isUsed = false;
		const result = await this.#withPlacement(progress, placement, async () => {
			isUsed = true;
			const {stage, run} = await this.#run(progress, reserved.server, purpose, () => undefined);
			return this.#handleOutcome(progress, engine.id, stage, run);
		});
		if (!isUsed) {
			void this.#leases.drop(reserved);
		}

		return result;
	}

	/** Decides from the outcome at one engine whether the call is retried. */
	#handleOutcome(progress: StreamProgress, engine: EngineId, outcome: RunStage, run: StreamRun | undefined): RoundResult {
		const {
			call, service, scope, out,
		} = progress;
		if (outcome.kind !== 'notRun' || outcome.isMisdirected) {
			progress.excluded.add(engine);
		}

		if (outcome.kind === 'complete') {
			progress.isComplete = true;
			return {isFinal: true, reply: {kind: 'streamed'}};
		}

		if (outcome.kind === 'relay' && !out.isStarted) {
			return {isFinal: true, reply: serverReply(call, outcome.head, outcome.body)};
		}

		if (outcome.kind === 'silent') {
			return {isFinal: false, reply: errorReply(routerError('answerLost', 'the engine is silent')), silent: {run: run!, engine}};
		}

		if (outcome.kind === 'superseded') {
			return {isFinal: false, reply: {kind: 'streamed'}};
		}

		if (outcome.kind === 'unsent') {
			return {isFinal: false, reply: errorReply(routerError('noBackend', outcome.detail, rejectedRetryAfterMs))};
		}

		// A stream that has begun can take no other response than the rest of its events
		const mayHaveRun = outcome.kind !== 'notRun';
		const detail = outcome.kind === 'relay' ? `an engine answered a resumed stream with status ${outcome.head.status}` : outcome.detail;
		const isBesideSilentRun = progress.silent !== undefined && progress.silent.run !== run;
		// A round beside a silent run takes its retry when it has a place
		const mayRetry = !isBesideSilentRun && scope.reason === undefined && progress.sent < call.route.maxAttempts && (!mayHaveRun || call.route.resumable) && this.parts.retryBudgets.tryAcquire(service);
		const reply = errorReply(mayHaveRun ? routerError(scope.reason === 'deadline' ? 'timeout' : 'answerLost', detail) : routerError('overloaded', 'the engine had no free capacity', rejectedRetryAfterMs));
		return mayRetry ? {isFinal: false, reply} : {isFinal: true, reply: this.#fail(progress, reply)};
	}
}

/** The reply to a call of which an engine may have run a part: no refusal, since that would promise that none has. */
const toCertainReply = (reply: Reply, {mayHaveRun}: StreamProgress): Reply => reply.kind === 'error' ? errorReply(toUncertainError(reply.error, mayHaveRun, 'answerLost')) : reply;

/** Declines a placement on an engine that leaves, asked for time or has used up its limit since the request, and lets the pool's owner know that the engine takes no streams. */
const declinePlacement = ({call, excluded, rejectedBy}: StreamProgress, {decode}: StreamPlacement): void => {
	log('A placement is declined: its engine takes no work.', {requestId: call.requestId, engine: decode.id});
	excluded.add(decode.id);
	rejectedBy.push(decode.id);
};

/** The error of a quarantined prompt: not run, or of unknown outcome where an engine may have begun with it. */
const quarantineError = (sent: number): RouterError => sent > 0 ? routerError('answerLost', 'the prompt has quarantined segments') : routerError('quarantined');

/** Purpose of a send whose engine does the prefill itself; a started stream resumes after the last event that the caller received. */
const directPurpose = ({out, call, lastEventId = call.lastEventId}: StreamProgress, lease: string | undefined): SendPurpose =>
	!out.isStarted || lastEventId === undefined ? {kind: 'run', lease} : {kind: 'resume', lastEventId, lease};

const addressOf = ({server}: ReservedEngine): EngineAddress => ({id: toId<EngineId>(server.id), address: server.address});
