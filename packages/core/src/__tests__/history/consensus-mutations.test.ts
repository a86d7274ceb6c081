import {expect, test} from 'vitest';
import {profiles, runSchedules} from './consensus-schedules.js';
import type {Mutation} from './consensus-simulation.js';
import {SafetyRules} from '@baobabpier/core';

class RepliesBeforeSync extends SafetyRules {
	override repliesAfterSync(): boolean {
		return false;
	}
}

class VotesTwice extends SafetyRules {
	override mayVoteFor(): boolean {
		return true;
	}
}

class VotesForAnyLog extends SafetyRules {
	override isLogUpToDate(): boolean {
		return true;
	}
}

class ReadsWithoutRound extends SafetyRules {
	override roundForRead(): number {
		return 0;
	}
}

class IgnoresLeaderStickiness extends SafetyRules {
	override isLeaderSticky(): boolean {
		return false;
	}
}

class ChangesMembershipConcurrently extends SafetyRules {
	override mayChangeMembership(): boolean {
		return true;
	}
}

type Case = readonly [name: string, profile: keyof typeof profiles, mutation: Mutation, problem: RegExp];

const seeds = 4000;

const cases: readonly Case[] = [
	['replies wait for the sync', 'crashes', {rules: new RepliesBeforeSync()}, /do not agree|was accepted in term/v],
	['one vote per term', 'network', {rules: new VotesTwice()}, /has the leaders/v],
	['a vote requires an up-to-date log', 'freezes', {rules: new VotesForAnyLog()}, /was accepted in term|ACCEPTED_ENTRY_CHANGED/v],
	['a read waits for a round', 'freezes', {rules: new ReadsWithoutRound()}, /a read sees/v],
	['replicas with leader contact ignore candidates', 'freezes', {rules: new IgnoresLeaderStickiness()}, /holds a lease/v],
	['one membership change at a time', 'disks', {rules: new ChangesMembershipConcurrently()}, /do not agree|was accepted in term|holds a lease/v],
	['a lost disk makes a new replica', 'disks', {reusesReplicaId: true}, /was accepted in term|ACCEPTED_ENTRY_CHANGED|has the leaders/v],
	['a replica opens its storage again after a full disk', 'fullDisks', {staysFailed: true}, /do not agree/v],
	['a failed write is not confirmed', 'fullDisks', {ignoresFailedWrites: true}, /was accepted in term|ACCEPTED_ENTRY_CHANGED|has the leaders|do not agree|restarted with revision|LOG_GAP/v],
	['a catalogue is applied only once its commit is synced', 'crashes', {requiresDurableCommit: () => false}, /restarted with revision/v],
];

test.each(cases)('without the rule that %s, the profile "%s" breaks the log', (name, profile, mutation, problem) => {
	expect(() => runSchedules(profiles[profile], 1, seeds, mutation)).toThrow(problem);
});
