import {expect, test} from 'vitest';
import {planMembershipChange} from '@baobabpier/core';
import type {ReplicaId} from '@baobabpier/core';

const id = (name: string): ReplicaId => `${name}/1` as ReplicaId;
const [a, b, c, d, e] = ['a', 'b', 'c', 'd', 'e'].map(name => id(name)) as [ReplicaId, ReplicaId, ReplicaId, ReplicaId, ReplicaId];

const cases = [
	{
		name: 'a new replica becomes a learner first', voters: [a, b, c], learners: [], seen: [d], silent: [c], current: [], after: {voters: [a, b, c], learners: [d]},
	},
	{
		name: 'a caught-up learner becomes a voter beside an unresponsive voter', voters: [a, b, c], learners: [d], seen: [], silent: [c], current: [b, d], after: {voters: [a, b, c, d], learners: []},
	},
	{
		name: 'the unresponsive voter is removed once its replacement is a voter', voters: [a, b, c, d], learners: [], seen: [], silent: [c], current: [b, d], after: {voters: [a, b, d], learners: []},
	},
	{
		name: 'a learner is not promoted while all voters respond', voters: [a, b, c], learners: [d], seen: [], silent: [], current: [b, c, d], after: undefined,
	},
	{
		name: 'a lagging learner is not promoted', voters: [a, b, c], learners: [d], seen: [], silent: [c], current: [b], after: undefined,
	},
	{
		name: 'an unresponsive voter stays while there is no replacement', voters: [a, b, c], learners: [], seen: [], silent: [c], current: [b], after: undefined,
	},
	{
		name: 'a learner is promoted when there are too few voters', voters: [a, b], learners: [d, e], seen: [], silent: [], current: [b, d, e], after: {voters: [a, b, d], learners: [e]},
	},
	{
		name: 'the leader never removes itself', voters: [a, b, c, d], learners: [], seen: [], silent: [a], current: [b, c, d], after: undefined,
	},
];

test.each(cases)('with a target of three voters, $name', ({voters, learners, seen, silent, current, after}) => {
	const next = planMembershipChange({voters, learners}, {
		self: a,
		targetVoterCount: 3,
		joinRequests: new Map(seen.map(replica => [replica, replica])),
		isCaughtUp: replica => (current as readonly ReplicaId[]).includes(replica),
		isUnresponsive: replica => (silent as readonly ReplicaId[]).includes(replica),
	});
	expect(next).toEqual(after);
});
