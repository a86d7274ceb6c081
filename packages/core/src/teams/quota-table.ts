/** The accounts of all teams at the instance that decides on their requests. */
import type {TeamName} from '../ids.js';
import type {Instant} from '../time.js';
import {QuotaAccount} from './quota-account.js';
import type {AccountLimits, QuotaDecision} from './quota-account.js';
import {excessOf} from './types.js';
import type {QuotaTolerance, Team, TeamQuota} from './types.js';

/** Fraction of the excess that an account holds beyond the burst. */
const capacityFraction = 0.5;

/** The answer to a request for credit; `unlimited` where the team has no quota, or none that is known here. */
export type QuotaAnswer = QuotaDecision | {readonly kind: 'unlimited'};

type Entry = {
	quota: TeamQuota;
	readonly account: QuotaAccount;
};

/**
 * Keeps the accounts of one leader. There is one such table at a time. Since the accounts of a new leader start empty, it and the former
 * one together stay within one capacity and the rate.
 *
 * Quotas are judged over a window of several seconds, and an account of the burst alone would deny requests that are within the quota
 * there. An account therefore holds a part of the excess that the window allows as well.
 *
 * @example
 * const table = new QuotaTable(teams, {windowMs: 8000, overshoot: 0.1, slack: 190_000}, now);
 * table.take(team, 5070, now);
 */
export class QuotaTable {
	readonly #entries = new Map<TeamName, Entry>();

	/** Without a tolerance an account holds the burst. */
	constructor(teams: readonly Team[], private readonly tolerance: QuotaTolerance | undefined, now: Instant) {
		this.apply(teams, now);
	}

	/** Number of teams with a quota. */
	get size(): number {
		return this.#entries.size;
	}

	/** Applies the teams of a new configuration. */
	apply(teams: readonly Team[], now: Instant): void {
		const kept = new Set<TeamName>();
		for (const {name, quota} of teams) {
			if (quota === undefined) {
				continue;
			}

			kept.add(name);
			const entry = this.#entries.get(name);
			if (entry?.quota.unit === quota.unit) {
				entry.quota = quota;
				entry.account.setLimits(this.#limitsOf(quota), now);
			} else {
				this.#entries.set(name, {quota, account: new QuotaAccount(this.#limitsOf(quota), now)});
			}
		}

		for (const name of this.#entries.keys()) {
			if (!kept.has(name)) {
				this.#entries.delete(name);
			}
		}
	}

	/** Takes credit for a request of a team. */
	take(team: TeamName, cost: number, now: Instant): QuotaAnswer {
		return this.#entries.get(team)?.account.take(cost, now) ?? {kind: 'unlimited'};
	}

	/** Returns the credit of a request that was not run. */
	refund(team: TeamName, cost: number, now: Instant): void {
		this.#entries.get(team)?.account.refund(cost, now);
	}

	#limitsOf(quota: TeamQuota): AccountLimits {
		const {tolerance} = this;
		return {perSecond: quota.perSecond, capacity: quota.burst + (tolerance === undefined ? 0 : capacityFraction * excessOf(quota, tolerance)), windowMs: tolerance?.windowMs};
	}
}
