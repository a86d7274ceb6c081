/** When a replica stands for election, and how its votes count. */
import type {RandomSource} from '../random.js';
import {addMs} from '../time.js';
import type {Instant} from '../time.js';
import {Ballot} from './ballot.js';
import type {ConsensusTimings, ReplicaId, ReplicaSet} from './types.js';

/** The election timer and the ballot in progress. */
export class Campaign {
	#dueAt: Instant;
	#ballot: Ballot | undefined;
	#ownVoteAfter: number | undefined;

	constructor(private readonly timings: ConsensusTimings, private readonly random: RandomSource, now: Instant) {
		this.#dueAt = this.#draw(now);
	}

	/** The phase in progress. */
	get phase(): Ballot['phase'] | undefined {
		return this.#ballot?.phase;
	}

	/** Whether the leader was missed for long enough. */
	isDue(now: Instant): boolean {
		return now >= this.#dueAt;
	}

	/** Waits for a whole election time again. */
	postpone(now: Instant): void {
		this.#dueAt = this.#draw(now);
	}

	/** Opens a ballot. */
	open(phase: Ballot['phase'], now: Instant): void {
		this.#ballot = new Ballot(phase);
		this.postpone(now);
	}

	/** Ends the ballot. */
	close(): void {
		this.#ballot = undefined;
	}

	/** Counts a vote of the phase in progress; others are late. */
	grant(voter: ReplicaId, phase: Ballot['phase']): void {
		if (this.phase === phase) {
			this.#ballot!.grant(voter);
		}
	}

	/** The own vote counts once it is synced. */
	expectOwnVote(sequence: number): void {
		this.#ownVoteAfter = sequence;
	}

	/** Notes a sync, and counts the own vote that waited for it. */
	noteSynced(sequence: number, self: ReplicaId): void {
		if (this.#ownVoteAfter !== undefined && sequence >= this.#ownVoteAfter) {
			this.#ownVoteAfter = undefined;
			this.grant(self, 'vote');
		}
	}

	/** Whether a majority granted the phase in progress. */
	isWon(membership: ReplicaSet): boolean {
		return this.#ballot?.isWon(membership) ?? false;
	}

	#draw(now: Instant): Instant {
		const {electionMinMs, electionMaxMs} = this.timings;
		return addMs(now, electionMinMs + (this.random.next() * (electionMaxMs - electionMinMs)));
	}
}
