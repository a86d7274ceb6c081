/** Who votes: majorities, and changes by one replica at a time (Ongaro's thesis, 2014, chapter 4). */
import {instanceOf} from './types.js';
import type {ReplicaMembership, ReplicaId} from './types.js';

/**
 * How many voters make a majority.
 *
 * @example
 * quorumOf({voters: [a, b, c], learners: []}); // 2
 */
export const quorumOf = ({voters}: ReplicaMembership): number => Math.floor(voters.length / 2) + 1;

/**
 * The highest value that a majority has reached.
 *
 * @example
 * majorityValue({voters: [a, b, c], learners: []}, id => matches.get(id)); // The median
 */
export const highestMajorityValue = (membership: ReplicaMembership, valueOf: (replica: ReplicaId) => number): number => {
	const values = membership.voters.map(voter => valueOf(voter)).sort((a, b) => b - a);
	return values[quorumOf(membership) - 1] ?? Number.NEGATIVE_INFINITY;
};

/** Whether a replica gets entries. */
export const isMember = ({voters, learners}: ReplicaMembership, replica: ReplicaId): boolean => voters.includes(replica) || learners.includes(replica);

/** What the planning of a change knows. */
export type MembershipPlanContext = {
	readonly self: ReplicaId;
	/** The latest replica of each instance that asked to join. */
	readonly joinRequests: ReadonlyMap<string, ReplicaId>;
	/** Whether a replica holds everything accepted and answers. */
	readonly isCaughtUp: (replica: ReplicaId) => boolean;
	/** Voters wanted; a learner beyond them only replaces a silent voter. Unbounded when undefined. */
	readonly targetVoterCount?: number | undefined;
	/** Whether a replica was not heard for so long that another may take its place. */
	readonly isUnresponsive?: (replica: ReplicaId) => boolean;
};

const without = (list: readonly ReplicaId[], replica: ReplicaId): readonly ReplicaId[] => list.filter(id => id !== replica);

/** Adds replicas that asked to join, as learners, in place of a learner that lost its disk again. */
const planLearnerAddition = ({voters, learners}: ReplicaMembership, {joinRequests: joinRequests}: MembershipPlanContext): ReplicaMembership | undefined => {
	for (const [instance, replica] of joinRequests) {
		if (!voters.includes(replica) && !learners.includes(replica)) {
			return {voters, learners: [...learners.filter(id => instanceOf(id) !== instance), replica]};
		}
	}

	return undefined;
};

const findUnresponsiveVoter = ({voters}: ReplicaMembership, {self, isUnresponsive: isUnresponsive}: MembershipPlanContext): ReplicaId | undefined =>
	voters.find(id => id !== self && isUnresponsive?.(id) === true);

/** Whether another voter is wanted: too few vote, or one of them is silent. */
const needsVoter = (membership: ReplicaMembership, context: MembershipPlanContext): boolean =>
	context.targetVoterCount === undefined || membership.voters.length < context.targetVoterCount || (membership.voters.length === context.targetVoterCount && findUnresponsiveVoter(membership, context) !== undefined);

/** Takes the vote from a silent replica once another was added in its place. */
const planVoterRemoval = (membership: ReplicaMembership, context: MembershipPlanContext): ReplicaMembership | undefined => {
	const unresponsive = context.targetVoterCount !== undefined && membership.voters.length > context.targetVoterCount ? findUnresponsiveVoter(membership, context) : undefined;
	return unresponsive === undefined ? undefined : {voters: without(membership.voters, unresponsive), learners: membership.learners};
};

/** Makes a refilled learner a voter; the voter that lost its disk goes first. */
const planLearnerPromotion = (membership: ReplicaMembership, context: MembershipPlanContext): ReplicaMembership | undefined => {
	const {voters, learners} = membership;
	const {self, isCaughtUp: isCaughtUp} = context;
	for (const learner of learners) {
		if (!isCaughtUp(learner)) {
			continue;
		}

		const replaced = voters.find(id => instanceOf(id) === instanceOf(learner));
		if (replaced === undefined) {
			if (needsVoter(membership, context)) {
				return {voters: [...voters, learner], learners: without(learners, learner)};
			}

			continue;
		}

		const remaining = without(voters, replaced);
		if (replaced !== self && remaining.every(id => id === self || isCaughtUp(id))) {
			return {voters: remaining, learners};
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
export const planMembershipChange = (membership: ReplicaMembership, context: MembershipPlanContext): ReplicaMembership | undefined =>
	planLearnerAddition(membership, context) ?? planVoterRemoval(membership, context) ?? planLearnerPromotion(membership, context);
