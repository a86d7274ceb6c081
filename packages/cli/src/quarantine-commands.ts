/** The `quarantine` commands. */
import {
	QUARANTINE_LIFT, QUARANTINE_LIST, QUARANTINE_SET, segmentSetKey, toId, toSegmentSet,
} from '@baobabpier/core';
import type {
	ActiveQuarantine, CrashCase, SegmentId, SegmentSet,
} from '@baobabpier/core';
import {exitCodes} from './exit-codes.js';
import type {ExitCode} from './exit-codes.js';
import {callInstance} from './operator-client.js';
import type {OperatorTarget} from './operator-client.js';
import type {Output} from './output.js';

/** Which segments a command concerns, and who gives it. */
export type QuarantineArguments = {
	readonly segments: readonly string[];
	readonly author: string;
};

const toSet = (segments: readonly string[]): SegmentSet => toSegmentSet(segments.map(segment => toId<SegmentId>(segment.toLowerCase())));

const describe = ({segments, since, decidedBy, reason, crashes}: ActiveQuarantine): readonly string[] => [
	`${segmentSetKey(segments)}: since ${new Date(since).toISOString()}, by ${decidedBy}: ${reason}`,
	...crashes.map(({engine, at, requestIds}) => `  ${new Date(at).toISOString()} ${engine} under ${requestIds.join(', ')}`),
];

const describeSuspect = ({segments, score, crashes}: CrashCase): string => `${segmentSetKey(segments)}: suspected, score ${score}, crashes of ${crashes.map(({engine}) => engine).join(', ')}`;

/** Prints what is quarantined, and what the instance suspects if it leads. */
export const listQuarantine = async (target: OperatorTarget, output: Output): Promise<ExitCode> => {
	const status = await callInstance(target, QUARANTINE_LIST, {});
	const lines = [...status.quarantined.flatMap(entry => describe(entry)), ...status.suspects.map(suspect => describeSuspect(suspect))];
	output.print(status, lines.length === 0 ? ['Nothing is quarantined.'] : lines);
	return exitCodes.done;
};

/** Quarantines a segment set by hand. */
export const setQuarantine = async (target: OperatorTarget, {segments, author}: QuarantineArguments, output: Output): Promise<ExitCode> => {
	const set = toSet(segments);
	const result = await callInstance(target, QUARANTINE_SET, {segments: set, author});
	output.print(result, [result.added ? `Quarantined: ${segmentSetKey(set)}.` : `Already covered by a quarantine: ${segmentSetKey(set)}.`]);
	return exitCodes.done;
};

/** Lifts the quarantine of a segment set. */
export const liftQuarantine = async (target: OperatorTarget, {segments, author}: QuarantineArguments, output: Output): Promise<ExitCode> => {
	const set = toSet(segments);
	const result = await callInstance(target, QUARANTINE_LIFT, {segments: set, author});
	output.print(result, [result.lifted ? `Lifted: ${segmentSetKey(set)}.` : `Not quarantined: ${segmentSetKey(set)}.`]);
	return result.lifted ? exitCodes.done : exitCodes.failed;
};
