/** What a leader knows of each other member's log. */
import type {LogIndex} from '../control/control-command.js';
import {toId} from '../ids.js';
import type {Instant} from '../time.js';
import type {InMemoryLog} from './in-memory-log.js';
import type {AppendReply, ReplicaId} from './types.js';

/** One member's place. */
export type Progress = {
	/** Next index to send. */
	nextIndex: LogIndex;
	/** Last index known to be synced there. */
	matchIndex: LogIndex;
	/** Whether entries are on their way and unanswered. */
	hasEntriesInFlight: boolean;
	/** Latest round answered. */
	ackedRound: number;
	/** When the latest answered round was sent. */
	ackedRoundSentAt: number;
};

/** The members' places in one term of a leader. */
export class ProgressTable {
	readonly #progress = new Map<ReplicaId, Progress>();

	/** The place of a member; a new one begins at the log's end. */
	getOrCreate(replica: ReplicaId, log: InMemoryLog): Progress {
		let progress = this.#progress.get(replica);
		if (progress === undefined) {
			progress = {
				nextIndex: (log.lastIndex + 1) as LogIndex, matchIndex: toId<LogIndex>(0), hasEntriesInFlight: false, ackedRound: 0, ackedRoundSentAt: Number.NEGATIVE_INFINITY,
			};
			this.#progress.set(replica, progress);
		}

		return progress;
	}

	/** Last index known to be synced at a member. */
	matchIndexOf(replica: ReplicaId): number {
		return this.#progress.get(replica)?.matchIndex ?? 0;
	}

	/** Latest round that a member answered. */
	ackedRoundOf(replica: ReplicaId): number {
		return this.#progress.get(replica)?.ackedRound ?? 0;
	}

	/** When the latest round that a member answered was sent. */
	ackedRoundSentAtOf(replica: ReplicaId): Instant {
		return (this.#progress.get(replica)?.ackedRoundSentAt ?? Number.NEGATIVE_INFINITY) as Instant;
	}
}

/**
 * Takes an answer into a member's place. On a mismatch the next index jumps over a whole term
 * (Ongaro & Ousterhout 2014, section 5.3).
 */
export const updateProgress = (progress: Progress, reply: AppendReply, log: InMemoryLog): void => {
	progress.hasEntriesInFlight = false;
	progress.ackedRound = Math.max(progress.ackedRound, reply.round);
	progress.ackedRoundSentAt = Math.max(progress.ackedRoundSentAt, reply.sentAt);
	if (reply.match !== undefined) {
		progress.matchIndex = Math.max(progress.matchIndex, reply.match) as LogIndex;
		progress.nextIndex = Math.max(progress.nextIndex, progress.matchIndex + 1) as LogIndex;
		return;
	}

	const lastOfConflictTerm = reply.conflictTerm === 0 ? undefined : log.lastIndexOfTerm(reply.conflictTerm, reply.conflictIndex);
	const hint = lastOfConflictTerm === undefined ? reply.conflictIndex : lastOfConflictTerm + 1;
	progress.nextIndex = Math.max(progress.matchIndex + 1, Math.min(hint, progress.nextIndex)) as LogIndex;
};
