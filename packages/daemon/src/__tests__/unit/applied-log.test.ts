import {toId} from '@baobabpier/core';
import type {
	ControlCommand, LogEntry, LogIndex, LogTime,
} from '@baobabpier/core';
import {expect, test} from 'vitest';
import {AppliedLog} from '../../control/applied-log.js';

const entryOf = (index: number, command: ControlCommand): LogEntry => ({
	index: toId<LogIndex>(index), term: 1, at: toId<LogTime>(index), payload: {kind: 'command', command},
} as unknown as LogEntry);

const configurationOf = (version: number, length: number): ControlCommand => ({kind: 'routing.replace', document: {version, text: 'x'.repeat(length)}} as unknown as ControlCommand);

const contentOf = (applied: AppliedLog, after: number): number => {
	const update = applied.updateAfter(toId<LogIndex>(after));
	return update.kind === 'entries' ? JSON.stringify(update.entries).length : 0;
};

type Case = {
	readonly name: string;
	readonly lengths: readonly number[];
	/** Entries at the end that a follower can get one by one. */
	readonly kept: number;
};

const megabyte = 1024 * 1024;
const cases: readonly Case[] = [
	{name: 'small entries', lengths: Array.from({length: 300}, () => 1000), kept: 300},
	{name: 'more entries than are kept', lengths: Array.from({length: 4001}, () => 10), kept: 2000},
	{name: 'large entries', lengths: Array.from({length: 60}, () => 1.5 * megabyte), kept: 4},
	{name: 'one entry over the bound', lengths: [1000, 1000, 20 * megabyte], kept: 1},
];

// Guards against control processes that run out of memory because large configurations change often
test.each(cases)('of $name, those within the bounds are kept for followers', ({lengths, kept}) => {
	const applied = new AppliedLog();
	for (const [index, length] of lengths.entries()) {
		applied.apply([entryOf(index + 1, configurationOf(index + 1, length))]);
	}

	const last = lengths.length;
	expect(contentOf(applied, last - 1)).toBeGreaterThan(0);
	expect(applied.updateAfter(toId<LogIndex>(Math.max(1, last - kept))).kind).toBe('entries');
	expect(applied.updateAfter(toId<LogIndex>(Math.max(1, last - kept - 1))).kind).toBe(kept === last ? 'entries' : 'capture');
});
