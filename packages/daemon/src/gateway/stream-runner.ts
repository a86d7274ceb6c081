/** Runs streams at engines: sends the call, relays the events to the caller and classifies the outcome for the engine's health. */
import {Buffer} from 'node:buffer';
import {toId} from '@baobabpier/core';
import type {
	Clock, EngineId, ListedServer, RunPhase,
} from '@baobabpier/core';
import {createLog} from '../log.js';
import {OutputPace} from '../requests/output-pace.js';
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
/** Timeout for a resumable stream's first event, in milliseconds. */
const firstEventTimeoutMs = 2000;
/** Idle timeout after which a resumable stream moves to another engine, in milliseconds: several of the pauses that still count as steady. */
const eventIdleTimeoutMs = 1200;
/** Maximum size of one event, in bytes: many times what any engine sends, and little for an instance that buffers one per stream. */
const maxEventBytes = 256 * 1024;
/** Maximum number of logged bytes of an engine's reason for a rejection. */
const maxReasonBytes = 160;

/** Maximum number of logged segments of a prompt. */
const maxLoggedSegments = 8;

/** Time for which a run has written outputs when it no longer counts as a trial of its prompt, in milliseconds. */
const trialSettleMs = 500;

/** Dependencies of a stream runner. */
export type StreamRunnerParts = {
	readonly fleet: FleetView;
	readonly transport: ServerTransport;
	readonly dialect: ServerDialect;
	readonly guard: CrashGuard;
	readonly clock: Clock;
};

/** Runs streams, each at one engine per call; calls of `run` are independent of each other. */
export class StreamRunner {
	constructor(private readonly parts: StreamRunnerParts) {}

	/** Sends the call to an engine and relays its events to the caller; calls `onFirstEvent` at the first event. */
	async run(progress: StreamProgress, server: ListedServer, purpose: SendPurpose, onFirstEvent: () => void): Promise<DecodeOutcome> {
		const {call, scope} = progress;
		const {transport, dialect, fleet, guard, clock} = this.parts;
		let settled: NodeJS.Timeout | undefined;
		const limit = scope.createTimeout(call.route.resumable ? Math.min(firstEventTimeoutMs, scope.remainingMs()) : scope.remainingMs());
		const endCall = fleet.begin(server.id);
		const startedAt = clock.now();
		const response = await transport.sendRequest({
			kind: 'run', binding: {kind: 'echoed', requestId: call.requestId}, server: server.id, address: server.address, method: call.method, target: call.target, headers: dialect.sendHeaders(call, server, purpose, scope.remainingMs()), body: call.body, signal: limit.signal, isRepeat: progress.sentTo.has(server.address), isUrgent: isUrgent(call),
		});
		progress.sentTo.add(server.address);
		progress.sent += response.kind === 'unsent' ? 0 : 1;
		const pace = new OutputPace(startedAt);
		const outcome = response.kind === 'head'
			? await this.#relay(progress, server, response, limit, () => {
				if (pace.firstAt === undefined) {
					onFirstEvent();
					settled = setTimeout(() => {
						guard.endTrial(call);
					}, trialSettleMs);
				}

				pace.add(1, clock.now());
			})
			: response;
		clearTimeout(settled);
		progress.pace = pace.sample;
		if (outcome.kind === 'complete') {
			guard.recordComplete(call);
		} else if (outcome.kind === 'broken' && scope.reason === undefined && !limit.hasExpired()) {
			guard.recordBroken(call, {id: toId<EngineId>(server.id), address: server.address}, phaseOf(response, pace.firstAt !== undefined));
		}

		guard.endTrial(call);
		limit.release();
		const result = callResultOf(outcome, scope);
		endCall(result);
		recordResult(progress, server, result);
		if (outcome.kind === 'notRun' && !outcome.isMisdirected) {
			progress.rejectedBy.push(toId<EngineId>(server.id));
		}

		log('A stream got an outcome at an engine.', {
			requestId: call.requestId, engine: server.id, segments: call.sharedSegments.slice(0, maxLoggedSegments).join(' '), purpose: purpose.kind, attempt: progress.sent, outcome: outcome.kind, status: response.kind === 'head' ? response.status : undefined,
			detail: 'detail' in outcome ? outcome.detail : undefined, load: outcome.kind === 'notRun' ? outcome.load : undefined, lastEventId: progress.lastEventId, firstEventMs: pace.firstAt === undefined ? undefined : Math.round(pace.firstAt - startedAt), longestPauseMs: pace.sample === undefined ? undefined : Math.round(pace.sample.longestMs ?? 0), ms: Math.round(clock.now() - startedAt), ended: scope.reason,
		});
		return outcome;
	}

	async #relay(progress: StreamProgress, server: ListedServer, response: OpenResponse, limit: ReturnType<CallScope['createTimeout']>, onEvent: () => void): Promise<DecodeOutcome> {
		const {call, out} = progress;
		const head = this.parts.dialect.readHead(response.status, response.rawHeaders);
		const fault = findResponseFault(head);
		if (fault !== undefined) {
			response.body.destroy();
			return {kind: 'broken', detail: fault};
		}

		if (head.isNotExecuted) {
			const body = await this.parts.transport.readBody(response);
			return {
				kind: 'notRun', isMisdirected: head.isMisdirected, load: head.load, detail: 'kind' in body ? body.detail : Buffer.from(body).toString('utf8', 0, maxReasonBytes),
			};
		}

		if (head.status !== 200) {
			const body = await this.parts.transport.readBody(response);
			return 'kind' in body ? body : {kind: 'relay', head, body};
		}

		const splitter = new EventSplitter();
		try {
			for await (const chunk of response.body as AsyncIterable<Uint8Array>) {
				const events = splitter.push(chunk);
				for (const event of events) {
					onEvent();
					relayEvent(progress, head, event);
					progress.lastEventAt = this.parts.clock.now();
				}

				if (splitter.pendingBytes > maxEventBytes) {
					return {kind: 'broken', detail: `an event is over ${maxEventBytes} bytes`};
				}

				// Bytes that complete no event do not extend the idle timeout
				if (call.route.resumable && events.length > 0) {
					limit.extend(eventIdleTimeoutMs);
				}
			}
		} catch (error) {
			return limit.hasExpired() ? {kind: 'broken', detail: 'the engine is silent'} : failureOf(error);
		}

		if (response.mayBeTruncated()) {
			return {kind: 'broken', detail: 'the connection was reset before the end of a stream without framing'};
		}

		if (splitter.pendingBytes > 0) {
			return {kind: 'broken', detail: 'the stream ended within an event'};
		}

		if (!out.isStarted) {
			out.start(head);
		}

		out.end();
		return {kind: 'complete'};
	}
}

/** Relays an event, unless the caller already received it from an earlier engine. */
const relayEvent = (progress: StreamProgress, head: ResponseHead, event: StreamEvent): void => {
	const {out} = progress;
	if (progress.lastEventId !== undefined && event.id !== undefined && Number(event.id) <= Number(progress.lastEventId)) {
		return;
	}

	if (!out.isStarted) {
		out.start(head);
	}

	progress.lastEventId = event.id ?? progress.lastEventId;
	progress.events += 1;
	out.write(event.bytes);
};

/** Returns how far a run had got that broke off. */
const phaseOf = (response: OpenResponse | TransportFailure, hasOutput: boolean): RunPhase => {
	if (response.kind !== 'head' || response.status !== 200) {
		return 'sent';
	}

	return hasOutput ? 'writing' : 'begun';
};

/** Returns the call result that a run's outcome means for its engine. */
const callResultOf = (outcome: DecodeOutcome, scope: CallScope): CallResult => {
	switch (outcome.kind) {
		case 'complete': {
			return 'good';
		}

		case 'notRun': {
			return outcome.isMisdirected ? 'misplaced' : 'none';
		}

		case 'unsent': {
			return scope.reason === undefined || outcome.isUnreachable === true ? resultOfUnsent(outcome) : 'none';
		}

		case 'relay':
		case 'foreign':
		case 'broken': {
			return scope.reason === undefined ? 'failed' : 'none';
		}
	}
};
