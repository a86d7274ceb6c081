/** A leader's replication progress for each other member. */
import type {LogIndex} from '../control/control-command.js';
import {toId} from '../ids.js';
import type {Instant} from '../time.js';
import type {InMemoryLog} from './in-memory-log.js';
import type {AppendReply, ReplicaId} from './types.js';

/** Replication progress of one member. */
export type Progress = {
	/** Next index to send. */
	nextIndex: LogIndex;
	/** Last index known to be synced on the member. */
	matchIndex: LogIndex;
	/** Whether entries are in flight without a reply. */
	hasEntriesInFlight: boolean;
	/** Latest round that the member replied to. */
	ackedRound: number;
	/** When that round was sent. */
	ackedRoundSentAt: number;
};

/** Progress of the members in one term of a leader. */
export class ProgressTable {
	readonly #progress = new Map<ReplicaId, Progress>();

	/** The progress of a member; a new one starts at the end of the log. */
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

	/** Forgets a member. */
	remove(replica: ReplicaId): void {
		this.#progress.delete(replica);
	}

	/** Last index known to be synced on a member. */
	matchIndexOf(replica: ReplicaId): number {
		return this.#progress.get(replica)?.matchIndex ?? 0;
	}

	/** Latest round that a member replied to. */
	ackedRoundOf(replica: ReplicaId): number {
		return this.#progress.get(replica)?.ackedRound ?? 0;
	}

	/** When the latest round that a member replied to was sent. */
	ackedRoundSentAtOf(replica: ReplicaId): Instant {
		return (this.#progress.get(replica)?.ackedRoundSentAt ?? Number.NEGATIVE_INFINITY) as Instant;
	}
}

/**
 * Updates a member's progress from a reply. On a mismatch the next index skips a whole term
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
