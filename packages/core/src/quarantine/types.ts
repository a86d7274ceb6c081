/** Types of the quarantine of prompt segments that crash engines. */
import type {EngineId, RequestId, SegmentId} from '../ids.js';

/** Segments, in ascending order, that crash engines when a prompt has all of them. */
export type SegmentSet = readonly SegmentId[];

/** How far a run at an engine had got when the engine ended. */
export type RunPhase =
	/** The request was sent, and no response had begun. */
	| 'sent'
	/** The response had begun without an output. */
	| 'begun'
	/** Outputs had been written. */
	| 'writing';

/** A run that broke off with its engine. */
export type BrokenRun = {
	readonly requestId: RequestId;
	/** Segments of the prompt that other requests may have too. */
	readonly segments: readonly SegmentId[];
	readonly phase: RunPhase;
	/** Whether it ran as the only one with its suspected segments, after an earlier crash was known. */
	readonly isTrial?: boolean;
};

/** One crash as evidence against a segment set. */
export type CrashSummary = {
	readonly engine: EngineId;
	/** Time since the crash, in milliseconds. */
	readonly agoMs: number;
	/** Requests with the segments that ran at the engine. */
	readonly requestIds: readonly RequestId[];
};

/** A segment set and the crashes that point to it. */
export type CrashCase = {
	readonly segments: SegmentSet;
	readonly score: number;
	readonly crashes: readonly CrashSummary[];
};

/** Prefix of the digest of a whole request; segments of prompts are hexadecimal. */
export const requestDigestPrefix = 'request-';

/**
 * Whether a segment stands for a whole request and not for a part of its prompt.
 *
 * @example
 * isRequestDigest(toId<SegmentId>('request-5f3a')); // true
 */
export const isRequestDigest = (segment: SegmentId): boolean => segment.startsWith(requestDigestPrefix);

/** Creates a segment set. */
export const toSegmentSet = (segments: Iterable<SegmentId>): SegmentSet => [...new Set(segments)].toSorted();

/** Key of a segment set in maps. */
export const segmentSetKey = (set: SegmentSet): string => set.join(' ');

/**
 * Whether a prompt has all segments of a set.
 *
 * @example
 * includesSegments(call.sharedSegments, entry.segments);
 */
export const includesSegments = (segments: readonly SegmentId[], set: SegmentSet): boolean => set.length > 0 && set.every(segment => segments.includes(segment));
