/** Methods by which instances share the evidence of crashes, and operators see and change the quarantine. */
import type {
	EngineId, InstanceId, RequestId, SegmentId,
} from '../ids.js';
import type {ActiveQuarantine} from '../quarantine/quarantine-table.js';
import type {BrokenRun, CrashCase, SegmentSet} from '../quarantine/types.js';
import {defineRpcMethod} from './rpc-methods.js';

/** Runs of one instance that broke off with an engine. */
export type CrashReport = {
	readonly engine: EngineId;
	/** `host:port` at which the engine listened. */
	readonly address: string;
	/** Time since the first of them broke off, in milliseconds. */
	readonly agoMs: number;
	readonly runs: readonly BrokenRun[];
};

/** What an instance has learned of crashes. */
export type CrashReportParams = {
	readonly instance: InstanceId;
	readonly crashes: readonly CrashReport[];
	/** Segments of suspected or quarantined sets of which this instance has seen complete runs. */
	readonly proven: readonly SegmentId[];
};

/** The segment sets that are suspected now. */
export type SuspectsSnapshot = {
	/** Identifies the leader's term of office; evidence that was reported in another one is gone. */
	readonly epoch: string;
	/** Changes with the sets and the epoch. */
	readonly version: string;
	readonly sets: readonly SegmentSet[];
};

/** A request's call for a trial of its suspected segments. */
export type TrialParams = {
	readonly requestId: RequestId;
	readonly segments: readonly SegmentId[];
	/** Sets that the sender suspects: a new leader has not heard of every crash yet. */
	readonly suspected: readonly SegmentSet[];
	/** Maximum wait for the slot, in milliseconds. */
	readonly waitMs: number;
};

/** Decision on a request with suspected segments. */
export type TrialResponse =
	/** Nothing is suspected any more. */
	| {readonly kind: 'clear'}
	/** The request may run, best on an engine that is not in `avoid`. */
	| {readonly kind: 'trial'; readonly avoid: readonly EngineId[]}
	| {readonly kind: 'quarantined'; readonly segments: SegmentSet}
	/** Another request held the slot all the while. */
	| {readonly kind: 'busy'};

/** The quarantine and the suspicions, as an operator sees them. */
export type QuarantineStatus = {
	readonly quarantined: readonly ActiveQuarantine[];
	/** Empty unless the instance leads. */
	readonly suspects: readonly CrashCase[];
};

/* eslint-disable @typescript-eslint/naming-convention */
/** Reports crashes to the leader; returns once they are checked. */
export const CRASH_REPORT = defineRpcMethod<CrashReportParams, {readonly suspects: SuspectsSnapshot}>('crash.report');
/** Waits for the slot of a request's suspected segments. */
export const TRIAL_BEGIN = defineRpcMethod<TrialParams, TrialResponse>('trial.begin');
/** Releases the slots of a request. */
export const TRIAL_END = defineRpcMethod<{readonly requestId: RequestId}, Record<string, never>>('trial.end');
/** Lists the quarantine. */
export const QUARANTINE_LIST = defineRpcMethod<Record<string, never>, QuarantineStatus>('quarantine.list');
/** Quarantines a segment set by hand. */
export const QUARANTINE_SET = defineRpcMethod<{readonly segments: SegmentSet; readonly author: string}, {readonly added: boolean}>('quarantine.set');
/** Lifts the quarantine of a segment set. */
export const QUARANTINE_LIFT = defineRpcMethod<{readonly segments: SegmentSet; readonly author: string}, {readonly lifted: boolean}>('quarantine.lift');
/* eslint-enable @typescript-eslint/naming-convention */
