/** Many instances ask for the permits of one limited server while leaders change; the server counts what arrives. */
import {describe, expect, test} from 'vitest';
import {
	addMs, createSeededRandom, KnownRateLimits, ManualClock, RateLimitTable, toId,
} from '../../index.js';
import type {
	BackendId, InstanceId, Instant, RandomSource, RateLimitsSnapshot,
} from '../../index.js';

const server = toId<BackendId>('s1');
const stepMs = 10;
const windowMs = 4000;
const durationMs = 60_000;
/** Time for which a permit is valid, and until a new leader grants. */
const permitTtlMs = 500;
const electionMs = 1500;
/** A limit binds from this long after it was first named. */
const contactMs = 3000;

type Simulated = {
	readonly known: KnownRateLimits;
	/** When the leader's answer arrives whose request was sent. */
	permits: Instant[];
};

const simulate = ({instances, limitAt, requestsPerSecond, leaderLossMs}: {instances: number; limitAt: (ms: number) => number | undefined; requestsPerSecond: number; leaderLossMs: number}, random: RandomSource): {most: number; total: number; named: number} => {
	const clock = new ManualClock();
	const arrivals: number[] = [];
	const entries = Array.from({length: instances}, (_, index): Simulated => ({known: new KnownRateLimits(toId<InstanceId>(`e${index}`)), permits: []}));
	let term = 1;
	let table: RateLimitTable | undefined = new RateLimitTable(term);
	let electedAt = 0;
	let snapshot: RateLimitsSnapshot | undefined;
	const observe = (entry: Simulated, isPermitted: boolean, sentWith: ReturnType<KnownRateLimits['revisionOf']>): void => {
		const said = limitAt(clock.now());
		if (said !== undefined) {
			entry.known.name(server, said, sentWith, clock.now());
		}

		table?.observe({
			server, requestsPerSecond: said, sentAt: clock.now(), isPermitted, instance: toId<InstanceId>('e'),
		}, clock.now());
	};

	for (let now = 0; now < durationMs; now += stepMs) {
		if (table !== undefined && now - electedAt > leaderLossMs) {
			[table, electedAt] = [undefined, now + electionMs];
		} else if (table === undefined && now >= electedAt) {
			term += 1;
			table = new RateLimitTable(term);
			table.adopt(entries.flatMap(({known}) => known.recorded), clock.now());
		}

		if (table !== undefined && table.snapshot !== snapshot) {
			snapshot = table.snapshot;
			for (const {known} of entries) {
				known.apply(snapshot.limits, clock.now());
			}
		}

		for (const entry of entries) {
			if (random.next() >= requestsPerSecond * stepMs / 1000 / instances) {
				continue;
			}

			const {known} = entry;
			const sentWith = known.revisionOf(server);
			const isLimited = known.isLimited(server);
			if (isLimited && known.availableInMs(server, true, clock.now()) === 0) {
				const decision = table?.acquire({server, class: 'urgent', requestId: undefined}, clock.now()) ?? {kind: 'denied', availableInMs: 500};
				if (decision.kind === 'granted') {
					entry.permits.push(addMs(clock.now(), random.next() * permitTtlMs));
				} else {
					known.recordDenial(server, 'urgent', decision.availableInMs, clock.now());
				}
			} else if (!isLimited) {
				arrivals.push(now);
				observe(entry, false, sentWith);
			}
		}

		for (const entry of entries) {
			for (let due = entry.permits.filter(at => at <= clock.now()).length; due > 0; due--) {
				arrivals.push(now);
				observe(entry, true, entry.known.revisionOf(server));
			}

			entry.permits = entry.permits.filter(at => at > clock.now());
		}

		clock.advance(stepMs);
	}

	const named = arrivals.find(at => limitAt(at) !== undefined) ?? 0;
	const bound = arrivals.filter(at => at >= named + contactMs);
	return {most: Math.max(0, ...bound.map(start => bound.filter(at => at >= start && at < start + windowMs).length)), total: bound.length, named};
};

describe('a limit holds over all instances', () => {
	test.each([6, 12, 79, 195].flatMap(instances => [0.2, 1, 1.1, 4, 40].flatMap(limit => [6000, Number.POSITIVE_INFINITY].map(leaderLossMs => ({instances, limit, leaderLossMs})))))('$instances instances, $limit a second, a new leader every $leaderLossMs ms', ({instances, limit, leaderLossMs}) => {
		for (const seed of [1, 2, 3]) {
			const {most, total} = simulate({
				instances, limitAt: () => limit, requestsPerSecond: Math.max(20, limit * 4), leaderLossMs,
			}, createSeededRandom(seed));
			expect(most).toBeLessThanOrEqual((1.5 * limit * (windowMs / 1000)) + 5);
			// Half of the limit is used even while leaders change
			expect(total).toBeGreaterThanOrEqual(Math.floor(limit * (durationMs - contactMs) / 1000 * 0.5));
		}
	});

	test.each([6, 79])('%i instances send freely again once a limit is lifted, and keep the next one', instances => {
		const limitAt = (ms: number): number | undefined => ms < 20_000 || ms > 40_000 ? 1 : undefined;
		const {total} = simulate({
			instances, limitAt, requestsPerSecond: 20, leaderLossMs: 9000,
		}, createSeededRandom(4));
		expect(total).toBeGreaterThan(20 * 10);
		expect(total).toBeLessThan((20 * 23) + 60);
	});
});
