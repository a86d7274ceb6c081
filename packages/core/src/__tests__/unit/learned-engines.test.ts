import {describe, expect, test} from 'vitest';
import {
	at, createEntry, createPool, createRequest,
} from './forecast-pool.js';
import {
	OutputLengthModel, DecodeStallModel, PrefillSpeedModel, toHold, toId,
} from '@baobabpier/core';
import type {
	AttemptNumber, EngineId, RequestId, EnginePool,
} from '@baobabpier/core';

const engineId = toId<EngineId>('d1');

describe('read speed', () => {
	test.each([
		{name: 'a fast engine with little latency', rate: 55, latency: 5},
		{name: 'a slow engine with much latency', rate: 12, latency: 150},
		{
			name: 'prompts that all have the same size', rate: 30, latency: 0, sizes: [5000],
		},
	])('learns $name from a wrong initial estimate', ({rate, latency, sizes = [800, 2400, 5000, 9100]}) => {
		const speed = new PrefillSpeedModel({tokensPerMs: 45, latencyMs: 120});
		for (let turn = 0; turn < 200; turn++) {
			const tokens = sizes[turn % sizes.length]!;
			speed.learn(tokens, latency + (tokens / rate));
		}

		expect(Math.abs(speed.predictMs(5000) - (latency + (5000 / rate)))).toBeLessThan(10);
	});

	test('a single delayed prompt changes the prediction little', () => {
		const speed = new PrefillSpeedModel({tokensPerMs: 50, latencyMs: 20});
		for (let turn = 0; turn < 50; turn++) {
			speed.learn(1000 * (1 + (turn % 8)), 20 + (20 * (1 + (turn % 8))));
		}

		speed.learn(4000, 9000);
		expect(speed.predictMs(4000)).toBeLessThan(120);
	});
});

describe('output sizes', () => {
	test.each([
		{name: 'equal outputs', outputs: [400], expected: 200},
		{name: 'outputs of two lengths', outputs: [200, 800], expected: 340},
	])('expects what a running stream holds with $name', ({outputs, expected}) => {
		const sizes = new OutputLengthModel(0.3);
		for (let turn = 0; turn < 2000; turn++) {
			sizes.learn(outputs[turn % outputs.length]!, 1000);
		}

		expect(Math.abs(sizes.expectedTokens(1000) - expected)).toBeLessThan(8);
	});
});

describe('pauses caused by prompt reads', () => {
	const gapMs = 300;

	const msPerToken = 0.04;
	const settle = (longestMs: number): DecodeStallModel => {
		const pauses = new DecodeStallModel();
		for (let turn = 0; turn < 200; turn++) {
			pauses.recordPrefill(engineId, 3000, msPerToken, at(turn * 1000));
			pauses.learn(engineId, {startedAt: at((turn * 1000) - 1), betweenMs: 50, longestMs});
		}

		return pauses;
	};

	test('admits one prompt read at a time while reads pause streams, and several while they are spread over the outputs', () => {
		const stopping = settle(50 + 120);
		const spread = settle(50 + 20);
		const now = at(300_000);
		for (const pauses of [stopping, spread]) {
			expect(pauses.staysWithinGap(engineId, 4500, msPerToken, gapMs, now)).toBe(true);
			pauses.recordPrefill(engineId, 4500, msPerToken, now);
		}

		const soon = at(300_100);
		expect([stopping.staysWithinGap(engineId, 4500, msPerToken, gapMs, soon), spread.staysWithinGap(engineId, 4500, msPerToken, gapMs, soon)]).toEqual([false, true]);
		expect(stopping.staysWithinGap(engineId, 4500, msPerToken, gapMs, at(300_400))).toBe(true);
	});

	test.each([
		{
			name: 'a read that alone lasts longer than the gap', reads: [], tokens: 6500, at: 0, isAdmitted: false,
		},
		{
			name: 'a read within the gap', reads: [], tokens: 5400, at: 0, isAdmitted: true,
		},
		{
			name: 'a read right after another one, before the streams had an output', reads: [{tokens: 4500, at: 0}], tokens: 4500, at: 190, isAdmitted: false,
		},
		{
			name: 'a read after the streams had an output', reads: [{tokens: 4500, at: 0}], tokens: 4500, at: 250, isAdmitted: true,
		},
		{
			name: 'a third read of a chain that started more than a gap ago', reads: [{tokens: 3000, at: 0}, {tokens: 3000, at: 130}], tokens: 3000, at: 310, isAdmitted: false,
		},
	])('$name: admitted $isAdmitted', ({reads, tokens, at: readAt, isAdmitted}) => {
		const pauses = settle(50 + 120);
		for (const read of reads) {
			pauses.recordPrefill(engineId, read.tokens, msPerToken, at(300_000 + read.at));
		}

		expect(pauses.staysWithinGap(engineId, tokens, msPerToken, gapMs, at(300_000 + readAt))).toBe(isAdmitted);
	});
});

describe('broken streams', () => {
	const createPoolWithBroken = (count: number): EnginePool => {
		const pool = createPool([createEntry('p1', 'prefill'), ...Array.from({length: 4}, (_, index) => createEntry(`d${index}`, 'decode'))]);
		for (let index = 0; index < 8; index++) {
			const hold = toHold(toId<RequestId>(`s${index}`), toId<AttemptNumber>(1));
			pool.step({kind: 'place', req: createRequest(`s${index}`)}, at(index * 200));
			pool.step({kind: 'prefillDone', hold}, at((index * 200) + 110));
			pool.step({kind: 'transferDone', hold}, at((index * 200) + 120));
		}

		for (let index = 0; index < count; index++) {
			pool.step({kind: 'place', req: createRequest(`b${index}`, {promptTokens: 5000, readsDirectly: true, deadline: at(3000)})}, at(2000));
		}

		return pool;
	};

	const brokenPlacementsOf = (pool: EnginePool): string[] => pool.grants().filter(({requestId}) => requestId.startsWith('b')).map(({engine}) => engine);

	test('resume on one engine each, and the others wait', () => {
		const pool = createPoolWithBroken(6);
		expect(new Set(brokenPlacementsOf(pool)).size).toBe(brokenPlacementsOf(pool).length);
		expect(pool.waiting).toBe(6 - brokenPlacementsOf(pool).length);
	});

	test('delay no new request while they wait', () => {
		const pool = createPoolWithBroken(6);
		expect(pool.step({kind: 'place', req: createRequest('n1', {promptTokens: 800})}, at(2001)).map(({kind}) => kind)).toEqual(['placed']);
	});

	test('resume before their deadline, though it delays other streams', () => {
		const pool = createPoolWithBroken(6);
		for (let now = 2000; now < 3000; now += 20) {
			pool.step({kind: 'drain'}, at(now));
			for (const {requestId, attempt} of pool.grants()) {
				if (requestId.startsWith('b') && now % 200 === 0) {
					pool.step({kind: 'prefillDone', hold: {requestId, attempt}}, at(now));
				}
			}
		}

		expect(brokenPlacementsOf(pool)).toHaveLength(6);
	});
});

test('a prompt that fits no engine is refused immediately, also while others wait', () => {
	const pool = createPool([createEntry('p1', 'prefill'), createEntry('d1', 'decode')]);
	for (let index = 0; index < 30; index++) {
		pool.step({kind: 'place', req: createRequest(`r${index}`)}, at(0));
	}

	const effects = pool.step({kind: 'place', req: createRequest('huge', {promptTokens: 100_000})}, at(1));
	expect([pool.waiting > 0, effects.map(effect => effect.kind === 'refused' ? effect.error.kind : effect.kind)]).toEqual([true, ['promptTooLong']]);
});

describe('a prefill engine that accepts prompts but answers none', () => {
	/** Replays ten calls a second while one of three prefill engines does not answer; returns how many calls it received. */
	const countUnansweredCalls = (): number => {
		const pool = createPool([createEntry('p1', 'prefill'), createEntry('p2', 'prefill'), createEntry('p3', 'prefill'), ...Array.from({length: 6}, (_, index) => createEntry(`d${index}`, 'decode'))]);
		const events: Array<{readonly at: number; readonly run: () => void}> = [];
		let unanswered = 0;
		const handleEffects = (effects: ReturnType<EnginePool['step']>, now: number): void => {
			for (const effect of effects) {
				if (effect.kind !== 'placed') {
					continue;
				}

				const {hold} = effect;
				const isUnresponsive = effect.placement.prefill.id === toId<EngineId>('p1');
				unanswered += isUnresponsive ? 1 : 0;
				const doneAt = now + (isUnresponsive ? 1500 : 110);
				events.push(
					{
						at: doneAt, run() {
							handleEffects(pool.step({kind: 'prefillDone', hold}, at(doneAt)), doneAt);
						},
					},
					{
						at: doneAt + 400, run() {
							handleEffects(pool.step({kind: 'release', hold}, at(doneAt + 400)), doneAt + 400);
						},
					},
				);
			}
		};

		for (let now = 0; now < 10_000; now += 10) {
			if (now % 100 === 0) {
				handleEffects(pool.step({kind: 'place', req: createRequest(`r${now}`, {maxTokens: 100})}, at(now)), now);
			}

			for (const event of events.filter(({at: due}) => due > now - 10 && due <= now)) {
				event.run();
			}

			handleEffects(pool.step({kind: 'drain'}, at(now)), now);
		}

		return unanswered;
	};

	test('receives only an occasional prompt instead of its share', () => {
		expect(countUnansweredCalls()).toBeLessThan(20);
	});
});
