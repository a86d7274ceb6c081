import {expect, test} from 'vitest';
import {
	CrashEvidence, QuarantineTable, segmentSetKey, toId, toSegmentSet, TrialSlots,
} from '@baobabpier/core';
import type {
	BrokenRun, EngineId, Instant, RequestId, RunPhase, SegmentId, SegmentSet,
} from '@baobabpier/core';

const at = (ms: number): Instant => ms as Instant;
const setOf = (text: string): SegmentSet => toSegmentSet(text.split(' ').map(id => toId<SegmentId>(id)));
let runCount = 0;

/** A run from `<segments>`, `<segments>:<phase>` or `<segments>:<phase>:<request>`; a trial ends with an exclamation mark. */
const toRun = (text: string): BrokenRun & {readonly phase: RunPhase} => {
	const [segments = '', phase = 'begun', request = `r${++runCount}`] = text.replace('!', '').split(':');
	return {
		isTrial: text.endsWith('!'),
		requestId: toId<RequestId>(request), segments: segments.split(' ').map(id => toId<SegmentId>(id)), phase: phase as RunPhase,
	};
};

type Step =
	| {readonly crash: readonly string[]; readonly at: number; readonly engine?: string; readonly isConfirmed?: boolean}
	| {readonly proven: string; readonly at: number};

const replay = (steps: readonly Step[]): CrashEvidence => {
	const evidence = new CrashEvidence();
	for (const [index, step] of steps.entries()) {
		if ('proven' in step) {
			evidence.prove(step.proven.split(' ').map(id => toId<SegmentId>(id)), at(step.at));
			continue;
		}

		const engine = toId<EngineId>(step.engine ?? `e${index}`);
		evidence.record({engine, at: at(step.at), runs: step.crash.map(text => toRun(text))}, at(step.at));
		if (step.isConfirmed !== false) {
			evidence.confirm(engine, at(step.at));
		}
	}

	return evidence;
};

const keys = (cases: ReadonlyArray<{readonly segments: SegmentSet}>): readonly string[] => cases.map(({segments}) => segmentSetKey(segments)).toSorted();

const cases: ReadonlyArray<{readonly name: string; readonly steps: readonly Step[]; readonly quarantined?: readonly string[]; readonly suspects: readonly string[]; readonly convicted: readonly string[]}> = [
	{
		name: 'one crash suspects the segments of the run that had just begun, and no others',
		steps: [{crash: ['a d', 'b:writing', 'c:sent'], at: 0}], suspects: ['a d'], convicted: [],
	},
	{
		name: 'a whole request among others is not suspected after one crash',
		steps: [{crash: ['request-d:sent', 'request-1:sent', 'request-2:sent'], at: 0}], suspects: [], convicted: [],
	},
	{
		name: 'a whole request in two crashes is suspected, the others are not',
		steps: [{crash: ['request-d:sent', 'request-1:sent'], at: 0}, {crash: ['request-d:sent', 'request-2:sent'], at: 900}], suspects: ['request-d'], convicted: [],
	},
	{
		name: 'a whole request is convicted by two crashes among others and one in a trial',
		steps: [{crash: ['request-d:sent', 'request-1:sent'], at: 0}, {crash: ['request-d:sent', 'request-2:sent'], at: 900}, {crash: ['request-d:sent!', 'request-3:sent'], at: 1800}], suspects: ['request-d'], convicted: ['request-d'],
	},
	{
		name: 'a whole request that a server completed is not suspected',
		steps: [{crash: ['request-p:sent', 'request-1:sent'], at: 0}, {proven: 'request-p', at: 300}, {crash: ['request-p:sent', 'request-2:sent'], at: 900}], suspects: [], convicted: [],
	},
	{
		name: 'one client attempt that meets three crashes convicts nothing',
		steps: [{crash: ['request-u:sent:r'], at: 0}, {crash: ['request-u:sent:r'], at: 900}, {crash: ['request-u:sent:r!'], at: 1800}], suspects: ['request-u'], convicted: [],
	},
	{
		name: 'simultaneous crashes of other causes do not make a whole request suspect',
		steps: [{crash: ['request-u:sent'], at: 0}, {crash: ['request-u:sent'], at: 50}], suspects: [], convicted: [],
	},
	{
		name: 'three crashes convict the segments that occur together',
		steps: [{crash: ['a d', 'b:writing'], at: 0}, {crash: ['a d'], at: 500}, {crash: ['a d', 'c:writing'], at: 900}], suspects: ['a d'], convicted: ['a d'],
	},
	{
		name: 'a first segment that a complete run proved sound is left out',
		steps: [{crash: ['a d'], at: 0}, {crash: ['a d'], at: 500}, {proven: 'a', at: 600}, {crash: ['a d'], at: 900}], suspects: ['d'], convicted: ['d'],
	},
	{
		name: 'prompts that share only the crashing segment',
		steps: [{crash: ['a d'], at: 0}, {crash: ['b d'], at: 500}, {crash: ['c d'], at: 900}], suspects: ['a d', 'b d', 'c d', 'd'], convicted: ['d'],
	},
	{
		name: 'the same request three times convicts nothing',
		steps: [{crash: ['a d:begun:r'], at: 0}, {crash: ['a d:begun:r'], at: 500}, {crash: ['a d:begun:r'], at: 900}], suspects: ['a d'], convicted: [],
	},
	{
		name: 'several engines that end at once convict nothing',
		steps: [{crash: ['a'], at: 0}, {crash: ['a'], at: 20}, {crash: ['a'], at: 90}, {crash: ['a'], at: 120}], suspects: ['a'], convicted: [],
	},
	{
		name: 'trials one right after the other count each',
		steps: [{crash: ['a'], at: 0}, {crash: ['a!'], at: 50}, {crash: ['a!'], at: 100}], suspects: ['a'], convicted: ['a'],
	},
	{
		name: 'crashes whose runs share nothing convict nothing',
		steps: [{crash: ['a'], at: 0}, {crash: ['b'], at: 500}, {crash: ['c'], at: 900}, {crash: ['x'], at: 1500}], suspects: ['a', 'b', 'c', 'x'], convicted: [],
	},
	{
		name: 'a common segment that runs complete is never suspected',
		steps: [{proven: 'a', at: 0}, {crash: ['a'], at: 10}, {crash: ['a'], at: 500}, {crash: ['a'], at: 900}], suspects: [], convicted: [],
	},
	{
		name: 'connections that broke without a crash count for nothing',
		steps: [{crash: ['a'], at: 0, isConfirmed: false}, {crash: ['a'], at: 500, isConfirmed: false}, {crash: ['a'], at: 900, isConfirmed: false}], suspects: [], convicted: [],
	},
	{
		name: 'a sound prompt with the same first segment that had just begun at one of the crashes',
		steps: [{crash: ['a d', 'a'], at: 0}, {crash: ['a d'], at: 500}, {crash: ['a d'], at: 900}], suspects: ['a d'], convicted: ['a d'],
	},
	{
		name: 'an unrelated crash under a sound prompt with the same first segment',
		steps: [{crash: ['a d'], at: 0}, {crash: ['a d'], at: 500}, {crash: ['a'], at: 900}], suspects: ['a', 'a d'], convicted: [],
	},
	{
		name: 'runs that had written for long weigh half',
		steps: [{crash: ['a:writing'], at: 0}, {crash: ['a:writing'], at: 500}, {crash: ['a:writing'], at: 900}], suspects: ['a'], convicted: [],
	},
	{
		name: 'six crashes under such runs convict',
		steps: Array.from({length: 6}, (_, index) => ({crash: ['a:writing'], at: index * 500})), suspects: ['a'], convicted: ['a'],
	},
	{
		name: 'reports of several instances on one crash are one crash',
		steps: [{crash: ['a'], at: 0, engine: 'e'}, {crash: ['a', 'b:writing'], at: 80, engine: 'e'}, {crash: ['a'], at: 160, engine: 'e'}], suspects: ['a'], convicted: [],
	},
	{
		name: 'a quarantined set explains its crashes, and another set is another case',
		steps: [{crash: ['a d', 'b'], at: 0}, {crash: ['a d', 'b'], at: 500}, {crash: ['b'], at: 900}], quarantined: ['d'], suspects: ['b'], convicted: [],
	},
	{
		name: 'suspicion ends a minute after the last crash',
		steps: [{crash: ['a'], at: 0}, {proven: 'z', at: 61_000}], suspects: [], convicted: [],
	},
];

test.each(cases)('$name', ({steps, quarantined = [], suspects, convicted}) => {
	const now = at(steps.at(-1)!.at + 1);
	const verdicts = replay(steps).evaluate(quarantined.map(key => setOf(key)), now);
	expect(keys(verdicts.suspects)).toEqual([...suspects].toSorted());
	expect(keys(verdicts.convictions)).toEqual(convicted);
});

test('names the engines and requests of a conviction', () => {
	const evidence = replay([{crash: ['a d:begun:r1'], at: 0, engine: 'e1'}, {crash: ['a d:begun:r1'], at: 500, engine: 'e2'}, {crash: ['a d:begun:r2'], at: 900, engine: 'e3'}]);
	expect(evidence.evaluate([], at(1000)).convictions[0]!.crashes).toEqual([
		{engine: 'e1', agoMs: 1000, requestIds: ['r1']}, {engine: 'e2', agoMs: 500, requestIds: ['r1']}, {engine: 'e3', agoMs: 100, requestIds: ['r2']},
	]);
});

test('forgets the crashes of a set that an operator lifted', () => {
	const evidence = replay([{crash: ['d'], at: 0}, {crash: ['d'], at: 500}, {crash: ['d'], at: 900}]);
	evidence.forget(setOf('d'));
	expect(evidence.evaluate([], at(1000))).toEqual({suspects: [], convictions: []});
});

test('keeps a bounded number of crashes, runs and proven segments', () => {
	const evidence = new CrashEvidence();
	for (let index = 0; index < 500; index++) {
		const engine = toId<EngineId>(`e${index}`);
		evidence.record({engine, at: at(index * 10), runs: Array.from({length: 300}, () => toRun(`s${index}`))}, at(index * 10));
		evidence.confirm(engine, at(index * 10));
		evidence.prove(Array.from({length: 100}, (_, segment) => toId<SegmentId>(`p${index}-${segment}`)), at(index * 10));
	}

	expect(evidence.evaluate([], at(5000)).suspects).toHaveLength(64);
	expect(evidence.isProven(toId<SegmentId>('p0-0'), at(5000))).toBe(false);
	expect(evidence.isProven(toId<SegmentId>('p499-0'), at(5000))).toBe(true);
});

test('a quarantine table keeps minimal sets, counts revisions and restores from a snapshot', () => {
	const table = new QuarantineTable();
	const entry = (text: string) => ({
		segments: setOf(text), decidedBy: 'i', reason: 'engines crashed', crashes: [],
	});
	expect(table.add(entry('a d'), 1)).toEqual({added: true});
	expect(table.add(entry('a d'), 2)).toEqual({added: false});
	expect(table.add(entry('d'), 3)).toEqual({added: true});
	expect(table.add(entry('b d'), 4)).toEqual({added: false});
	expect(keys(table.entries)).toEqual(['d']);
	const copy = new QuarantineTable();
	copy.restore(table.takeSnapshot());
	expect([copy.revision, keys(copy.entries)]).toEqual([2, ['d']]);
	expect([copy.lift(setOf('d')), copy.lift(setOf('d')), copy.revision]).toEqual([{lifted: true}, {lifted: false}, 3]);
	for (let index = 0; index < 100; index++) {
		copy.add(entry(`x${index}`), index);
	}

	expect(copy.entries).toHaveLength(64);
});

test('one request at a time tries a suspected set', () => {
	const slots = new TrialSlots();
	const [first, second] = ['r1', 'r2'].map(id => toId<RequestId>(id));
	expect(slots.acquire(first!, [setOf('a d')], at(0))).toBe(true);
	expect(slots.acquire(first!, [setOf('a d')], at(1))).toBe(true);
	expect(slots.acquire(second!, [setOf('b'), setOf('a d')], at(2))).toBe(false);
	expect(slots.acquire(second!, [setOf('b')], at(3))).toBe(true);
	slots.release(first!);
	expect(slots.acquire(second!, [setOf('a d')], at(4))).toBe(true);
	expect(slots.size).toBe(1);
	expect(slots.acquire(first!, [setOf('a d')], at(10_000))).toBe(true);
});
