/** Timings and bounds of the control log. */
import type {ConsensusTimings} from '@baobabpier/core';

/** Interval of a replica's timer, in milliseconds. */
export const tickIntervalMs = 100;

/** Log bytes after which a replica takes a snapshot. */
export const snapshotBytes = 16 * 1024 * 1024;

/** Replicas detect the loss of a leader after 700 to 1100 ms, so that another one leads within two seconds. */
export const consensusTimings: ConsensusTimings = {
	heartbeatIntervalMs: 300,
	minElectionTimeoutMs: 700,
	maxElectionTimeoutMs: 1100,
	leaseDurationMs: 500,
	pauseThresholdMs: 300,
	voterReplacementTimeoutMs: 2500,
	maxEntriesPerMessage: 256,
};

/** Total timeout of a command or a barrier, in milliseconds. */
export const submitTimeoutMs = 4000;

/** Timeout of one attempt at the leader, in milliseconds. */
export const attemptTimeoutMs = 1500;

/** Delay before a command is retried, in milliseconds. */
export const retryDelayMs = 50;

/** Long-poll timeout of a follower's fetch at its source, in milliseconds. */
export const fetchTimeoutMs = 1500;

/** How long an instance tries to reach a majority before it accepts the newest state of the instances that respond, in milliseconds. */
export const catchUpTimeoutMs = 4000;

/** Interval at which a replica that is no member of the log requests to join, in milliseconds. */
export const joinIntervalMs = 300;
