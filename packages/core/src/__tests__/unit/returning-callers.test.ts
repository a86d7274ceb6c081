/** Replays a burst in which refused callers come back once, among new ones. */
import process from 'node:process';
import {expect, test} from 'vitest';
import {
	createSeededRandom, EnginePool, ForecastPolicy, toHold, toId,
} from '@baobabpier/core';
import type {
	AttemptNumber, DataCentreId, EngineEntry, EngineId, Instant, InstanceId, PoolEffect, RequestId, ServiceName,
} from '@baobabpier/core';

const at = (ms: number): Instant => ms as Instant;
const targetMs = 900;
const decodeMs = 3400;
const latencyMs = 120;
const prefillTokensPerMs = 45;
const promptTokens = 5200;
/** What an answer in time and a late one are worth on the operators' sheets. */
const worth = {inTime: 5.7, late: 1.1};

const engines: readonly EngineEntry[] = (['prefill', 'prefill', 'decode', 'decode', 'decode', 'decode', 'decode', 'decode'] as const).map((role, index) => ({
	id: toId<EngineId>(`e${index}`), address: `e${index}`, dataCentre: toId<DataCentreId>('a'), role, pieces: 3500, fencesOrders: true,
}));

/** New calls a second over time: two bursts, of which the second comes while callers of the first return. */
const rateAt = (ms: number): number => (ms >= 6000 && ms < 9000) || (ms >= 11_000 && ms < 15_000) ? 26 : 9;

type Outcome = {
	inTime: number;
	late: number;
	lost: number;
};

/** `isKnown` says whether the pool is told how long a caller has waited before. */
const replay = (isKnown: boolean): Outcome => {
	const pool = new EnginePool(toId<InstanceId>('i1'), new ForecastPolicy({betweenOutputsMs: 150}, {
		links: 'ample', prefillTokensPerMs, prefillLatencyMs: latencyMs, directTokensPerMs: 20,
	}), {queue: 500}, {leaseMs: 60_000, orphanMs: 60_000});
	const random = createSeededRandom(7);
	const events: Array<{readonly at: number; readonly run: () => readonly PoolEffect[]}> = [];
	const firstAt = new Map<string, number>();
	const freeAt = new Map<string, number>();
	const outcome: Outcome = {inTime: 0, late: 0, lost: 0};
	const ask = (id: string, attempt: number, now: number): void => {
		const elapsedMs = isKnown ? now - firstAt.get(id)! : 0;
		events.push({
			at: now, run: () => pool.step({
				kind: 'place', req: {
					...toHold(toId<RequestId>(id), toId<AttemptNumber>(attempt)), service: toId<ServiceName>('lm'), class: 'patient', holder: toId<InstanceId>('i1'), promptTokens, maxTokens: 900, pieces: 355, prefix: '', deadline: at(now + 2200), firstOutputBy: at(now + Math.max(0, targetMs - elapsedMs)), excluded: [],
				},
			}, at(now)),
		});
	};

	const take = (effects: readonly PoolEffect[], now: number): void => {
		for (const effect of effects) {
			const id = String(effect.hold.requestId);
			if (effect.kind === 'refused' && effect.hold.attempt === 1) {
				ask(id, 2, now + (targetMs * (2.5 + (2 * random.next()))));
			} else if (effect.kind === 'refused') {
				outcome.lost += 1;
			} else if (effect.kind === 'placed') {
				const {prefill, decode} = effect.placement;
				const readMs = promptTokens / (prefill.id === decode.id ? 20 : prefillTokensPerMs);
				const doneAt = Math.max(now, freeAt.get(prefill.id) ?? 0) + readMs + latencyMs;
				freeAt.set(prefill.id, doneAt - latencyMs);
				outcome[doneAt + 150 - firstAt.get(id)! <= targetMs ? 'inTime' : 'late'] += 1;
				events.push(
					{at: doneAt, run: () => pool.step({kind: 'prefillDone', hold: effect.hold}, at(doneAt))},
					{at: doneAt + decodeMs, run: () => pool.step({kind: 'release', hold: effect.hold}, at(doneAt + decodeMs))},
				);
			}
		}
	};

	pool.step({kind: 'engines', engines, leaving: new Set()}, at(0));
	let owed = 0;
	for (let now = 0; now < 40_000; now += 10) {
		owed += now < 30_000 ? rateAt(now) / 100 : 0;
		for (; owed >= 1; owed -= 1) {
			const id = `${now}-${owed.toFixed(3)}`;
			firstAt.set(id, now);
			ask(id, 1, now);
		}

		const due = events.filter(event => event.at < now + 10).toSorted((a, b) => a.at - b.at);
		for (const event of due) {
			events.splice(events.indexOf(event), 1);
			take(event.run(), Math.max(now, event.at));
		}

		take(pool.step(now % 100 === 0 ? {kind: 'tick'} : {kind: 'drain'}, at(now + 10)), now + 10);
	}

	return outcome;
};

const worthOf = ({inTime, late}: Outcome): number => (inTime * worth.inTime) + (late * worth.late);

test('callers that come back wait behind those that can still be served in time', () => {
	const known = replay(true);
	const unknown = replay(false);
	process.stdout.write(`returning callers: known ${JSON.stringify(known)}, unknown ${JSON.stringify(unknown)}\n`);
	expect(known.inTime).toBeGreaterThan(unknown.inTime);
	expect(worthOf(known)).toBeGreaterThan(worthOf(unknown));
	expect(known.lost).toBeLessThanOrEqual(unknown.lost + 2);
});
