/** Who votes: majorities, and changes by one replica at a time (Ongaro's thesis, 2014, chapter 4). */
import {instanceOf} from './types.js';
import type {ReplicaSet, ReplicaId} from './types.js';

/**
 * How many voters make a majority.
 *
 * @example
 * quorumOf({voters: [a, b, c], learners: []}); // 2
 */
export const quorumOf = ({voters}: ReplicaSet): number => Math.floor(voters.length / 2) + 1;

/**
 * The highest value that a majority has reached.
 *
 * @example
 * majorityValue({voters: [a, b, c], learners: []}, id => matches.get(id)); // The median
 */
export const majorityValue = (membership: ReplicaSet, valueOf: (replica: ReplicaId) => number): number => {
	const values = membership.voters.map(voter => valueOf(voter)).sort((a, b) => b - a);
	return values[quorumOf(membership) - 1] ?? Number.NEGATIVE_INFINITY;
};

/** Whether a replica gets entries. */
export const isMember = ({voters, learners}: ReplicaSet, replica: ReplicaId): boolean => voters.includes(replica) || learners.includes(replica);

/** What the planning of a change knows. */
export type MembershipFacts = {
	readonly self: ReplicaId;
	/** The latest replica of each instance that asked to join. */
	readonly seen: ReadonlyMap<string, ReplicaId>;
	/** Whether a replica holds everything accepted and answers. */
	readonly isCurrent: (replica: ReplicaId) => boolean;
	/** Voters wanted; a learner beyond them only replaces a silent voter. Unbounded when undefined. */
	readonly voters?: number | undefined;
	/** Whether a replica was not heard for so long that another may take its place. */
	readonly isSilent?: (replica: ReplicaId) => boolean;
};

const without = (list: readonly ReplicaId[], replica: ReplicaId): readonly ReplicaId[] => list.filter(id => id !== replica);

/** Adds replicas that asked to join, as learners, in place of a learner that lost its disk again. */
const planLearner = ({voters, learners}: ReplicaSet, {seen}: MembershipFacts): ReplicaSet | undefined => {
	for (const [instance, replica] of seen) {
		if (!voters.includes(replica) && !learners.includes(replica)) {
			return {voters, learners: [...learners.filter(id => instanceOf(id) !== instance), replica]};
		}
	}

	return undefined;
};

const silentVoter = ({voters}: ReplicaSet, {self, isSilent}: MembershipFacts): ReplicaId | undefined =>
	voters.find(id => id !== self && isSilent?.(id) === true);

/** Whether another voter is wanted: too few vote, or one of them is silent. */
const wantsVoter = (membership: ReplicaSet, facts: MembershipFacts): boolean =>
	facts.voters === undefined || membership.voters.length < facts.voters || (membership.voters.length === facts.voters && silentVoter(membership, facts) !== undefined);

/** Takes the vote from a silent replica once another was added in its place. */
const planRemoval = (membership: ReplicaSet, facts: MembershipFacts): ReplicaSet | undefined => {
	const silent = facts.voters !== undefined && membership.voters.length > facts.voters ? silentVoter(membership, facts) : undefined;
	return silent === undefined ? undefined : {voters: without(membership.voters, silent), learners: membership.learners};
};

/** Makes a refilled learner a voter; the voter that lost its disk goes first. */
const planPromotion = (membership: ReplicaSet, facts: MembershipFacts): ReplicaSet | undefined => {
	const {voters, learners} = membership;
	const {self, isCurrent} = facts;
	for (const learner of learners) {
		if (!isCurrent(learner)) {
			continue;
		}

		const lost = voters.find(id => instanceOf(id) === instanceOf(learner));
		if (lost === undefined) {
			if (wantsVoter(membership, facts)) {
				return {voters: [...voters, learner], learners: without(learners, learner)};
			}

			continue;
		}

		const rest = without(voters, lost);
		if (lost !== self && rest.every(id => id === self || isCurrent(id))) {
			return {voters: rest, learners};
		}
	}

	return undefined;
};

/**
 * The next change that brings the replicas that asked to join among the voters; each differs by one replica.
 *
 * @example
 * planMembership(membership, facts); // Undefined when there is nothing to do
 */
export const planMembership = (membership: ReplicaSet, facts: MembershipFacts): ReplicaSet | undefined =>
	planLearner(membership, facts) ?? planRemoval(membership, facts) ?? planPromotion(membership, facts);
