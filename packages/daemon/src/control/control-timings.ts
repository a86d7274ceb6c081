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
	learnerRemovalTimeoutMs: 60_000,
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

/** Time without a leader after which a replica requests to join although its own log names it a member, in milliseconds: an election takes less. */
export const joinAfterSilenceMs = 1500;

/** Duration of one write and sync after which a leader hands over, in milliseconds: it answers no change of the catalogue meanwhile. */
export const stalledWriteMs = 1000;

/** Delay before a storage that failed is opened again, in milliseconds; doubled after each further failure. */
export const initialReopenDelayMs = 250;

/** Longest delay before a storage that failed is opened again, in milliseconds: a change must be accepted within seconds of the room for it. */
export const maxReopenDelayMs = 1000;

/** Delay before a storage that can't be trusted is opened again, in milliseconds: only an operator can change what it holds. */
export const damagedReopenDelayMs = 30_000;

/** Running time of a replica after which its next failure counts as a new one, in milliseconds. */
export const stableAfterMs = 5000;

/** Interval at which an unchanged failure of the storage is logged again, in milliseconds. */
export const failureLogIntervalMs = 60_000;
