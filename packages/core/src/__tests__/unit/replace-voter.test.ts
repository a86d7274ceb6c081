import {expect, test} from 'vitest';
import {planMembershipChange} from '@baobabpier/core';
import type {ReplicaId, ReplicaMembership} from '@baobabpier/core';

const id = (name: string, storage = '1'): ReplicaId => `${name}/${storage}` as ReplicaId;
const [a, b, c, d, e] = ['a', 'b', 'c', 'd', 'e'].map(name => id(name)) as [ReplicaId, ReplicaId, ReplicaId, ReplicaId, ReplicaId];
const c2 = id('c', '2');
/** Silence of a replica that was away for a while, and of one that is gone, in milliseconds. */
const awayMs = 3000;
const goneMs = 70_000;
const spares = Array.from({length: 9}, (_, index) => id(`s${index}`));

type Case = {
	readonly name: string;
	readonly voters: readonly ReplicaId[];
	readonly learners: readonly ReplicaId[];
	readonly seen?: readonly ReplicaId[];
	readonly silent?: ReadonlyMap<ReplicaId, number>;
	readonly current?: readonly ReplicaId[];
	readonly after: ReplicaMembership | undefined;
};

const cases: readonly Case[] = [
	{
		name: 'a new replica becomes a learner first', voters: [a, b, c], learners: [], seen: [d], silent: new Map([[c, awayMs]]), after: {voters: [a, b, c], learners: [d]},
	},
	{
		name: 'a caught-up learner becomes a voter beside an unresponsive voter', voters: [a, b, c], learners: [d], silent: new Map([[c, awayMs]]), current: [b, d], after: {voters: [a, b, c, d], learners: []},
	},
	{
		name: 'the unresponsive voter stays as a learner once its replacement is a voter', voters: [a, b, c, d], learners: [], silent: new Map([[c, awayMs]]), current: [b, d], after: {voters: [a, b, d], learners: [c]},
	},
	{
		name: 'an unresponsive voter is removed when its instance has a new disk', voters: [a, b, c, d], learners: [c2], silent: new Map([[c, awayMs]]), current: [b, d], after: {voters: [a, b, d], learners: [c2]},
	},
	{
		name: 'a learner is not promoted while all voters respond', voters: [a, b, c], learners: [d], current: [b, c, d], after: undefined,
	},
	{
		name: 'a lagging learner is not promoted', voters: [a, b, c], learners: [d], silent: new Map([[c, awayMs]]), current: [b], after: undefined,
	},
	{
		name: 'an unresponsive voter stays while there is no replacement', voters: [a, b, c], learners: [], silent: new Map([[c, goneMs]]), current: [b], after: undefined,
	},
	{
		name: 'a former voter that is back replaces the next unresponsive voter', voters: [a, b, d], learners: [c], silent: new Map([[d, awayMs]]), current: [b, c], after: {voters: [a, b, d, c], learners: []},
	},
	{
		name: 'a learner is promoted when there are too few voters', voters: [a, b], learners: [d, e], current: [b, d, e], after: {voters: [a, b, d], learners: [e]},
	},
	{
		name: 'the leader never removes itself', voters: [a, b, c, d], learners: [], silent: new Map([[a, awayMs]]), current: [b, c, d], after: undefined,
	},
	{
		name: 'a learner that is away stays', voters: [a, b, c], learners: [d], silent: new Map([[d, awayMs]]), current: [b, c], after: undefined,
	},
	{
		name: 'a learner that is gone is removed', voters: [a, b, c], learners: [d, e], silent: new Map([[d, goneMs]]), current: [b, c, e], after: {voters: [a, b, c], learners: [e]},
	},
	{
		name: 'of many learners that are away, the one silent for longest is removed', voters: [a, b, c], learners: spares, silent: new Map(spares.map((spare, index) => [spare, awayMs + (index === 4 ? 100 : 0)])), current: [b, c], after: {voters: [a, b, c], learners: spares.filter((_, index) => index !== 4)},
	},
	{
		name: 'a replica that is a learner already is not added again', voters: [a, b, c], learners: [d], seen: [d], current: [b, c, d], after: undefined,
	},
];

// Guards against replicas that are dropped from the membership while their machines are away, and against a membership without a bound
test.each(cases)('with a target of three voters, $name', ({voters, learners, seen = [], silent = new Map<ReplicaId, number>(), current = [], after}) => {
	const next = planMembershipChange({voters, learners}, {
		self: a,
		targetVoterCount: 3,
		joinRequests: new Map(seen.map(replica => [replica, replica])),
		isCaughtUp: replica => current.includes(replica),
		silentMs: replica => silent.get(replica) ?? 0,
		voterReplacementTimeoutMs: 2500,
		learnerRemovalTimeoutMs: 60_000,
	});
	expect(next).toEqual(after);
});
