import {expect, test} from 'vitest';
import {
	at, createEntry, createPool, createRequest, pieceTokens,
} from '../unit/forecast-pool.js';
import {createSeededRandom} from '@baobabpier/core';
import type {EngineId, EnginePool, toHold} from '@baobabpier/core';

/** Replays streams of varying length at full memory; returns the fraction of samples in which a decode engine's memory was exceeded. */
const countOverruns = (learnsSizes: boolean): number => {
	const random = createSeededRandom(7);
	const pool = createPool([createEntry('p1', 'prefill'), createEntry('p2', 'prefill'), ...Array.from({length: 4}, (_, index) => createEntry(`d${index}`, 'decode'))], learnsSizes);
	const running = new Map<string, {readonly decode: EngineId; readonly startsAt: number; readonly tokens: number; readonly hold: ReturnType<typeof toHold>}>();
	const tokensPerMs = 1;
	let overruns = 0;
	let last = 0;
	const handleEffects = (effects: ReturnType<EnginePool['step']>, now: number): void => {
		for (const effect of effects) {
			if (effect.kind === 'placed') {
				// A tenth of the streams run to the maximum length, the others stop earlier
				const tokens = 6500 * Math.min(1, random.next() * 1.1);
				running.set(effect.hold.requestId, {
					decode: effect.placement.decode.id, startsAt: now + 150, tokens, hold: effect.hold,
				});
				pool.step({kind: 'prefillDone', hold: effect.hold}, at(now));
				pool.step({kind: 'transferDone', hold: effect.hold}, at(now));
			}
		}
	};

	for (let now = 0; now < 120_000; now += 50) {
		while (pool.waiting < 5) {
			last += 1;
			handleEffects(pool.step({kind: 'place', req: createRequest(`r${last}`, {deadline: at(1e9), pieces: Math.ceil((5000 + (6500 * 0.3)) / pieceTokens)})}, at(now)), now);
		}

		for (const [id, stream] of running) {
			if ((now - stream.startsAt) * tokensPerMs >= stream.tokens) {
				running.delete(id);
				handleEffects(pool.step({
					kind: 'release', hold: stream.hold, pace: {betweenMs: 50}, outputTokens: stream.tokens,
				}, at(now)), now);
			}
		}

		for (const {id, role} of pool.views()) {
			const held = [...running.values()].filter(({decode}) => decode === id).reduce((sum, {startsAt}) => sum + 5000 + Math.max(0, (now - startsAt) * tokensPerMs), 0);
			overruns += role === 'decode' && held > 6000 * pieceTokens ? 1 : 0;
		}
	}

	return overruns / (120_000 / 50 * 4);
};

test('fully used memory is exceeded seldom with learned output sizes, and more than twice as often with estimated ones', () => {
	const [learned, estimated] = [countOverruns(true), countOverruns(false)];
	expect(learned).toBeLessThan(0.12);
	expect(estimated).toBeGreaterThan(learned * 2);
});
