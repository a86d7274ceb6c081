/** Runs of streams at engines: the send, the events on their way to the caller, and what the outcome says of the engine. */
import {Buffer} from 'node:buffer';
import type {Clock, ListedServer} from '@baobabpier/core';
import {createLog} from '../log.js';
import {OutputPace} from '../requests/output-pace.js';
import type {CallScope} from './call-scope.js';
import {EventSplitter} from './event-splitter.js';
import type {StreamEvent} from './event-splitter.js';
import type {CallResult, FleetView} from './fleet-view.js';
import {findFault} from './plain-route.js';
import type {OpenAnswer, ServerTransport} from './server-transport.js';
import {noteResult} from './stream-progress.js';
import type {DecodeOutcome, Progress} from './stream-progress.js';
import type {ResponseHead, SendPurpose, ServerDialect} from './types.js';

const log = createLog('stream');
/** Longest time to a resumable stream's first event, in milliseconds. */
const firstEventMs = 2000;
/** Silence after which a resumable stream goes on elsewhere, in milliseconds: several pauses that still count as steady. */
const silentMs = 1200;
/** Bytes of one event at most: many times what any engine sends, and little for an instance that holds one for each stream. */
const maxEventBytes = 256 * 1024;
/** Bytes of an engine's reason for a rejection that are logged at most. */
const maxReasonBytes = 160;

/** What the runs work with. */
export type EngineRunsParts = {
	readonly fleet: FleetView;
	readonly transport: ServerTransport;
	readonly dialect: ServerDialect;
	readonly clock: Clock;
};

/** Runs one stream at one engine after the other; each call of `run` is independent. */
export class EngineRuns {
	constructor(private readonly parts: EngineRunsParts) {}

	/** Sends the call to an engine and passes its events on; `onHead` is called at the first. */
	async run(progress: Progress, server: ListedServer, purpose: SendPurpose, onHead: () => void): Promise<DecodeOutcome> {
		const {call, scope} = progress;
		const {transport, dialect, fleet, clock} = this.parts;
		const limit = scope.limit(call.route.resumable ? Math.min(firstEventMs, scope.remainingMs()) : scope.remainingMs());
		const end = fleet.begin(server.id);
		const startedAt = clock.now();
		const answer = await transport.open({
			address: server.address, method: call.method, target: call.target, headers: dialect.sendHeaders(call, server, purpose, scope.remainingMs()), body: call.body, signal: limit.signal,
		});
		progress.sent += answer.kind === 'unsent' ? 0 : 1;
		const pace = new OutputPace(startedAt);
		const outcome = answer.kind === 'head'
			? await this.#pass(progress, answer, limit, () => {
				if (pace.firstAt === undefined) {
					onHead();
				}

				pace.add(1, clock.now());
			})
			: answer;
		progress.pace = pace.sample;
		limit.release();
		const result = resultOf(outcome, scope);
		end(result);
		noteResult(progress, server, result);
		log('A stream got an outcome at an engine.', {
			requestId: call.requestId, engine: server.id, purpose: purpose.kind, attempt: progress.sent, outcome: outcome.kind, status: answer.kind === 'head' ? answer.status : undefined,
			detail: 'detail' in outcome ? outcome.detail : undefined, load: outcome.kind === 'notRun' ? outcome.load : undefined, lastEventId: progress.lastEventId, firstEventMs: pace.firstAt === undefined ? undefined : Math.round(pace.firstAt - startedAt), longestPauseMs: pace.sample === undefined ? undefined : Math.round(pace.sample.longestMs ?? 0), ms: Math.round(clock.now() - startedAt), ended: scope.reason,
		});
		return outcome;
	}

	async #pass(progress: Progress, answer: OpenAnswer, limit: ReturnType<CallScope['limit']>, onEvent: () => void): Promise<DecodeOutcome> {
		const {call, out} = progress;
		const head = this.parts.dialect.readHead(answer.status, answer.rawHeaders);
		const fault = findFault(call, head);
		if (fault !== undefined) {
			answer.body.destroy();
			return {kind: 'broken', detail: fault};
		}

		if (head.isNotExecuted) {
			const body = await this.parts.transport.readBody(answer);
			return {
				kind: 'notRun', isMisplaced: head.isMisdirected, load: head.load, detail: 'kind' in body ? body.detail : Buffer.from(body).toString('utf8', 0, maxReasonBytes),
			};
		}

		if (head.status !== 200) {
			const body = await this.parts.transport.readBody(answer);
			return 'kind' in body ? body : {kind: 'relay', head, body};
		}

		const splitter = new EventSplitter();
		try {
			for await (const chunk of answer.body as AsyncIterable<Uint8Array>) {
				const events = splitter.push(chunk);
				for (const event of events) {
					onEvent();
					passEvent(progress, head, event);
				}

				if (splitter.rest > maxEventBytes) {
					return {kind: 'broken', detail: `an event is over ${maxEventBytes} bytes`};
				}

				// Bytes that make no event are no sign of life
				if (call.route.resumable && events.length > 0) {
					limit.extend(silentMs);
				}
			}
		} catch (error) {
			return {kind: 'broken', detail: limit.isOver() ? 'the engine is silent' : (error as Error).message};
		}

		if (answer.mayBeCut()) {
			return {kind: 'broken', detail: 'the connection was reset before the end of a stream without framing'};
		}

		if (splitter.rest > 0) {
			return {kind: 'broken', detail: 'the stream ended within an event'};
		}

		if (!out.isBegun) {
			out.begin(head);
		}

		out.end();
		return {kind: 'complete'};
	}
}

/** Passes an event on, unless the caller has it from an engine before. */
const passEvent = (progress: Progress, head: ResponseHead, event: StreamEvent): void => {
	const {out} = progress;
	if (progress.lastEventId !== undefined && event.id !== undefined && Number(event.id) <= Number(progress.lastEventId)) {
		return;
	}

	if (!out.isBegun) {
		out.begin(head);
	}

	progress.lastEventId = event.id ?? progress.lastEventId;
	progress.events += 1;
	out.write(event.bytes);
};

/** What a run's outcome says of its engine. */
const resultOf = (outcome: DecodeOutcome, scope: CallScope): CallResult => {
	switch (outcome.kind) {
		case 'complete': {
			return 'good';
		}

		case 'notRun': {
			return outcome.isMisplaced ? 'misplaced' : 'none';
		}

		case 'unsent': {
			return 'unreachable';
		}

		case 'relay':
		case 'broken': {
			return scope.reason === undefined ? 'failed' : 'none';
		}
	}
};
