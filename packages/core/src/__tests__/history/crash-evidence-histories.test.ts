import fc from 'fast-check';
import {expect, test} from 'vitest';
import {
	CrashEvidence, createSeededRandom, pickIndex, segmentSetKey, toId,
} from '@baobabpier/core';
import type {
	BrokenRun, EngineId, Instant, RequestId, RunPhase, SegmentId, SegmentSet,
} from '@baobabpier/core';

const at = (ms: number): Instant => ms as Instant;

const toRun = (request: string, ...segments: readonly string[]): BrokenRun => ({
	requestId: toId<RequestId>(request), segments: segments.map(id => toId<SegmentId>(id)), phase: 'begun',
});

/**
 * Histories of engines that run sound prompts and, in half of them, prompts with a crashing segment; engines also end for other
 * reasons, several at once at times. Sound runs complete if their engine lasts.
 */
const playHistory = (seed: number, isPoisoned: boolean): {readonly convicted: ReadonlySet<string>; readonly crashTimes: readonly number[]} => {
	const random = createSeededRandom(seed);
	const evidence = new CrashEvidence();
	const quarantined: SegmentSet[] = [];
	const running = Array.from({length: 8}, () => new Map<string, {run: BrokenRun; begunAt: number}>());
	const crashTimes: number[] = [];
	let engineCount = 0;
	const crash = (index: number, now: number): void => {
		const engine = toId<EngineId>(`e${++engineCount}`);
		const runs = [...running[index]!.values()].map(({run, begunAt}) => {
			const phase: RunPhase = now - begunAt < 60 ? 'begun' : 'writing';
			return {...run, phase};
		});
		running[index]!.clear();
		evidence.record({engine, at: at(now), runs}, at(now));
		evidence.confirm(engine, at(now));
		const {convictions} = evidence.evaluate(quarantined, at(now));
		quarantined.push(...convictions.map(({segments}) => segments));
	};

	for (let now = 0; now < 60_000; now += 20) {
		for (const runs of running) {
			for (const [id, {run, begunAt}] of runs) {
				if (now - begunAt > 3000) {
					runs.delete(id);
					evidence.prove(run.segments, at(now));
				}
			}
		}

		if (random.next() < 0.2) {
			running[pickIndex(random, 8)]!.set(`s${now}`, {run: toRun(`s${now}`, `f${pickIndex(random, 30)}`, `m${pickIndex(random, 500)}`), begunAt: now});
		}

		if (random.next() < 0.004) {
			for (let engine = pickIndex(random, 8), left = 1 + pickIndex(random, 3); left > 0; left--, engine = (engine + 1) % 8) {
				crash(engine, now);
			}
		}

		const first = `f${pickIndex(random, 3)}`;
		const deadly = toRun(`d${now}`, first, 'dead');
		if (isPoisoned && random.next() < 0.03 && !quarantined.some(set => set.every(segment => deadly.segments.includes(segment)))) {
			const engine = pickIndex(random, 8);
			// What is suspected runs as a trial
			const isTrial = evidence.evaluate(quarantined, at(now)).suspects.some(({segments}) => segments.every(segment => deadly.segments.includes(segment)));
			running[engine]!.set(`d${now}`, {run: {...deadly, isTrial}, begunAt: now});
			crashTimes.push(now);
			crash(engine, now);
		}
	}

	return {convicted: new Set(quarantined.map(set => segmentSetKey(set))), crashTimes};
};

/** Requests with the segment that may reach engines later than `contactMs` after the fifth crash. */
const maxLateSends = 3;
const contactMs = 3000;

test('convicts the crashing segment within a few crashes and never a sound one, in generated histories', () => {
	fc.assert(fc.property(fc.integer({min: 1, max: 1_000_000}), fc.boolean(), (seed, isPoisoned) => {
		const {convicted, crashTimes} = playHistory(seed, isPoisoned);
		const wrong = [...convicted].filter(key => !key.split(' ').includes('dead'));
		expect(wrong).toEqual([]);
		expect(convicted.size > 0).toBe(isPoisoned);
		expect(crashTimes.filter(time => time > (crashTimes[4] ?? 0) + contactMs).length).toBeLessThanOrEqual(crashTimes.length > 5 ? maxLateSends : 5);
	}), {numRuns: 150, seed: 7});
});
