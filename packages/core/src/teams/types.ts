/** Teams of callers: who they are, and how much they may send. */
import type {KeyDigest, TeamName} from '../ids.js';

/** What a team may send, over all instances together. */
export type TeamQuota = {
	/** What the figures count. */
	readonly unit: 'requests' | 'tokens';
	/** Requests or tokens a second. */
	readonly perSecond: number;
	/** Requests or tokens that a team which has sent nothing for a while may send at once. */
	readonly burst: number;
	/** Cost of a request that states no tokens, in tokens. */
	readonly plainTokens: number;
};

/** A team of the routing configuration. */
export type Team = {
	readonly name: TeamName;
	readonly keys: readonly KeyDigest[];
	/** Priority of its requests, 0 being the most urgent; undefined for that of their route. */
	readonly priority: number | undefined;
	/** Undefined for a team that may send any number of requests. */
	readonly quota: TeamQuota | undefined;
};

/** How far the requests of a team may exceed its quota, which leaves room for instances without contact to the leader. */
export type QuotaTolerance = {
	/** Length of the sliding window over which it is judged, in milliseconds. */
	readonly windowMs: number;
	/** Relative excess. */
	readonly overshoot: number;
	/** Excess beyond that, in tokens; a quota in requests has none. */
	readonly slack: number;
};

/**
 * What a team's requests may exceed its quota by in one window, over all instances.
 *
 * @example
 * excessOf({unit: 'tokens', perSecond: 1000, burst: 2000, plainTokens: 200}, {windowMs: 8000, overshoot: 0.1, slack: 500}); // 1500
 */
export const excessOf = ({unit, perSecond, burst}: TeamQuota, {windowMs, overshoot, slack}: QuotaTolerance): number => (overshoot * ((perSecond * windowMs / 1000) + burst)) + (unit === 'tokens' ? slack : 0);

/**
 * The cost of a request under a quota.
 *
 * @example
 * costOf({unit: 'tokens', perSecond: 1000, burst: 1000, plainTokens: 200}, {promptTokens: 0, maxTokens: 0}); // 200
 */
export const costOf = ({unit, plainTokens}: TeamQuota, {promptTokens, maxTokens}: {readonly promptTokens: number; readonly maxTokens: number}): number => {
	if (unit === 'requests') {
		return 1;
	}

	const tokens = promptTokens + maxTokens;
	return tokens > 0 ? tokens : plainTokens;
};
