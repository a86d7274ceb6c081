/** Asks the leader whether requests are within the quotas of their teams, and decides alone while no leader answers. */
import {setTimeout as sleep} from 'node:timers/promises';
import {IsolatedAllowance, QUOTA_REFUND, QUOTA_TAKE} from '@baobabpier/core';
import type {
	Clock, InstanceId, Instant, QuotaAnswer, QuotaTakeParams, QuotaTolerance, RandomSource, Team, TeamName, TeamQuota,
} from '@baobabpier/core';
import {createLog} from '../log.js';
import type {Peers} from '../rpc/peers.js';

const log = createLog('quotas');
/** Timeout of a question to the leader, in milliseconds. */
const askTimeoutMs = 250;
/** Time for which a leader that did not answer is not asked by further requests, in milliseconds. */
const silentLeaderMs = 300;
/** Interval at which a waiting request tries again, in milliseconds. */
const retryIntervalMs = 50;
/** Fraction of a request's remaining time that it may wait for a decision. */
const maxWaitFraction = 0.4;
/** Timeout of a refund, in milliseconds. */
const refundTimeoutMs = 1000;

/** Whether a request may be served. */
export type QuotaOutcome =
	/** `refund` returns the credit, for a request that was not run. */
	| {readonly kind: 'granted'; refund(): void}
	/** The quota is used up. */
	| {readonly kind: 'denied'; readonly retryAfterMs: number}
	/** No leader decided in time. */
	| {readonly kind: 'unavailable'; readonly retryAfterMs: number | undefined};

/** The part of a call's scope that a wait needs. */
export type QuotaScope = {
	readonly reason: unknown;
	readonly signal: AbortSignal;
	remainingMs(): number;
};

/** How a request came to its decision, for metrics. */
export type QuotaResult = 'granted' | 'isolated' | 'denied' | 'unavailable';

/** Dependencies of the quotas at an entry instance. */
export type TeamQuotasParts = {
	readonly self: InstanceId;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly peers: Peers;
	readonly leader: () => InstanceId | undefined;
	/** Number of entry instances that share the tolerance. */
	readonly instances: () => number;
	/** Whether no earlier incarnation of this instance can have used the tolerance. */
	readonly isFirstStart: boolean;
	/** Undefined where nothing may be served without the leader. */
	readonly tolerance: QuotaTolerance | undefined;
	readonly countResult: (result: QuotaResult) => void;
};

/** Resolves after a time, or once the call has ended. */
const waitFor = async (ms: number, signal: AbortSignal): Promise<void> => {
	try {
		await sleep(ms, undefined, {signal});
	} catch {
		// The caller of this function finds by the scope that the call has ended
	}
};

const noRefund = (): void => {
	// Nothing was taken from the leader
};

/**
 * Decides on the requests of teams with a quota.
 *
 * @example
 * const outcome = await quotas.acquire(team.name, team.quota, costOf(team.quota, call), scope);
 */
export class TeamQuotas {
	readonly #allowance: IsolatedAllowance;
	#silentUntil = Number.NEGATIVE_INFINITY;
	#silentLeader: InstanceId | undefined;

	constructor(private readonly parts: TeamQuotasParts) {
		this.#allowance = new IsolatedAllowance(parts.tolerance, parts.random, parts);
	}

	/** Takes note of the teams of a new configuration. */
	retain(teams: readonly Team[]): void {
		this.#allowance.retain(new Set(teams.map(({name}) => name)));
	}

	/** Takes the credit for a request; waits a part of its time for a leader that can tell. */
	async acquire(team: TeamName, quota: TeamQuota, cost: number, scope: QuotaScope): Promise<QuotaOutcome> {
		const outcome = await this.#acquire(team, quota, cost, scope);
		if (outcome.kind !== 'granted') {
			this.parts.countResult(outcome.kind);
		}

		return outcome;
	}

	async #acquire(team: TeamName, quota: TeamQuota, cost: number, scope: QuotaScope): Promise<QuotaOutcome> {
		const {clock, instances} = this.parts;
		const params = {instance: this.parts.self, team, cost};
		const waitUntil = clock.now() + (scope.remainingMs() * maxWaitFraction);
		while (scope.reason === undefined) {
			// eslint-disable-next-line no-await-in-loop
			const answer = await this.#ask(params);
			if (answer === undefined && this.#allowance.take(team, quota, cost, instances(), clock.now())) {
				this.parts.countResult('isolated');
				log('A request is served without the leader\'s decision on its quota.', {team, cost});
				return {kind: 'granted', refund: noRefund};
			}

			if (answer?.kind === 'granted' || answer?.kind === 'unlimited') {
				this.parts.countResult('granted');
				return {
					kind: 'granted', refund: answer.kind === 'unlimited'
						? noRefund
						: () => {
							void this.#refund(params);
						},
				};
			}

			if (answer?.kind === 'denied' && answer.isCertain) {
				return {kind: 'denied', retryAfterMs: answer.availableInMs};
			}

			const waitMs = Math.max(retryIntervalMs, answer?.availableInMs ?? 0);
			if (clock.now() + waitMs > waitUntil) {
				return {kind: 'unavailable', retryAfterMs: answer?.availableInMs};
			}

			// eslint-disable-next-line no-await-in-loop
			await waitFor(waitMs, scope.signal);
		}

		return {kind: 'unavailable', retryAfterMs: undefined};
	}

	/** Asks the leader; undefined when it doesn't answer, or did not lately. */
	async #ask(params: QuotaTakeParams): Promise<QuotaAnswer | undefined> {
		const {clock, peers} = this.parts;
		const leader = this.parts.leader();
		const isSilent = leader === this.#silentLeader && clock.now() < this.#silentUntil;
		if (leader === undefined || isSilent) {
			return undefined;
		}

		try {
			return await peers.get(leader).call(QUOTA_TAKE, params, askTimeoutMs);
		} catch (error) {
			this.#recordSilence(leader, clock.now(), error as Error);
			return undefined;
		}
	}

	#recordSilence(leader: InstanceId, now: Instant, error: Error): void {
		if (leader !== this.#silentLeader || now >= this.#silentUntil) {
			log('The leader does not decide on quotas.', {leader, detail: error.message});
		}

		this.#silentLeader = leader;
		this.#silentUntil = now + silentLeaderMs;
	}

	async #refund(params: QuotaTakeParams): Promise<void> {
		const leader = this.parts.leader();
		try {
			await (leader === undefined ? undefined : this.parts.peers.get(leader).call(QUOTA_REFUND, params, refundTimeoutMs));
		} catch (error) {
			log('The credit of a request that was not run could not be returned.', {team: params.team, detail: (error as Error).message});
		}
	}
}
