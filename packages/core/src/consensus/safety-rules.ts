/** The safety rules of the replicated log, one method each, so that tests can disable each and observe the violation. */
import type {LogIndex} from '../control/control-command.js';
import type {InMemoryLog} from './in-memory-log.js';
import type {ReplicaId, Term} from './types.js';

/**
 * Rules that every replica follows.
 *
 * @example
 * new SafetyRules().mayVoteFor(candidate, undefined); // True
 */
export class SafetyRules {
	/** A reply is sent only after the state it depends on is synced. */
	repliesAfterSync(): boolean {
		return true;
	}

	/** A replica with recent leader contact ignores candidates; otherwise a lease would guarantee nothing (thesis, section 6.4.1). */
	isLeaderSticky(sinceLeaderContactMs: number, minElectionTimeoutMs: number): boolean {
		return sinceLeaderContactMs < minElectionTimeoutMs;
	}

	/** One vote per term. */
	mayVoteFor(candidate: ReplicaId, vote: ReplicaId | undefined): boolean {
		return vote === undefined || vote === candidate;
	}

	/** Only a candidate whose log is at least as up-to-date gets a vote. */
	isLogUpToDate(log: InMemoryLog, lastIndex: LogIndex, lastTerm: Term): boolean {
		return lastTerm > log.lastTerm || (lastTerm === log.lastTerm && lastIndex >= log.lastIndex);
	}

	/** Only an entry of the leader's current term is committed by counting replicas (paper, section 5.4.2). */
	mayCommit(entryTerm: Term | undefined, term: Term): boolean {
		return entryTerm === term;
	}

	/** One change at a time, and none before an entry of the leader's term is committed (correction of 2015). */
	mayChangeMembership(log: InMemoryLog, commit: LogIndex, termStartIndex: LogIndex): boolean {
		return commit >= termStartIndex && log.membershipAt(commit) === log.membership;
	}

	/** A read waits for a round sent after its arrival. */
	roundForRead(nextRound: number): number {
		return nextRound;
	}
}
