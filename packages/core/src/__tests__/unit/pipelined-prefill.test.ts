import {describe, expect, test} from 'vitest';
import {
	EnginePool, ForecastPolicy, PipelinedQueueModel, toHold, toId,
} from '@baobabpier/core';
import type {
	AttemptNumber, DataCentreId, EngineEntry, EngineId, EngineHold, ForecastOptions, Instant, InstanceId, PoolEffect, RequestId, ServiceName,
} from '@baobabpier/core';

const at = (ms: number): Instant => ms as Instant;
const hold = (id: string): EngineHold => toHold(toId<RequestId>(id), toId<AttemptNumber>(1));

describe('pipelined queue model', () => {
	test('is available as soon as the work is done, before the answer arrives', () => {
		const line = new PipelinedQueueModel({tokensPerMs: 50, latencyMs: 120});
		line.add(hold('a'), 5000, at(0));
		expect(line.availableAt(at(0))).toBe(100);
		line.add(hold('b'), 2500, at(10));
		expect(line.availableAt(at(10))).toBe(150);
		line.remove(hold('a'), at(220), true);
		expect(line.availableAt(at(220))).toBe(220);
	});

	test.each([
		{name: 'learns that an engine is slower', answerAfterMs: 320, slower: true},
		{name: 'keeps the rate of an engine that matches it', answerAfterMs: 220, slower: false},
	])('$name', ({answerAfterMs, slower}) => {
		const line = new PipelinedQueueModel({tokensPerMs: 50, latencyMs: 120});
		for (let turn = 0; turn < 30; turn++) {
			const now = turn * 1000;
			line.add(hold(`r${turn}`), 5000, at(now));
			line.remove(hold(`r${turn}`), at(now + answerAfterMs), true);
		}

		expect(line.tokensPerMs).toBeCloseTo(slower ? 25 : 50, -1);
	});

	test('a prompt that another instance sent to the engine postpones all following jobs once and does not lower the rate', () => {
		const line = new PipelinedQueueModel({tokensPerMs: 50, latencyMs: 120});
		for (let index = 0; index < 9; index++) {
			line.add(hold(`r${index}`), 5000, at(index * 100));
		}

		// The engine was busy for 900 ms when the first prompt arrived
		line.remove(hold('r0'), at(900 + 100 + 120), true);
		expect(line.availableAt(at(1120))).toBe(1800);
		for (let index = 1; index < 9; index++) {
			line.remove(hold(`r${index}`), at(900 + ((index + 1) * 100) + 120), true);
		}

		expect(line.availableAt(at(1920))).toBe(1920);
		expect(line.tokensPerMs).toBeGreaterThan(45);
	});

	test('reclaims the time of a cancelled prefill', () => {
		const line = new PipelinedQueueModel({tokensPerMs: 50, latencyMs: 120});
		line.add(hold('a'), 5000, at(0));
		line.add(hold('b'), 5000, at(0));
		line.remove(hold('b'), at(10), false);
		expect(line.availableAt(at(10))).toBe(100);
	});
});

const entry = (id: string, role: EngineEntry['role']): EngineEntry => ({
	id: toId<EngineId>(id), address: id, dataCentre: toId<DataCentreId>('a'), role, pieces: 3500, fencesOrders: true,
});

const latencyMs = 120;
const prefillTokensPerMs = 45;
const directTokensPerMs = 20;
const decodeMs = 900;

type Burst = {
	readonly engines: readonly EngineEntry[];
	readonly options: ForecastOptions;
	readonly requests: number;
	readonly everyMs: number;
	/** Tokens of the prompts, used cyclically. */
	readonly sizes?: readonly number[];
};

/** Replays a burst against engines that keep their rates exactly; returns the times to the first output. */
const replayBurst = ({
	engines, options, requests, everyMs, sizes = [5200],
}: Burst): readonly number[] => {
	const pool = new EnginePool(toId<InstanceId>('i1'), new ForecastPolicy({betweenOutputsMs: 150}, options), {queue: 500}, {leaseMs: 60_000, orphanTimeoutMs: 60_000});
	const events: Array<{readonly at: number; readonly run: () => readonly PoolEffect[]}> = [];
	const freeAt = new Map<string, number>();
	const firstOutputs: number[] = [];
	const tokensAt = (arrivedAt: number): number => sizes[Math.round(arrivedAt / everyMs) % sizes.length]!;
	const applyEffects = (effects: readonly PoolEffect[], now: number): void => {
		for (const effect of effects) {
			if (effect.kind !== 'placed') {
				continue;
			}

			const {prefill, decode} = effect.placement;
			const rate = prefill.id === decode.id ? directTokensPerMs : prefillTokensPerMs;
			const startsAt = Math.max(now, freeAt.get(prefill.id) ?? 0);
			const arrivedAt = Number(effect.hold.requestId);
			const readMs = tokensAt(arrivedAt) / rate;
			freeAt.set(prefill.id, startsAt + readMs);
			const doneAt = startsAt + readMs + latencyMs;
			firstOutputs.push(doneAt + 150 - arrivedAt);
			events.push(
				{at: doneAt, run: () => pool.step({kind: 'prefillDone', hold: effect.hold}, at(doneAt))},
				{at: doneAt + decodeMs, run: () => pool.step({kind: 'release', hold: effect.hold}, at(doneAt + decodeMs))},
			);
		}
	};

	pool.step({kind: 'engines', engines, leaving: new Set()}, at(0));
	for (let index = 0; index < requests; index++) {
		const now = index * everyMs;
		events.push({
			at: now, run: () => pool.step({
				kind: 'place', req: {
					...hold(String(now)), service: toId<ServiceName>('lm'), class: 'patient', holder: toId<InstanceId>('i1'), promptTokens: tokensAt(now), maxTokens: 400, pieces: 345, prefix: '', deadline: at(now + 3000), firstOutputDeadline: at(now + 900), excluded: [],
				},
			}, at(now)),
		});
	}

	for (let now = 0; now < (requests * everyMs) + 5000; now += 10) {
		for (const event of events.filter(item => item.at >= now && item.at < now + 10).toSorted((a, b) => a.at - b.at)) {
			applyEffects(event.run(), event.at);
		}

		applyEffects(pool.step({kind: 'drain'}, at(now + 10)), now + 10);
	}

	return firstOutputs;
};

describe('a burst at the rate of the prefill engines', () => {
	const engines = [entry('p1', 'prefill'), entry('p2', 'prefill'), ...Array.from({length: 6}, (_, index) => entry(`d${index}`, 'decode'))];
	const inTime = (burst: Burst): number => replayBurst(burst).filter(ms => ms <= 900).length / burst.requests;
	// Two prefill engines process 17.3 prompts a second
	const burst = {engines, requests: 80, everyMs: 62};

	test('meets the target when answers overlap the next prefill, and misses it when each engine waits for its answer', () => {
		expect(inTime({...burst, options: {links: 'ample', prefill: {tokensPerMs: prefillTokensPerMs, latencyMs}}})).toBeGreaterThan(0.95);
		expect(inTime({...burst, options: {links: 'ample'}})).toBeLessThan(0.7);
	});

	test.each([
		{name: 'no latency', prefill: {tokensPerMs: prefillTokensPerMs, latencyMs: 0}},
		{name: 'half the rate', prefill: {tokensPerMs: prefillTokensPerMs / 2, latencyMs}},
	])('is served nearly as well with an initial estimate of $name', ({prefill}) => {
		const long = {
			...burst, requests: 300, everyMs: 75, sizes: [1500, 5200, 8900],
		};
		const right = inTime({...long, options: {links: 'ample', prefill: {tokensPerMs: prefillTokensPerMs, latencyMs}}});
		expect(inTime({...long, options: {links: 'ample', prefill}})).toBeGreaterThan(right - 0.05);
	});

	test('meets the target beyond that rate when decode engines run prefills too', () => {
		const heavy = {...burst, everyMs: 40, requests: 200};
		const apart: ForecastOptions = {links: 'ample', prefill: {tokensPerMs: prefillTokensPerMs, latencyMs}};
		expect(inTime({...heavy, options: {...apart, direct: {tokensPerMs: directTokensPerMs, latencyMs}}})).toBeGreaterThan(0.95);
		expect(inTime({...heavy, options: apart})).toBeLessThan(0.8);
	});

	test('is served by decode engines alone when every prefill engine is lost', () => {
		const left = {engines: engines.filter(({role}) => role === 'decode'), requests: 20, everyMs: 200};
		expect(inTime({
			...left, options: {
				links: 'ample', prefill: {tokensPerMs: prefillTokensPerMs, latencyMs}, direct: {tokensPerMs: directTokensPerMs, latencyMs},
			},
		})).toBe(1);
	});
});
