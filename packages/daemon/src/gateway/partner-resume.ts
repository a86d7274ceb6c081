/** Lets other instances serve streams that engines failed, or the rest of them, while this one reaches no engine. */
import {routerError} from '@baobabpier/core';
import type {Clock} from '@baobabpier/core';
import {createLog} from '../log.js';
import type {RelayClient, RelayOutcome} from '../relay/relay-client.js';
import type {StreamEvent} from './event-splitter.js';
import {errorReply} from './reply.js';
import type {Reply} from './reply.js';
import type {RetryBudgets} from './retry-budgets.js';
import type {StreamProgress} from './stream-progress.js';

const log = createLog('stream');

/** Dependencies of the resumption at partners. */
export type PartnerResumeParts = {
	readonly relay: Pick<RelayClient, 'isNeeded' | 'send'>;
	readonly retryBudgets: RetryBudgets;
	readonly clock: Clock;
};

/**
 * Passes on a stream, or the rest of one, as a partner delivers it.
 *
 * @example
 * const reply = await new PartnerResume(parts).resume(progress); // Undefined where the stream is to be resumed from here
 */
export class PartnerResume {
	constructor(private readonly parts: PartnerResumeParts) {}

	/**
	 * Resumes a stream after its last event, or begins it anew if its caller has none; undefined where this instance reaches engines,
	 * no partner takes the stream, or another instance relays it here.
	 */
	async resume(progress: StreamProgress): Promise<Reply | undefined> {
		const {relay, retryBudgets} = this.parts;
		const {call, service, scope, out, lastEventId} = progress;
		if (!relay.isNeeded || call.isRelayed === true || (out.isStarted && lastEventId === undefined)) {
			return undefined;
		}

		if (progress.isRetryDue && !retryBudgets.tryAcquire(service)) {
			return out.isStarted ? {kind: 'streamed', detail: 'the retry budget is exhausted'} : errorReply(routerError('answerLost', 'the retry budget is exhausted'));
		}

		progress.isRetryDue = false;
		const outcome = await relay.send(call, scope, {
			start(head) {
				endRuns(progress);
				if (!out.isStarted) {
					out.start(head);
				}
			},
			write: event => {
				this.#passOn(progress, event);
				return scope.reason === undefined;
			},
			end() {
				progress.isComplete = true;
				out.end();
			},
		}, lastEventId);
		if (outcome.kind === 'declined') {
			return undefined;
		}

		progress.sent += 1;
		log('A broken stream went on at another instance.', {requestId: call.requestId, outcome: outcome.kind, events: progress.events});
		return toReply(outcome, progress);
	}

	#passOn(progress: StreamProgress, {id, bytes}: StreamEvent): void {
		if (progress.lastEventId !== undefined && id !== undefined && Number(id) <= Number(progress.lastEventId)) {
			return;
		}

		progress.lastEventId = id ?? progress.lastEventId;
		progress.lastEventAt = this.parts.clock.now();
		progress.events += 1;
		progress.out.write(bytes);
	}
}

const toReply = (outcome: Exclude<RelayOutcome, {readonly kind: 'declined'}>, {out, scope}: StreamProgress): Reply => {
	const detail = 'detail' in outcome ? outcome.detail : undefined;
	if (out.isStarted) {
		return {kind: 'streamed', detail};
	}

	return outcome.kind === 'reply' ? outcome.reply : errorReply(routerError(scope.reason === 'deadline' ? 'timeout' : 'answerLost', detail));
};

/** Ends the runs of a stream that goes on elsewhere, and releases the placement of a silent one. */
const endRuns = (progress: StreamProgress): void => {
	for (const run of progress.runs) {
		run.supersede();
	}

	const {silent} = progress;
	progress.silent = undefined;
	void silent?.run.outcome.then(silent.release);
};
