/** Resumes broken streams through other instances while this one reaches no engine. */
import type {Clock} from '@baobabpier/core';
import {createLog} from '../log.js';
import type {RelayClient} from '../relay/relay-client.js';
import type {StreamEvent} from './event-splitter.js';
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
 * Passes on the rest of a stream as a partner delivers it.
 *
 * @example
 * const reply = await new PartnerResume(parts).resume(progress); // Undefined where the stream is to be resumed from here
 */
export class PartnerResume {
	constructor(private readonly parts: PartnerResumeParts) {}

	/** Resumes a stream after its last event; undefined where this instance reaches engines, or no partner takes the stream. */
	async resume(progress: StreamProgress): Promise<Reply | undefined> {
		const {relay, retryBudgets} = this.parts;
		const {call, service, scope, out, lastEventId} = progress;
		if (!relay.isNeeded || lastEventId === undefined) {
			return undefined;
		}

		if (progress.isRetryDue && !retryBudgets.tryAcquire(service)) {
			return {kind: 'streamed', detail: 'the retry budget is exhausted'};
		}

		progress.isRetryDue = false;
		const outcome = await relay.send(call, scope, {
			start() {
				endRuns(progress);
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
		return {kind: 'streamed', detail: 'detail' in outcome ? outcome.detail : undefined};
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

/** Ends the runs of a stream that goes on elsewhere, and releases the placement of a silent one. */
const endRuns = (progress: StreamProgress): void => {
	for (const run of progress.runs) {
		run.supersede();
	}

	const {silent} = progress;
	progress.silent = undefined;
	void silent?.run.outcome.then(silent.release);
};
