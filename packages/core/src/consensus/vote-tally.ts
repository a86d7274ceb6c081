/** Counts the votes of one election phase. */
import {quorumOf} from './replica-membership.js';
import type {ReplicaMembership, ReplicaId} from './types.js';

/** Votes granted in one phase; only voters of the membership are counted. */
export class VoteTally {
	readonly #granted = new Set<ReplicaId>();

	constructor(readonly phase: 'preVote' | 'vote') {}

	/** Counts a vote. */
	add(voter: ReplicaId): void {
		this.#granted.add(voter);
	}

	/** Whether a majority has granted. */
	isWon(membership: ReplicaMembership): boolean {
		return membership.voters.filter(voter => this.#granted.has(voter)).length >= quorumOf(membership);
	}
}
