/** Times and bounds of the control log. */
import type {ConsensusTimings} from '@baobabpier/core';

/** How often a replica's timer steps it. */
export const tickMs = 100;

/** Log bytes after which a replica takes a snapshot. */
export const snapshotBytes = 16 * 1024 * 1024;

/** A leader is missed after 700 to 1100 ms, so that another leads within two seconds. */
export const consensusTimings: ConsensusTimings = {
	heartbeatIntervalMs: 300,
	minElectionTimeoutMs: 700,
	maxElectionTimeoutMs: 1100,
	leaseDurationMs: 500,
	pauseThresholdMs: 300,
	voterReplacementTimeoutMs: 2500,
	maxEntriesPerMessage: 256,
};

/** How long a command or a barrier is tried in all. */
export const submitMs = 4000;

/** How long one try may take at the leader. */
export const attemptMs = 1500;

/** Pause before a command is tried again. */
export const retryMs = 50;

/** How long a follower's fetch waits at its source for news. */
export const fetchWaitMs = 1500;

/** How long an instance tries to learn from a majority before it goes by what those that answer hold. */
export const catchUpMs = 4000;

/** How often a replica without a place in the log asks for one. */
export const joinMs = 300;
