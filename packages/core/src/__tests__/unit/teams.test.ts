import {describe, expect, test} from 'vitest';
import {
	addMs, costOf, createSeededRandom, excessOf, IsolatedAllowance, ManualClock, QuotaAccount, QuotaTable, TeamIndex, toId, validateRouting,
} from '../../index.js';
import type {
	Instant, KeyDigest, RoutingTable, RoutingVersion, Team, TeamName, TeamQuota,
} from '../../index.js';

const quota: TeamQuota = {
	unit: 'tokens', perSecond: 160_154, burst: 160_154, plainTokens: 200,
};
const tolerance = {windowMs: 8000, overshoot: 0.1, slack: 190_000};
const team = (name: string, keys: readonly string[], teamQuota: TeamQuota | undefined = quota): Team => ({
	name: toId<TeamName>(name), keys: keys.map(key => toId<KeyDigest>(key)), priority: undefined, quota: teamQuota,
});
const red = team('red', ['k1', 'k2']);
const blue = team('blue', ['k3']);
const startAt = new ManualClock().now();

describe('identity', () => {
	const index = new TeamIndex([red, blue]);
	test.each([
		{
			name: 'the key of a team', key: 'k2', isOpen: false, identity: {kind: 'team', team: red},
		},
		{
			name: 'the key of another team', key: 'k3', isOpen: false, identity: {kind: 'team', team: blue},
		},
		{
			name: 'an unknown key', key: 'k9', isOpen: false, identity: {kind: 'rejected'},
		},
		{
			name: 'no key', key: undefined, isOpen: false, identity: {kind: 'rejected'},
		},
		{
			name: 'no key on an open route', key: undefined, isOpen: true, identity: {kind: 'anonymous'},
		},
		{
			name: 'a known key on an open route', key: 'k1', isOpen: true, identity: {kind: 'team', team: red},
		},
		{
			name: 'an unknown key on an open route', key: 'k9', isOpen: true, identity: {kind: 'rejected'},
		},
	])('$name', ({key, isOpen, identity}) => {
		expect(index.identify(key === undefined ? undefined : toId<KeyDigest>(key), isOpen)).toEqual(identity);
	});

	test('a request with a key that is taken away is rejected under the next configuration', () => {
		const next = new TeamIndex([team('red', ['k1']), blue]);
		expect(next.identify(toId<KeyDigest>('k2'), false).kind).toBe('rejected');
	});
});

describe('validation', () => {
	const table = (teams: readonly Team[]): RoutingTable => ({
		version: toId<RoutingVersion>(1), routes: [], services: new Map(), limits: {
			headerBytes: 1, bodyBytes: 1, headersTimeoutMs: 1, idleTimeoutMs: 1,
		}, teams,
	});
	test.each([
		{name: 'teams with keys of their own', teams: [red, blue], faults: []},
		{name: 'one key twice in a team', teams: [team('red', ['k1', 'k1'])], faults: []},
		{name: 'two teams with one key', teams: [red, team('green', ['k2'])], faults: [{field: 'teams.1.keys.0', value: '(hidden)', problem: 'the team red has the same key'}]},
		{name: 'two teams with one name', teams: [red, team('red', ['k4'])], faults: [{field: 'teams.1.name', value: 'red', problem: 'another team has the same name'}]},
	])('$name', ({teams, faults}) => {
		expect(validateRouting(table(teams))).toEqual(faults);
	});
});

test.each([
	{
		name: 'tokens of prompt and answer', unit: 'tokens' as const, promptTokens: 5000, maxTokens: 70, cost: 5070,
	},
	{
		name: 'a request that states no tokens', unit: 'tokens' as const, promptTokens: 0, maxTokens: 0, cost: 200,
	},
	{
		name: 'a request under a quota in requests', unit: 'requests' as const, promptTokens: 5000, maxTokens: 70, cost: 1,
	},
])('the cost of $name', ({unit, promptTokens, maxTokens, cost}) => {
	expect(costOf({...quota, unit}, {promptTokens, maxTokens})).toBe(cost);
});

describe('an account', () => {
	test('starts empty, and does not say that the quota is used up until a full one would be empty too', () => {
		const account = new QuotaAccount({perSecond: 1000, capacity: 2000}, startAt);
		expect(account.take(100, startAt)).toMatchObject({kind: 'denied', isCertain: false});
		expect(account.take(2000, addMs(startAt, 2000))).toEqual({kind: 'granted'});
		expect(account.take(100, addMs(startAt, 2000))).toMatchObject({kind: 'denied', isCertain: true});
	});

	test('denied requests are told successive times', () => {
		const account = new QuotaAccount({perSecond: 1000, capacity: 1000}, startAt);
		const times = [1, 2, 3].map(() => account.take(500, startAt)).map(decision => decision.kind === 'denied' ? decision.availableInMs : 0);
		expect(times).toEqual([500, 1000, 1500]);
	});

	test.each([
		{
			name: 'a refund is credit again, up to the capacity', steps(account: QuotaAccount, now: Instant) {
				account.take(800, now);
				account.refund(5000, now);
			}, left: 1000,
		},
		{
			name: 'a lowered capacity takes credit away', steps(account: QuotaAccount, now: Instant) {
				account.setLimits({perSecond: 10, capacity: 300}, now);
			}, left: 300,
		},
		{
			name: 'a raised capacity gives none at once', steps(account: QuotaAccount, now: Instant) {
				account.setLimits({perSecond: 10, capacity: 3000}, now);
			}, left: 1000,
		},
		{
			name: 'a request over the capacity leaves a debt', steps(account: QuotaAccount, now: Instant) {
				account.take(1400, now);
				account.refund(500, now);
			}, left: 100,
		},
	])('$name', ({steps, left}) => {
		const now = addMs(startAt, 1000);
		const account = new QuotaAccount({perSecond: 1000, capacity: 1000}, startAt);
		account.take(0, now);
		steps(account, now);
		expect(account.take(left, now).kind).toBe('granted');
		expect(account.take(1, now).kind).toBe('denied');
	});
});

test('accounts of teams that stay keep their level, and others are dropped', () => {
	const now = addMs(startAt, 1000);
	const table = new QuotaTable([red, blue], undefined, startAt);
	table.take(red.name, 160_000, now);
	table.apply([red, team('green', ['k5'])], now);
	expect(table.take(red.name, 10_000, now).kind).toBe('denied');
	expect(table.take(blue.name, 10_000, now).kind).toBe('unlimited');
	expect(table.take(toId<TeamName>('green'), 10_000, now).kind).toBe('denied');
});

/** A team that sends five times its quota over all instances, with leaders that change and instances that lose contact. */
type Play = {
	readonly name: string;
	readonly seconds: number;
	/** Instances over which the requests are spread evenly. */
	readonly instances: number;
	/** When a leader begins, after the former one ended, in seconds. */
	readonly leaders: ReadonlyArray<{readonly from: number; readonly to: number}>;
	/** Instances without contact to any leader, and when. */
	readonly isolated: {readonly count: number; readonly from: number; readonly to: number};
	/** Least part of the quota that is used. */
	readonly usable: number;
};

const whole = [{from: 0, to: 60}];
const nobody = {count: 0, from: 0, to: 0};
const play = ({seconds, instances, leaders, isolated}: Play): {used: number; worst: number} => {
	const cost = 5070;
	const random = createSeededRandom(7);
	const allowances = Array.from({length: instances}, () => new IsolatedAllowance(tolerance, random, {isFirstStart: true}));
	const sendsPerSecond = (5 * quota.perSecond) / cost;
	const admitted: Array<{at: number; cost: number}> = [];
	const tables = leaders.map(({from}) => new QuotaTable([red], tolerance, addMs(startAt, from * 1000)));
	for (let number = 0; number < seconds * sendsPerSecond; number++) {
		const at = number / sendsPerSecond;
		const now = addMs(startAt, at * 1000);
		const instance = Math.floor(random.next() * instances);
		const isIsolated = instance < isolated.count && at >= isolated.from && at < isolated.to;
		const leader = isIsolated ? -1 : leaders.findIndex(({from, to}) => at >= from && at < to);
		const isAdmitted = leader === -1
			? allowances[instance]!.take(red.name, quota, cost, instances, now)
			: tables[leader]!.take(red.name, cost, now).kind === 'granted';
		if (isAdmitted) {
			admitted.push({at, cost});
		}
	}

	const sumWithin = (from: number, to: number): number => admitted.filter(({at}) => at >= from && at < to).reduce((sum, item) => sum + item.cost, 0);
	return {used: sumWithin(2, seconds) / (quota.perSecond * (seconds - 2)), worst: Math.max(...admitted.map(({at}) => sumWithin(at, at + 8)))};
};

/** What a team may have run in 8 s, over all instances. */
const bound = (((quota.perSecond * 8) + quota.burst) * (1 + tolerance.overshoot)) + tolerance.slack;

describe('a team that sends five times its quota', () => {
	test.each<Play>([
		{
			name: 'spread over 77 instances', seconds: 30, instances: 77, leaders: whole, isolated: nobody, usable: 0.95,
		},
		{
			name: 'through one instance', seconds: 30, instances: 1, leaders: whole, isolated: nobody, usable: 0.95,
		},
		{
			name: 'beside the loss of a leader for two seconds', seconds: 30, instances: 77, leaders: [{from: 0, to: 10}, {from: 12, to: 60}], isolated: nobody, usable: 0.6,
		},
		{
			name: 'while leaders change every three seconds', seconds: 30, instances: 77, leaders: Array.from({length: 10}, (_, index) => ({from: index * 3, to: (index * 3) + 2.5})), isolated: nobody, usable: 0.6,
		},
		{
			name: 'while a third of the instances is cut off', seconds: 30, instances: 77, leaders: whole, isolated: {count: 26, from: 8, to: 20}, usable: 0.95,
		},
		{
			name: 'while all instances are cut off for long', seconds: 30, instances: 77, leaders: whole, isolated: {count: 77, from: 4, to: 30}, usable: 0,
		},
	])('$name never gets more than the bound in any window', scenario => {
		const {used, worst} = play(scenario);
		expect(worst).toBeLessThanOrEqual(bound);
		expect(used).toBeGreaterThanOrEqual(scenario.usable);
	});
});

test.each([
	{name: 'half of what its quota allows in a window at once', cost: 640_000, isGranted: false},
	{name: 'a second and a half of its rate at once', cost: 240_000, isGranted: true},
])('a team that was silent may send $name', ({cost, isGranted}) => {
	const table = new QuotaTable([red], tolerance, startAt);
	const now = addMs(startAt, 60_000);
	const granted = Array.from({length: cost / 8000}, () => table.take(red.name, 8000, now).kind === 'granted');
	expect(granted.every(Boolean)).toBe(isGranted);
});

test('a request that costs more than is ever granted leaves the account as it is', () => {
	const table = new QuotaTable([red], tolerance, startAt);
	const now = addMs(startAt, 60_000);
	expect(table.take(red.name, 1e12, now)).toMatchObject({kind: 'denied', isCertain: true});
	expect(table.take(red.name, 200, now).kind).toBe('granted');
});

test('a quota in requests has no slack in tokens', () => {
	const slow = team('slow', [], {
		...quota, unit: 'requests', perSecond: 20, burst: 20,
	});
	const table = new QuotaTable([slow], tolerance, startAt);
	const now = addMs(startAt, 3_600_000);
	const granted = Array.from({length: 1000}, () => table.take(slow.name, 1, now)).filter(({kind}) => kind === 'granted').length;
	expect(granted).toBeLessThanOrEqual(((20 * 8) + 20) * 1.1);
});

test('a new account is certain of its denials after one window at the latest', () => {
	const account = new QuotaAccount({perSecond: 1, capacity: 1000, windowMs: 8000}, startAt);
	account.take(9, addMs(startAt, 9000));
	expect(account.take(5, addMs(startAt, 9000))).toMatchObject({kind: 'denied', isCertain: true});
});

test.each([
	{name: 'of one size', costs: [5070, 5070, 5070]},
	{name: 'of which the first is small', costs: [200, 5070, 5070]},
	{name: 'that grow', costs: [200, 5070, 60_000]},
])('77 instances alone admit no more at once than the tolerance leaves, for requests $name', ({costs}) => {
	const random = createSeededRandom(3);
	const allowances = Array.from({length: 77}, () => new IsolatedAllowance(tolerance, random, {isFirstStart: true}));
	const admitted = costs.reduce((sum, cost) => sum + (cost * allowances.filter(allowance => allowance.take(red.name, quota, cost, 77, startAt)).length), 0);
	expect(admitted).toBeLessThanOrEqual(0.5 * excessOf(quota, tolerance));
});

test('a restarted instance admits nothing at first', () => {
	const allowance = new IsolatedAllowance(tolerance, {next: () => 0}, {isFirstStart: false});
	expect(allowance.take(red.name, quota, 1, 1, startAt)).toBe(false);
	expect(allowance.take(red.name, quota, 1, 1, addMs(startAt, 1000))).toBe(true);
});

test('an instance without a tolerance admits nothing alone', () => {
	expect(new IsolatedAllowance(undefined, createSeededRandom(1), {isFirstStart: true}).take(red.name, quota, 1, 1, startAt)).toBe(false);
});
