/** When a replica stands for election, and how its votes count. */
import type {RandomSource} from '../random.js';
import {after} from '../time.js';
import type {Instant} from '../time.js';
import {VoteTally} from './vote-tally.js';
import type {ConsensusTimings, ReplicaId, ReplicaMembership} from './types.js';

/** The election timer and the ballot in progress. */
export class Election {
	#deadline: Instant;
	#tally: VoteTally | undefined;
	#ownVoteSequence: number | undefined;

	constructor(private readonly timings: ConsensusTimings, private readonly random: RandomSource, now: Instant) {
		this.#deadline = this.#randomDeadline(now);
	}

	/** The phase in progress. */
	get phase(): VoteTally['phase'] | undefined {
		return this.#tally?.phase;
	}

	/** Whether the leader was missed for long enough. */
	isTimedOut(now: Instant): boolean {
		return now >= this.#deadline;
	}

	/** Waits for a whole election time again. */
	resetTimer(now: Instant): void {
		this.#deadline = this.#randomDeadline(now);
	}

	/** Opens a ballot. */
	startPhase(phase: VoteTally['phase'], now: Instant): void {
		this.#tally = new VoteTally(phase);
		this.resetTimer(now);
	}

	/** Ends the ballot. */
	end(): void {
		this.#tally = undefined;
	}

	/** Counts a vote of the phase in progress; others are late. */
	recordVote(voter: ReplicaId, phase: VoteTally['phase']): void {
		if (this.phase === phase) {
			this.#tally!.add(voter);
		}
	}

	/** The own vote counts once it is synced. */
	awaitOwnVoteSync(sequence: number): void {
		this.#ownVoteSequence = sequence;
	}

	/** Notes a sync, and counts the own vote that waited for it. */
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
		const {minElectionTimeoutMs: electionMinMs, maxElectionTimeoutMs: electionMaxMs} = this.timings;
		return after(now, electionMinMs + (this.random.next() * (electionMaxMs - electionMinMs)));
	}
}
