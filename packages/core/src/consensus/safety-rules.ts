/** The safety rules of the replicated log, one method each, so that tests can show what each is for. */
import type {LogIndex} from '../control/control-command.js';
import type {InMemoryLog} from './in-memory-log.js';
import type {ReplicaId, Term} from './types.js';

/**
 * What every replica keeps to.
 *
 * @example
 * new SafetyRules().mayVoteFor(candidate, undefined); // True
 */
export class SafetyRules {
	/** An answer rests on its bytes being synced. */
	repliesAfterSync(): boolean {
		return true;
	}

	/** A replica that heard a leader lets nobody disturb it, or a lease would mean nothing (thesis, section 6.4.1). */
	isLeaderSticky(sinceLeaderContactMs: number, minElectionTimeoutMs: number): boolean {
		return sinceLeaderContactMs < minElectionTimeoutMs;
	}

	/** One vote per term. */
	mayVoteFor(candidate: ReplicaId, vote: ReplicaId | undefined): boolean {
		return vote === undefined || vote === candidate;
	}

	/** Only a candidate whose log is as good as this one's gets a vote. */
	isLogUpToDate(log: InMemoryLog, lastIndex: LogIndex, lastTerm: Term): boolean {
		return lastTerm > log.lastTerm || (lastTerm === log.lastTerm && lastIndex >= log.lastIndex);
	}

	/** Only an entry of the leader's own term is accepted by counting (paper, section 5.4.2). */
	mayCommit(entryTerm: Term | undefined, term: Term): boolean {
		return entryTerm === term;
	}

	/** One change at a time, and none before an own entry is accepted (correction of 2015). */
	mayChangeMembership(log: InMemoryLog, commit: LogIndex, termStartIndex: LogIndex): boolean {
		return commit >= termStartIndex && log.membershipAt(commit) === log.membership;
	}

	/** A read waits for a round sent after it came. */
	roundForRead(nextRound: number): number {
		return nextRound;
	}
}
