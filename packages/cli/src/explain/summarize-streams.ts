/** Counts the streams of collected logs by how they ended and why they were late. */
import type {LogLine} from './log-line.js';

/** Limits from which a stream counts as late. */
export type LatenessLimits = {
	/** Longest wait for a placement, in milliseconds. */
	readonly waitMs: number;
	/** Longest pause between outputs, in milliseconds. */
	readonly pauseMs: number;
};

/** Streams of one cause. */
export type CauseCount = {
	readonly cause: string;
	readonly streams: number;
	/** Prompt tokens whose prefill was of no use; prefills of complete streams count only where they were repeated. */
	readonly wastedTokens: number;
	/** Ids of the first streams of this cause. */
	readonly examples: readonly string[];
};

/** What logs say of all streams. */
export type StreamSummary = {
	readonly streams: number;
	readonly causes: readonly CauseCount[];
	/** Rejections after a prefill, by engine. */
	readonly rejections: ReadonlyMap<string, number>;
};

const maxExamples = 3;
const placed = 'A stream got a place.';
const notPlaced = 'A stream got no place.';
const engineOutcome = 'A stream got an outcome at an engine.';
const prefilled = 'A prompt was read.';
const streamEvents: ReadonlySet<string> = new Set([placed, notPlaced, engineOutcome]);

const numberOf = (line: LogLine | undefined, name: string): number => {
	const value = line?.fields[name];
	return typeof value === 'number' ? value : 0;
};

const textOf = (line: LogLine | undefined, name: string): string => {
	const value = line?.fields[name];
	return typeof value === 'string' ? value : 'unknown';
};

const groupByRequest = (lines: readonly LogLine[]): ReadonlyMap<string, readonly LogLine[]> => {
	const groups = new Map<string, LogLine[]>();
	for (const line of lines) {
		if (line.requestId !== undefined) {
			const group = groups.get(line.requestId) ?? [];
			group.push(line);
			groups.set(line.requestId, group);
		}
	}

	return groups;
};

/** Why a complete stream was late; "in time" when it was not. */
const latenessOf = (outcomes: readonly LogLine[], placement: LogLine | undefined, limits: LatenessLimits): string => {
	const reasons = [
		outcomes.some(line => line.fields.outcome === 'broken') ? 'resumed' : undefined,
		numberOf(outcomes.at(-1), 'longestPauseMs') > limits.pauseMs ? 'paused' : undefined,
		numberOf(placement, 'waitedMs') > limits.waitMs ? 'waited' : undefined,
	].filter(reason => reason !== undefined);
	return reasons.length === 0 ? 'complete, in time' : `complete, late: ${reasons.join(', ')}`;
};

const causeOf = (lines: readonly LogLine[], limits: LatenessLimits): string => {
	const outcomes = lines.filter(({event}) => event === engineOutcome);
	const refusal = lines.findLast(({event}) => event === notPlaced);
	const last = outcomes.at(-1);
	if (last?.fields.outcome === 'complete') {
		return latenessOf(outcomes, lines.find(({event}) => event === placed), limits);
	}

	if (last?.fields.outcome === 'notRun') {
		return 'refused after an engine rejected it';
	}

	if (last !== undefined) {
		return `broken off: ${textOf(last, 'ended') === 'unknown' ? textOf(last, 'outcome') : textOf(last, 'ended')}`;
	}

	return refusal === undefined ? 'no outcome: its instance was lost or stopped logging' : `refused without a send: ${textOf(refusal, 'kind')}`;
};

/** Prompt tokens prefilled for a stream beyond the one prefill that a complete stream needs. */
const wastedTokensOf = (lines: readonly LogLine[]): number => {
	const prefills = lines.filter(line => line.event === prefilled && line.fields.isRead === true).length
		+ lines.filter(line => line.event === engineOutcome && line.fields.purpose !== 'decode' && line.fields.firstEventMs !== undefined).length;
	const isComplete = lines.some(line => line.event === engineOutcome && line.fields.outcome === 'complete');
	return Math.max(0, prefills - (isComplete ? 1 : 0)) * numberOf(lines.find(({event}) => event === placed), 'tokens');
};

/**
 * Summarizes the streams of log lines, the most frequent cause first.
 *
 * @example
 * summarizeStreams(readLogLines(text).lines, {waitMs: 400, pauseMs: 300}).causes[0]; // {cause: 'complete, in time', streams: 346, ...}
 */
export const summarizeStreams = (lines: readonly LogLine[], limits: LatenessLimits): StreamSummary => {
	const byRequest = groupByRequest(lines);
	const causes = new Map<string, {streams: number; wastedTokens: number; readonly examples: string[]}>();
	const rejections = new Map<string, number>();
	let streams = 0;
	for (const [id, ofRequest] of byRequest) {
		const sorted = ofRequest.toSorted((a, b) => a.time < b.time ? -1 : 1);
		if (!sorted.some(({event}) => streamEvents.has(event))) {
			continue;
		}

		streams += 1;
		const cause = causeOf(sorted, limits);
		const count = causes.get(cause) ?? {streams: 0, wastedTokens: 0, examples: []};
		count.streams += 1;
		count.wastedTokens += wastedTokensOf(sorted);
		if (count.examples.length < maxExamples) {
			count.examples.push(id);
		}

		causes.set(cause, count);
		for (const line of sorted.filter(({event, fields}) => event === engineOutcome && fields.outcome === 'notRun' && fields.purpose === 'decode')) {
			const engine = textOf(line, 'engine');
			rejections.set(engine, (rejections.get(engine) ?? 0) + 1);
		}
	}

	return {
		streams,
		causes: [...causes].map(([cause, count]) => ({cause, ...count})).toSorted((a, b) => b.streams - a.streams),
		rejections: new Map([...rejections].toSorted(([, a], [, b]) => b - a)),
	};
};
