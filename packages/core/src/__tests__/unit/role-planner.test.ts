import {expect, test} from 'vitest';
import {RolePlanner, toId} from '@baobabpier/core';
import type {
	EngineId, EngineRole, Instant, RoleCandidate,
} from '@baobabpier/core';

const at = (ms: number): Instant => ms as Instant;
const capacity = {pieces: 3500};
const prefillTokensPerMs = 45;

type Candidate = {-readonly [Key in keyof RoleCandidate]: RoleCandidate[Key]};

const engines = (prefill: number, decode: number): Candidate[] => [
	...Array.from<unknown, Candidate>({length: prefill}, (_, index) => ({
		id: toId<EngineId>(`p${index}`), role: 'prefill', running: 0, queuedTokens: 1000 - index,
	})),
	...Array.from<unknown, Candidate>({length: decode}, (_, index) => ({
		id: toId<EngineId>(`d${index}`), role: 'decode', running: 9 - index, queuedTokens: 0,
	})),
];

/** Replays requests of one kind for `ms` milliseconds; returns every role change with its time. */
const replay = (planner: RolePlanner, fleet: ReturnType<typeof engines>, load: {readonly perSecond: number; readonly tokens: number; readonly pieces: number; readonly heldMs: number}, from: number, ms: number) => {
	const changes: Array<{readonly at: number; readonly role: EngineRole}> = [];
	planner.setPrefillRate(prefillTokensPerMs);
	const stepMs = 100;
	let pendingGrants = 0;
	for (let now = from; now < from + ms; now += stepMs) {
		pendingGrants += load.perSecond * stepMs / 1000;
		for (; pendingGrants >= 1; pendingGrants -= 1) {
			planner.recordGrant(load.tokens);
		}

		planner.recordMemoryUse(Math.min(load.perSecond * load.heldMs / 1000 * load.pieces, fleet.filter(({role}) => role === 'decode').length * capacity.pieces), at(now));
		for (const {engine, role} of planner.plan(fleet, at(now))) {
			changes.push({at: now, role});
			fleet.find(({id}) => id === engine)!.role = role;
		}
	}

	return changes;
};

const longAnswers = {
	perSecond: 9, tokens: 5200, pieces: 345, heldMs: 3400,
};
const longPrompts = {
	perSecond: 9, tokens: 11_000, pieces: 700, heldMs: 600,
};

const cases = [
	{
		name: 'long answers fill decode memory while prefill engines idle', load: longAnswers, fleet: [3, 5], prefill: 2,
	},
	{
		name: 'the split already fits the load', load: longAnswers, fleet: [2, 6], prefill: 2,
	},
	{
		name: 'long prompts with short answers', load: longPrompts, fleet: [2, 6], prefill: 5,
	},
	{
		name: 'many engines change a few at a time', load: {...longAnswers, perSecond: 45}, fleet: [15, 27], prefill: 11,
	},
] as const;

test.each(cases)('settles at $prefill prefill engines when $name', ({load, fleet: [prefill, decode], prefill: expected}) => {
	const fleet = engines(prefill, decode);
	const planner = new RolePlanner(capacity);
	replay(planner, fleet, load, 0, 120_000);
	expect(fleet.filter(({role}) => role === 'prefill')).toHaveLength(expected);
	expect(replay(planner, fleet, load, 120_000, 120_000)).toEqual([]);
});

test('changes nothing during a four-second burst of long prompts', () => {
	const fleet = engines(2, 6);
	const planner = new RolePlanner(capacity);
	replay(planner, fleet, longAnswers, 0, 60_000);
	expect(replay(planner, fleet, longPrompts, 60_000, 4000)).toEqual([]);
});

test('changes the least busy engine, and never the last one of a role', () => {
	const planner = new RolePlanner(capacity);
	const fleet = engines(3, 5);
	expect(replay(planner, fleet, longAnswers, 0, 40_000)).toHaveLength(1);
	expect(fleet.find(({id}) => id === 'p2')!.role).toBe('decode');
	const two = engines(1, 1);
	expect(replay(new RolePlanner(capacity), two, longAnswers, 0, 60_000)).toEqual([]);
});

const expectedMix = {promptTokens: 5200, pieces: 355, decodeMs: 3400};

test.each([
	{name: '8 engines', fleet: [3, 5], prefill: 2},
	{name: '42 engines', fleet: [15, 27], prefill: 11},
] as const)('splits $name by the expected mix before the first request', ({fleet: [prefill, decode], prefill: expected}) => {
	const fleet = engines(prefill, decode).map(engine => ({...engine, running: 0}));
	const planner = new RolePlanner(capacity, expectedMix);
	const changes = replay(planner, fleet, {...longAnswers, perSecond: 0}, 0, 2000);
	expect(new Set(changes.map(({at: time}) => time)).size).toBe(1);
	expect(fleet.filter(({role}) => role === 'prefill')).toHaveLength(expected);
	expect(replay(planner, fleet, {...longAnswers, perSecond: fleet.length}, 2000, 60_000)).toEqual([]);
});

test.each([
	{name: 'keeps decode engines while their memory is needed for bursts', perSecond: 9, prefill: 1},
	{name: 'replaces a lost prefill engine once there is room', perSecond: 4, prefill: 2},
])('$name', ({perSecond, prefill}) => {
	const fleet = engines(1, 6);
	replay(new RolePlanner(capacity, expectedMix), fleet, {...longAnswers, perSecond}, 0, 60_000);
	expect(fleet.filter(({role}) => role === 'prefill')).toHaveLength(prefill);
});

test('changes nothing while the list of engines still grows', () => {
	const fleet = engines(3, 3).map(engine => ({...engine, running: 0}));
	const planner = new RolePlanner(capacity, expectedMix);
	const idle = {...longAnswers, perSecond: 0};
	expect(replay(planner, fleet, idle, 0, 1000)).toEqual([]);
	fleet.push(...engines(0, 5).slice(3).map(engine => ({...engine, running: 0})));
	replay(planner, fleet, idle, 1000, 3000);
	expect(fleet.filter(({role}) => role === 'prefill')).toHaveLength(2);
});

test('the observed load takes precedence over the expected mix', () => {
	const fleet = engines(2, 6);
	replay(new RolePlanner(capacity, expectedMix), fleet, longPrompts, 0, 120_000);
	expect(fleet.filter(({role}) => role === 'prefill')).toHaveLength(5);
});

test('a prefill engine that is lost under load and back within seconds causes no change of role', () => {
	const planner = new RolePlanner(capacity);
	const fleet = engines(2, 4);
	const load = {
		perSecond: 6, tokens: 9000, pieces: 345, heldMs: 2870,
	};
	expect(replay(planner, fleet, load, 0, 60_000)).toEqual([]);
	expect(replay(planner, fleet.filter(({id}) => id !== toId<EngineId>('p0')), load, 60_000, 6000)).toEqual([]);
	expect(replay(planner, fleet, load, 66_000, 20_000)).toEqual([]);
});

test('engines that are listed one after another at the start are split as soon as the list is whole', () => {
	const planner = new RolePlanner(capacity, {promptTokens: 5200, pieces: 355, decodeMs: 3500});
	planner.setPrefillRate(prefillTokensPerMs);
	const fleet = engines(4, 4).map(engine => ({...engine, running: engine.role === 'decode' ? 1 : 0}));
	const changes: number[] = [];
	for (let now = 0; now < 4000; now += 100) {
		changes.push(...planner.plan(fleet.slice(0, 1 + Math.floor(now / 100)), at(now)).map(() => now));
	}

	expect(changes.length).toBeGreaterThan(0);
});
