import {expect, test} from 'vitest';
import {planMembershipChange} from '@baobabpier/core';
import type {ReplicaId} from '@baobabpier/core';

const id = (name: string): ReplicaId => `${name}/1` as ReplicaId;
const [a, b, c, d, e] = ['a', 'b', 'c', 'd', 'e'].map(name => id(name)) as [ReplicaId, ReplicaId, ReplicaId, ReplicaId, ReplicaId];

const cases = [
	{
		name: 'a new replica is learning first', voters: [a, b, c], learners: [], seen: [d], silent: [c], current: [], after: {voters: [a, b, c], learners: [d]},
	},
	{
		name: 'a refilled learner votes beside a silent voter', voters: [a, b, c], learners: [d], seen: [], silent: [c], current: [b, d], after: {voters: [a, b, c, d], learners: []},
	},
	{
		name: 'the silent voter goes once the other votes', voters: [a, b, c, d], learners: [], seen: [], silent: [c], current: [b, d], after: {voters: [a, b, d], learners: []},
	},
	{
		name: 'a learner stays one while all voters are heard', voters: [a, b, c], learners: [d], seen: [], silent: [], current: [b, c, d], after: undefined,
	},
	{
		name: 'a learner that lags takes no place', voters: [a, b, c], learners: [d], seen: [], silent: [c], current: [b], after: undefined,
	},
	{
		name: 'a silent voter stays while nobody can take its place', voters: [a, b, c], learners: [], seen: [], silent: [c], current: [b], after: undefined,
	},
	{
		name: 'too few voters take a learner at once', voters: [a, b], learners: [d, e], seen: [], silent: [], current: [b, d, e], after: {voters: [a, b, d], learners: [e]},
	},
	{
		name: 'the leader itself never goes', voters: [a, b, c, d], learners: [], seen: [], silent: [a], current: [b, c, d], after: undefined,
	},
];

test.each(cases)('with three voters wanted, $name', ({voters, learners, seen, silent, current, after}) => {
	const next = planMembershipChange({voters, learners}, {
		self: a,
		targetVoterCount: 3,
		joinRequests: new Map(seen.map(replica => [replica, replica])),
		isCaughtUp: replica => (current as readonly ReplicaId[]).includes(replica),
		isUnresponsive: replica => (silent as readonly ReplicaId[]).includes(replica),
	});
	expect(next).toEqual(after);
});
