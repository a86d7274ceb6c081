/** What an instance may admit of a team while no leader answers it. */
import type {TeamName} from '../ids.js';
import type {RandomSource} from '../random.js';
import type {Instant} from '../time.js';
import {excessOf} from './types.js';
import type {QuotaTolerance, TeamQuota} from './types.js';

/**
 * Fraction of the excess that all instances together may start with, and the fraction that they may add in one window. The leader's accounts use
 * a half; a tenth is left, since instances draw at random and may disagree on their number.
 */
const usedFraction = 0.2;

type Allowance = {
	level: number;
	filledAt: Instant;
};

/**
 * This instance's part of what requests may exceed a quota by. The part of one of many instances is mostly less than a request, so such a request is
 * admitted with the probability of the part that it needs, and the part is used up either way. On average the instances together then admit
 * what their parts add up to.
 *
 * @example
 * const allowance = new IsolatedAllowance(tolerance, random, {isFirstStart: true});
 * allowance.take(team, quota, 5070, 77, now); // Whether the request may be admitted
 */
export class IsolatedAllowance {
	readonly #allowances = new Map<TeamName, Allowance>();

	/** Without a tolerance nothing is admitted. An instance that was restarted starts with nothing, as it may have used its part before. */
	constructor(private readonly tolerance: QuotaTolerance | undefined, private readonly random: RandomSource, private readonly options: {readonly isFirstStart: boolean}) {}

	/** Takes the allowance for a request; `instances` is the number of instances that share the tolerance. */
	take(team: TeamName, quota: TeamQuota, cost: number, instances: number, now: Instant): boolean { // eslint-disable-line max-params
		if (this.tolerance === undefined) {
			return false;
		}

		const {windowMs} = this.tolerance;
		const all = usedFraction * excessOf(quota, this.tolerance);
		if (cost > all) {
			return false;
		}

		const part = all / Math.max(1, instances);
		const allowance = this.#allowances.get(team) ?? {level: this.options.isFirstStart ? part : 0, filledAt: now};
		this.#allowances.set(team, allowance);
		allowance.level = Math.min(part, allowance.level + (part * Math.max(0, now - allowance.filledAt) / windowMs));
		allowance.filledAt = now;
		const isAdmitted = this.random.next() * cost < allowance.level;
		allowance.level = Math.max(0, allowance.level - cost);
		return isAdmitted;
	}

	/** Forgets teams that the configuration dropped. */
	retain(teams: ReadonlySet<TeamName>): void {
		for (const name of this.#allowances.keys()) {
			if (!teams.has(name)) {
				this.#allowances.delete(name);
			}
		}
	}
}
