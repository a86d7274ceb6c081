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
	/** How long a replica has not replied, in milliseconds. */
	readonly silentMs?: (replica: ReplicaId) => number;
	/** Silence after which a voter may be replaced, in milliseconds; never when undefined. */
	readonly voterReplacementTimeoutMs?: number | undefined;
	/** Silence after which a learner is removed, in milliseconds; never when undefined. */
	readonly learnerRemovalTimeoutMs?: number | undefined;
};

/** Largest number of learners that are kept while they don't reply: it bounds the membership where machines are replaced faster than learners time out. */
const maxSilentLearners = 8;

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

const isSilentFor = ({self, silentMs}: MembershipPlanContext, replica: ReplicaId, timeoutMs: number | undefined): boolean =>
	timeoutMs !== undefined && replica !== self && (silentMs?.(replica) ?? 0) > timeoutMs;

const findUnresponsiveVoter = ({voters}: ReplicaMembership, context: MembershipPlanContext): ReplicaId | undefined =>
	voters.find(id => isSilentFor(context, id, context.voterReplacementTimeoutMs));

/** Whether another voter is needed: there are too few, or one of them is unresponsive. */
const needsVoter = (membership: ReplicaMembership, context: MembershipPlanContext): boolean =>
	context.targetVoterCount === undefined || membership.voters.length < context.targetVoterCount
	|| (membership.voters.length === context.targetVoterCount && findUnresponsiveVoter(membership, context) !== undefined);

/**
 * Demotes an unresponsive voter once its replacement is a voter. It stays a member, so that it goes on from its log when it is back:
 * a replica outside of the membership would receive nothing and, with its last copy of it, not even know. A replica whose instance
 * has another one lost its disk and is removed.
 */
const planVoterDemotion = ({voters, learners}: ReplicaMembership, context: MembershipPlanContext): ReplicaMembership | undefined => {
	const demoted = context.targetVoterCount !== undefined && voters.length > context.targetVoterCount ? findUnresponsiveVoter({voters, learners}, context) : undefined;
	if (demoted === undefined) {
		return undefined;
	}

	const isSuperseded = [...voters, ...learners].some(id => id !== demoted && instanceOf(id) === instanceOf(demoted));
	return {voters: without(voters, demoted), learners: isSuperseded ? learners : [...learners, demoted]};
};

/** Removes a learner that is gone; if its instance comes back, it requests to join again. */
const planLearnerRemoval = ({voters, learners}: ReplicaMembership, context: MembershipPlanContext): ReplicaMembership | undefined => {
	const silent = learners.filter(id => isSilentFor(context, id, context.voterReplacementTimeoutMs)).sort((a, b) => context.silentMs!(b) - context.silentMs!(a));
	const [longest] = silent;
	const isGone = longest !== undefined && (silent.length > maxSilentLearners || isSilentFor(context, longest, context.learnerRemovalTimeoutMs));
	return isGone ? {voters, learners: without(learners, longest)} : undefined;
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
 * Plans the next change of the membership; each change concerns one replica.
 *
 * @example
 * planMembershipChange(membership, facts); // Undefined when no change is needed
 */
export const planMembershipChange = (membership: ReplicaMembership, context: MembershipPlanContext): ReplicaMembership | undefined =>
	planLearnerAddition(membership, context) ?? planVoterDemotion(membership, context)
	?? planLearnerPromotion(membership, context) ?? planLearnerRemoval(membership, context);
