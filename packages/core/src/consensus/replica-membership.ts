/** Quorums and single-replica membership changes (Ongaro's thesis, 2014, chapter 4). */
import {instanceOf} from './types.js';
import type {ReplicaMembership, ReplicaId} from './types.js';

/**
 * Number of voters that form a majority.
 *
 * @example
 * quorumOf({voters: [a, b, c], learners: []}); // 2
 */
export const quorumOf = ({voters}: ReplicaMembership): number => Math.floor(voters.length / 2) + 1;

/**
 * The highest value that a majority of the voters has reached.
 *
 * @example
 * highestMajorityValue({voters: [a, b, c], learners: []}, id => matches.get(id)); // The median
 */
export const highestMajorityValue = (membership: ReplicaMembership, valueOf: (replica: ReplicaId) => number): number => {
	const values = membership.voters.map(voter => valueOf(voter)).sort((a, b) => b - a);
	return values[quorumOf(membership) - 1] ?? Number.NEGATIVE_INFINITY;
};

/** Whether a replica receives entries. */
export const isMember = ({voters, learners}: ReplicaMembership, replica: ReplicaId): boolean => voters.includes(replica) || learners.includes(replica);

/** Input for planning a membership change. */
export type MembershipPlanContext = {
	readonly self: ReplicaId;
	/** The latest replica of each instance that requested to join. */
	readonly joinRequests: ReadonlyMap<string, ReplicaId>;
	/** Whether a replica has all committed entries and replied recently. */
	readonly isCaughtUp: (replica: ReplicaId) => boolean;
	/** Desired number of voters; further learners only replace unresponsive voters. Unbounded when undefined. */
	readonly targetVoterCount?: number | undefined;
	/** Whether a replica has not replied for long enough to be replaced. */
	readonly isUnresponsive?: (replica: ReplicaId) => boolean;
};

const without = (list: readonly ReplicaId[], replica: ReplicaId): readonly ReplicaId[] => list.filter(id => id !== replica);

/** Adds a joining replica as a learner; it replaces an earlier learner of the same instance that lost its disk. */
const planLearnerAddition = ({voters, learners}: ReplicaMembership, {joinRequests}: MembershipPlanContext): ReplicaMembership | undefined => {
	for (const [instance, replica] of joinRequests) {
		if (!voters.includes(replica) && !learners.includes(replica)) {
			return {voters, learners: [...learners.filter(id => instanceOf(id) !== instance), replica]};
		}
	}

	return undefined;
};

const findUnresponsiveVoter = ({voters}: ReplicaMembership, {self, isUnresponsive}: MembershipPlanContext): ReplicaId | undefined =>
	voters.find(id => id !== self && isUnresponsive?.(id) === true);

/** Whether another voter is needed: there are too few, or one of them is unresponsive. */
const needsVoter = (membership: ReplicaMembership, context: MembershipPlanContext): boolean =>
	context.targetVoterCount === undefined || membership.voters.length < context.targetVoterCount
	|| (membership.voters.length === context.targetVoterCount && findUnresponsiveVoter(membership, context) !== undefined);

/** Removes an unresponsive voter once its replacement is a voter. */
const planVoterRemoval = (membership: ReplicaMembership, context: MembershipPlanContext): ReplicaMembership | undefined => {
	const unresponsive = context.targetVoterCount !== undefined && membership.voters.length > context.targetVoterCount ? findUnresponsiveVoter(membership, context) : undefined;
	return unresponsive === undefined ? undefined : {voters: without(membership.voters, unresponsive), learners: membership.learners};
};

/** Promotes a learner that has caught up; the voter of the same instance that lost its disk is removed first. */
const planLearnerPromotion = (membership: ReplicaMembership, context: MembershipPlanContext): ReplicaMembership | undefined => {
	const {voters, learners} = membership;
	const {self, isCaughtUp} = context;
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
 * Plans the next change that makes joining replicas voters; each change differs by one replica.
 *
 * @example
 * planMembershipChange(membership, facts); // Undefined when no change is needed
 */
export const planMembershipChange = (membership: ReplicaMembership, context: MembershipPlanContext): ReplicaMembership | undefined =>
	planLearnerAddition(membership, context) ?? planVoterRemoval(membership, context) ?? planLearnerPromotion(membership, context);
