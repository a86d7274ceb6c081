import {setTimeout as sleep} from 'node:timers/promises';
import {
	createSeededRandom, QUOTA_REFUND, QUOTA_TAKE, toId,
} from '@baobabpier/core';
import type {
	InstanceId, QuotaAnswer, QuotaTakeParams, QuotaTolerance, TeamName, TeamQuota,
} from '@baobabpier/core';
import {expect, test} from 'vitest';
import {monotonicClock} from '../../monotonic-clock.js';
import type {Peers} from '../../rpc/peers.js';
import {TeamQuotas} from '../../teams/team-quotas.js';
import type {QuotaOutcome, QuotaScope} from '../../teams/team-quotas.js';

const team = toId<TeamName>('red');
const quota: TeamQuota = {
	unit: 'tokens', perSecond: 1000, burst: 1000, plainTokens: 200,
};
const granted: QuotaAnswer = {kind: 'granted'};
const usedUp: QuotaAnswer = {kind: 'denied', availableInMs: 700, isCertain: true};
const unsure: QuotaAnswer = {kind: 'denied', availableInMs: 60, isCertain: false};
/** A tolerance so large that an instance alone admits every request of a test. */
const ampleTolerance: QuotaTolerance = {windowMs: 8000, overshoot: 100, slack: 1_000_000};

type Case = {
	readonly name: string;
	/** Answers of the leader to one question after another; the last one repeats, and `silent` stands for none. */
	readonly answers: ReadonlyArray<QuotaAnswer | 'silent'>;
	readonly leader?: string | undefined;
	readonly tolerance?: QuotaTolerance | undefined;
	readonly remainingMs?: number;
	readonly outcome: {readonly kind: QuotaOutcome['kind']; readonly retryAfterMs?: number | undefined};
	readonly results: readonly string[];
};

const start = ({answers, leader, tolerance}: Pick<Case, 'answers' | 'leader' | 'tolerance'>) => {
	const calls: Array<{method: string; params: QuotaTakeParams}> = [];
	const results: string[] = [];
	let next = 0;
	const peers = {
		get: () => ({
			async call({method}: {method: string}, params: QuotaTakeParams) {
				calls.push({method, params});
				const answer = method === QUOTA_TAKE.method ? answers[Math.min(next++, answers.length - 1)] : {};
				if (answer === 'silent') {
					throw new Error('no answer');
				}

				return answer;
			},
		}),
	} as unknown as Peers;
	const quotas = new TeamQuotas({
		self: toId<InstanceId>('e1'), clock: monotonicClock, random: createSeededRandom(1), peers, leader: () => leader === undefined ? undefined : toId<InstanceId>(leader), instances: () => 1, isFirstStart: true, tolerance, countResult(result) {
			results.push(result);
		},
	});
	return {quotas, calls, results};
};

const scopeOf = (remainingMs: number): QuotaScope => ({reason: undefined, signal: new AbortController().signal, remainingMs: () => remainingMs});

test.each<Case>([
	{
		name: 'is granted by the leader', answers: [granted], leader: 'c1', outcome: {kind: 'granted'}, results: ['granted'],
	},
	{
		name: 'of a team without a quota at the leader is granted', answers: [{kind: 'unlimited'}], leader: 'c1', outcome: {kind: 'granted'}, results: ['granted'],
	},
	{
		name: 'beyond the quota is denied with the time of its turn', answers: [usedUp], leader: 'c1', outcome: {kind: 'denied', retryAfterMs: 700}, results: ['denied'],
	},
	{
		name: 'waits for a new leader that is not sure yet', answers: [unsure, granted], leader: 'c1', outcome: {kind: 'granted'}, results: ['granted'],
	},
	{
		name: 'is not told that its quota is used up by a leader that is not sure', answers: [unsure], leader: 'c1', remainingMs: 200, outcome: {kind: 'unavailable', retryAfterMs: 60}, results: ['unavailable'],
	},
	{
		name: 'waits while the leader is silent', answers: ['silent', granted], leader: 'c1', remainingMs: 5000, outcome: {kind: 'granted'}, results: ['granted'],
	},
	{
		name: 'is refused, not denied, where the leader stays silent', answers: ['silent'], leader: 'c1', remainingMs: 300, outcome: {kind: 'unavailable', retryAfterMs: undefined}, results: ['unavailable'],
	},
	{
		name: 'is served from the tolerance where the leader is silent', answers: ['silent'], leader: 'c1', tolerance: ampleTolerance, outcome: {kind: 'granted'}, results: ['isolated'],
	},
	{
		name: 'is served from the tolerance where no leader is known', answers: [], leader: undefined, tolerance: ampleTolerance, outcome: {kind: 'granted'}, results: ['isolated'],
	},
])('a request $name', async ({answers, leader, tolerance, remainingMs = 1000, outcome, results}) => {
	const harness = start({answers, leader, tolerance});
	expect(await harness.quotas.acquire(team, quota, 500, scopeOf(remainingMs))).toMatchObject(outcome);
	expect(harness.results).toEqual(results);
});

test('a request that was not run returns its credit to the leader, and one served alone returns none', async () => {
	const harness = start({answers: [granted, 'silent'], leader: 'c1', tolerance: ampleTolerance});
	const outcomes = [await harness.quotas.acquire(team, quota, 500, scopeOf(1000)), await harness.quotas.acquire(team, quota, 500, scopeOf(1000))];
	expect(outcomes.map(({kind}) => kind)).toEqual(['granted', 'granted']);
	for (const outcome of outcomes) {
		if (outcome.kind === 'granted') {
			outcome.refund();
		}
	}

	expect(harness.calls.filter(({method}) => method === QUOTA_REFUND.method).map(({params}) => params)).toEqual([{instance: 'e1', team, cost: 500}]);
});

test('requests beside one that found the leader silent do not ask it as well', async () => {
	const harness = start({answers: ['silent'], leader: 'c1', tolerance: ampleTolerance});
	await Promise.all([1, 2, 3].map(async () => harness.quotas.acquire(team, quota, 500, scopeOf(1000))));
	const asked = harness.calls.length;
	await harness.quotas.acquire(team, quota, 500, scopeOf(1000));
	expect(harness.calls).toHaveLength(asked);
	await sleep(320);
	await harness.quotas.acquire(team, quota, 500, scopeOf(1000));
	expect(harness.calls).toHaveLength(asked + 1);
});
