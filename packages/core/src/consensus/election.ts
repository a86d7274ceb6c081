/** The election timeout of a replica and the votes of its current candidacy. */
import type {RandomSource} from '../random.js';
import {addMs} from '../time.js';
import type {Instant} from '../time.js';
import {VoteTally} from './vote-tally.js';
import type {ConsensusTimings, ReplicaId, ReplicaMembership} from './types.js';

/** Fraction of a slot over which a timeout is randomized: the rest keeps the timeouts of two voters further apart than a timer's tick. */
const slotJitter = 0.25;

/** A replica's position among the voters, which decides when its election timeout ends. */
export type ElectionSlot = {
	/** From 0 to `count` - 1. */
	readonly position: number;
	readonly count: number;
};

/**
 * The election timer and the votes of the phase in progress. The timeouts of the voters end in consecutive slots of the election
 * timeout's range, each at a random time early in its slot: replicas that lost their leader or started at the same moment would
 * otherwise often become candidates together and split the vote.
 */
export class Election {
	#deadline: Instant;
	#tally: VoteTally | undefined;
	#ownVoteSequence: number | undefined;

	constructor(private readonly timings: ConsensusTimings, private readonly random: RandomSource, private readonly slot: () => ElectionSlot, now: Instant) {
		this.#deadline = this.#randomDeadline(now);
	}

	/** The phase in progress. */
	get phase(): VoteTally['phase'] | undefined {
		return this.#tally?.phase;
	}

	/** Whether the election timeout has elapsed. */
	isTimedOut(now: Instant): boolean {
		return now >= this.#deadline;
	}

	/** Restarts the election timeout. */
	resetTimer(now: Instant): void {
		this.#deadline = this.#randomDeadline(now);
	}

	/** Starts a phase with no votes. */
	startPhase(phase: VoteTally['phase'], now: Instant): void {
		this.#tally = new VoteTally(phase);
		this.resetTimer(now);
	}

	/** Ends the phase in progress. */
	end(): void {
		this.#tally = undefined;
	}

	/** Counts a vote of the phase in progress; votes of other phases are stale. */
	recordVote(voter: ReplicaId, phase: VoteTally['phase']): void {
		if (this.phase === phase) {
			this.#tally!.add(voter);
		}
	}

	/** Counts the replica's own vote only once it is synced. */
	awaitOwnVoteSync(sequence: number): void {
		this.#ownVoteSequence = sequence;
	}

	/** Records a sync, and counts the replica's own vote if it is synced. */
	handleSynced(sequence: number, self: ReplicaId): void {
		if (this.#ownVoteSequence !== undefined && sequence >= this.#ownVoteSequence) {
			this.#ownVoteSequence = undefined;
			this.recordVote(self, 'vote');
		}
	}

	/** Whether a majority granted the phase in progress. */
	isWon(membership: ReplicaMembership): boolean {
		return this.#tally?.isWon(membership) ?? false;
	}

	#randomDeadline(now: Instant): Instant {
		const {minElectionTimeoutMs, maxElectionTimeoutMs} = this.timings;
		const {position, count} = this.slot();
		return addMs(now, minElectionTimeoutMs + ((position + (this.random.next() * slotJitter)) / count * (maxElectionTimeoutMs - minElectionTimeoutMs)));
	}
}
