/** One run of a stream at an engine: relays its events to the caller, notices when the engine falls silent, and classifies the outcome. */
import {Buffer} from 'node:buffer';
import {toId} from '@baobabpier/core';
import type {
	Clock, EngineId, ListedServer, RunPhase,
} from '@baobabpier/core';
import {createLog} from '../log.js';
import {startPolledTimeout} from '../polled-timeout.js';
import type {PolledTimeout} from '../polled-timeout.js';
import {OutputPace} from '../requests/output-pace.js';
import type {PathWatch} from '../relay/path-watch.js';
import {failureOf} from '../transport/exchange.js';
import type {ServerTransport} from '../transport/server-transport.js';
import type {OpenResponse, TransportFailure} from '../transport/types.js';
import type {CallScope} from './call-scope.js';
import type {CrashGuard} from './crash-guard.js';
import {EventSplitter} from './event-splitter.js';
import type {StreamEvent} from './event-splitter.js';
import {resultOfUnsent} from './fleet-view.js';
import type {CallResult, FleetView} from './fleet-view.js';
import {findResponseFault, isUrgent} from './plain-route.js';
import {recordResult} from './stream-progress.js';
import type {DecodeOutcome, StreamProgress} from './stream-progress.js';
import type {ResponseHead, SendPurpose, ServerDialect} from './types.js';

const log = createLog('stream');
/** Silence before a resumable stream's first event after which another engine is sought, in milliseconds. */
const firstEventSilenceMs = 2000;
/** Least silence between two events of a resumable stream after which another engine is sought, in milliseconds. */
const minEventSilenceMs = 1200;
/** Silence between two events after which another engine is sought, in multiples of the longest pause that counts as steady. */
const silenceGaps = 4;
/** Maximum size of one event, in bytes: many times what any engine sends, and little for an instance that buffers one per stream. */
const maxEventBytes = 256 * 1024;
/** Maximum number of logged bytes of an engine's reason for a rejection. */
const maxReasonBytes = 160;
/** Maximum number of logged segments of a prompt. */
const maxLoggedSegments = 8;
/** Time for which a run has written outputs when it no longer counts as a trial of its prompt, in milliseconds. */
const trialSettleMs = 500;

/** Dependencies of a stream run. */
export type StreamRunParts = {
	readonly fleet: FleetView;
	readonly transport: ServerTransport;
	readonly dialect: ServerDialect;
	readonly guard: CrashGuard;
	readonly path: Pick<PathWatch, 'recordFailure'>;
	readonly clock: Clock;
};

/** What is sent to which engine. */
export type StreamRunRequest = {
	readonly server: ListedServer;
	readonly purpose: SendPurpose;
	readonly onFirstEvent: () => void;
};

/** A run that has ended, or the news that its engine is silent. */
export type RunStage = DecodeOutcome | {readonly kind: 'silent'};

/**
 * A run of a stream. Of several runs of one stream, the first to deliver is the only one that serves the caller from then on.
 *
 * @example
 * const run = new StreamRun(parts, progress, {server, purpose, onFirstEvent});
 * const stage = await run.nextStage(); // {kind: 'complete'}, or {kind: 'silent'} while it goes on
 */
export class StreamRun {
	readonly outcome: Promise<DecodeOutcome>;
	/** Called when a silent engine delivers again. */
	onActive: (() => void) | undefined;
	readonly #abort = new AbortController();
	readonly #scope: CallScope;
	readonly #startedAt: number;
	readonly #pace: OutputPace;
	readonly #waiters: Array<() => void> = [];
	#silenceTimeout: PolledTimeout | undefined;
	#settleTimer: NodeJS.Timeout | undefined;
	#silentSince: number | undefined;
	#isSuperseded = false;
	#isOver = false;

	constructor(private readonly parts: StreamRunParts, private readonly progress: StreamProgress, private readonly request: StreamRunRequest) {
		const {clock} = parts;
		this.#scope = progress.scope;
		this.#startedAt = clock.now();
		this.#pace = new OutputPace(clock.now());
		progress.runs.add(this);
		this.#awaitEvent(firstEventSilenceMs);
		this.outcome = this.#runSafely();
	}

	/** Whether the engine has sent nothing for a while, and the run is not over. */
	get isSilent(): boolean {
		return this.#silentSince !== undefined && !this.#isOver;
	}

	/** Resolves with the outcome, or as soon as the engine is silent. */
	async nextStage(): Promise<RunStage> {
		await this.#waitUntil(() => this.#isOver || this.isSilent);
		return this.isSilent ? {kind: 'silent'} : this.outcome;
	}

	/** Resolves once the engine is not silent any more, the run is over, or `ms` milliseconds have passed. */
	async waitWhileSilent(ms: number): Promise<void> {
		let isTimeUp = false;
		const timer = setTimeout(() => {
			isTimeUp = true;
			this.#notify();
		}, ms);
		await this.#waitUntil(() => isTimeUp || !this.isSilent);
		clearTimeout(timer);
	}

	/** Ends the run because another one serves the caller. */
	supersede(): void {
		if (!this.#isOver && !this.#isSuperseded) {
			this.#isSuperseded = true;
			this.#abort.abort(new Error('another run of the stream delivered first'));
		}
	}

	/** A run that fails in itself must still end for those who wait for it. */
	async #runSafely(): Promise<DecodeOutcome> {
		try {
			return await this.#run();
		} catch (error) {
			log('A run failed with an internal error.', {requestId: this.progress.call.requestId, error: (error as Error).stack ?? String(error)});
			this.#abort.abort(error);
			this.#end();
			return {kind: 'broken', detail: 'internal error'};
		}
	}

	async #run(): Promise<DecodeOutcome> {
		const {progress, request: {server, purpose}, parts: {transport, dialect, fleet, guard, clock}} = this;
		const {call} = progress;
		if (!progress.binding.admits(server, purpose.kind === 'decode' ? purpose.source : undefined)) {
			log('A run is withdrawn: its engine runs another software version.', {requestId: call.requestId, engine: server.id, softwareVersion: server.softwareVersion});
			this.#end();
			guard.endTrial(call);
			return {kind: 'unsent', detail: 'the engine runs another software version', isHeldBack: true};
		}

		const abortWithCall = (): void => {
			this.#abort.abort(this.#scope.signal.reason);
		};

		this.#scope.signal.addEventListener('abort', abortWithCall, {once: true});
		if (this.#scope.signal.aborted) {
			abortWithCall();
		}

		const endCall = fleet.begin(server.id);
		progress.sent += 1;
		const attempt = progress.sent;
		const response = await transport.sendRequest({
			kind: 'run', binding: {kind: 'echoed', requestId: call.requestId}, server: server.id, address: server.address, method: call.method, target: call.target, headers: dialect.sendHeaders(call, server, purpose, this.#scope.remainingMs()), body: call.body, signal: this.#abort.signal, isRepeat: progress.sentTo.has(server.address), isUrgent: isUrgent(call),
		});
		progress.sentTo.add(server.address);
		progress.sent -= response.kind === 'unsent' ? 1 : 0;
		const ended = response.kind === 'head' ? await this.#relay(response) : response;
		const outcome: DecodeOutcome = this.#isSuperseded ? {kind: 'superseded', detail: 'another run of the stream delivered first'} : ended;
		this.#end();
		this.#scope.signal.removeEventListener('abort', abortWithCall);
		progress.pace = this.#pace.sample;
		if (outcome.kind === 'complete') {
			guard.recordComplete(call);
		} else if (outcome.kind === 'broken' && this.#scope.reason === undefined) {
			this.parts.path.recordFailure(server.id);
			guard.recordBroken(call, {id: toId<EngineId>(server.id), address: server.address}, phaseOf(response, this.#pace.firstAt !== undefined));
		}

		guard.endTrial(call);
		const result = this.#callResultOf(outcome);
		endCall(result);
		recordResult(progress, server, result);
		if (outcome.kind === 'notRun' && !outcome.isMisdirected) {
			progress.rejectedBy.push(toId<EngineId>(server.id));
		}

		const {firstAt, sample} = this.#pace;
		log('A stream got an outcome at an engine.', {
			requestId: call.requestId, resumes: call.resumes, engine: server.id, softwareVersion: server.softwareVersion, segments: call.sharedSegments.slice(0, maxLoggedSegments).join(' '), purpose: purpose.kind, attempt, outcome: outcome.kind, status: response.kind === 'head' ? response.status : undefined,
			detail: 'detail' in outcome ? outcome.detail : undefined, load: outcome.kind === 'notRun' ? outcome.load : undefined, lastEventId: progress.lastEventId, firstEventMs: firstAt === undefined ? undefined : Math.round(firstAt - this.#startedAt), longestPauseMs: sample === undefined ? undefined : Math.round(sample.longestMs ?? 0), silentMs: this.#silentMs(), ms: Math.round(clock.now() - this.#startedAt), ended: this.#scope.reason,
		});
		return outcome;
	}

	async #relay(response: OpenResponse): Promise<DecodeOutcome> {
		const {progress: {out, binding}, parts: {dialect, transport}} = this;
		const head = dialect.readHead(response.status, response.rawHeaders);
		const fault = findResponseFault(head);
		if (fault !== undefined) {
			response.body.destroy();
			return {kind: 'broken', detail: fault};
		}

		if (head.isNotExecuted) {
			const body = await transport.readBody(response);
			return {
				kind: 'notRun', isMisdirected: head.isMisdirected, load: head.load, detail: 'kind' in body ? body.detail : Buffer.from(body).toString('utf8', 0, maxReasonBytes),
			};
		}

		if (head.status !== 200) {
			const body = await transport.readBody(response);
			if ('kind' in body) {
				return body;
			}

			// A failure serves the caller no better than a run that is silent for a moment
			if (this.progress.runs.size === 1) {
				this.#takeOver();
			}

			return {kind: 'relay', head, body};
		}

		const splitter = new EventSplitter();
		try {
			for await (const chunk of response.body as AsyncIterable<Uint8Array>) {
				for (const event of splitter.push(chunk)) {
					this.#recordEvent();
					if (this.#isKnown(event)) {
						continue;
					}

					if (!this.#takeOver()) {
						return {kind: 'superseded', detail: 'another run of the stream delivered first'};
					}

					if (binding.version === undefined) {
						// Whoever takes the stream up elsewhere must find its version
						await binding.bind(this.request.server); // eslint-disable-line no-await-in-loop
					}

					this.#relayEvent(head, event);
				}

				if (splitter.pendingBytes > maxEventBytes) {
					return {kind: 'broken', detail: `an event is over ${maxEventBytes} bytes`};
				}
			}
		} catch (error) {
			return failureOf(error);
		}

		if (response.mayBeTruncated()) {
			return {kind: 'broken', detail: 'the connection was reset before the end of a stream without framing'};
		}

		if (splitter.pendingBytes > 0) {
			return {kind: 'broken', detail: 'the stream ended within an event'};
		}

		if (!this.#takeOver()) {
			return {kind: 'superseded', detail: 'another run of the stream delivered first'};
		}

		if (!out.isStarted) {
			out.start(head);
		}

		out.end();
		return {kind: 'complete'};
	}

	/** Makes this run the only one that serves the caller; returns whether it may. */
	#takeOver(): boolean {
		if (this.#isSuperseded) {
			return false;
		}

		const {progress} = this;
		for (const other of progress.runs) {
			if (other !== this) {
				other.supersede();
			}
		}

		if (progress.silent !== undefined && progress.silent.run !== this) {
			const {run, release} = progress.silent;
			progress.silent = undefined;
			void run.outcome.then(release);
		}

		if (this.#silentSince !== undefined) {
			log('A silent engine goes on.', {requestId: progress.call.requestId, engine: this.request.server.id, silentMs: this.#silentMs()});
			this.#silentSince = undefined;
			this.onActive?.();
			this.#notify();
		}

		return true;
	}

	#recordEvent(): void {
		const {progress: {call}, parts: {clock, guard}} = this;
		if (this.#pace.firstAt === undefined) {
			this.request.onFirstEvent();
			this.#settleTimer = setTimeout(() => {
				guard.endTrial(call);
			}, trialSettleMs);
		}

		this.#pace.add(1, clock.now());
		// Bytes that complete no event do not end a silence
		this.#awaitEvent(Math.max(minEventSilenceMs, call.route.targetGapMs * silenceGaps));
	}

	/** Whether the caller already received an event from an earlier run. */
	#isKnown({id}: StreamEvent): boolean {
		const {lastEventId} = this.progress;
		return lastEventId !== undefined && id !== undefined && Number(id) <= Number(lastEventId);
	}

	#relayEvent(head: ResponseHead, event: StreamEvent): void {
		const {progress, parts: {clock}} = this;
		const {out} = progress;
		if (!out.isStarted) {
			out.start(head);
		}

		progress.lastEventId = event.id ?? progress.lastEventId;
		progress.lastEventAt = clock.now();
		progress.events += 1;
		out.write(event.bytes);
	}

	/** Restarts the time after which the engine counts as silent; a stream that can't be resumed has no other engine to go to. */
	#awaitEvent(ms: number): void {
		this.#silenceTimeout?.clear();
		if (!this.progress.call.route.resumable) {
			return;
		}

		this.#silenceTimeout = startPolledTimeout(ms, () => {
			this.#silentSince = this.parts.clock.now() - ms;
			log('An engine is silent.', {
				requestId: this.progress.call.requestId, engine: this.request.server.id, silentMs: Math.round(ms), events: this.progress.events,
			});
			this.parts.path.recordFailure(this.request.server.id);
			this.#notify();
		});
	}

	#silentMs(): number | undefined {
		return this.#silentSince === undefined ? undefined : Math.round(this.parts.clock.now() - this.#silentSince);
	}

	#end(): void {
		this.#isOver = true;
		this.progress.runs.delete(this);
		this.#silenceTimeout?.clear();
		clearTimeout(this.#settleTimer);
		this.#notify();
	}

	async #waitUntil(isTrue: () => boolean): Promise<void> {
		while (!isTrue()) {
			// eslint-disable-next-line no-await-in-loop
			await new Promise<void>(resolve => {
				this.#waiters.push(resolve);
			});
		}
	}

	#notify(): void {
		for (const resolve of this.#waiters.splice(0)) {
			resolve();
		}
	}

	/** Returns the call result that the outcome means for the engine. */
	#callResultOf(outcome: DecodeOutcome): CallResult {
		const {reason} = this.#scope;
		switch (outcome.kind) {
			case 'complete': {
				return 'good';
			}

			case 'notRun': {
				return outcome.isMisdirected ? 'misplaced' : 'none';
			}

			case 'unsent': {
				return reason === undefined || outcome.isUnreachable === true ? resultOfUnsent(outcome) : 'none';
			}

			case 'superseded': {
				return this.#silentSince === undefined ? 'none' : 'failed';
			}

			case 'relay':
			case 'foreign':
			case 'broken': {
				return reason === undefined ? 'failed' : 'none';
			}
		}
	}
}

/** Returns how far a run had got that broke off. */
const phaseOf = (response: OpenResponse | TransportFailure, hasOutput: boolean): RunPhase => {
	if (response.kind !== 'head' || response.status !== 200) {
		return 'sent';
	}

	return hasOutput ? 'writing' : 'begun';
};
