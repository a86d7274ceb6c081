import fc from 'fast-check';
import {expect, test} from 'vitest';
import {
	createSeededRandom, pickIndex, ServerAvailability, toId,
} from '@baobabpier/core';
import type {BackendId, Instant, SendEffect} from '@baobabpier/core';

const at = (ms: number): Instant => ms as Instant;
const stepMs = 20;
const dayMs = 40_000;
/** The server list is read this often; some lists are older ones or lack servers. */
const listIntervalMs = 700;
/** A time asked for binds from this long after the response. */
const graceMs = 500;
/** Requests that a server may get within the time it asked for. */
const maxSendsHeldBack = 2;
/** Width of the slow start after a time asked for. */
const slowStartMs = 300;

/** A server of the simulated fleet. */
type SimulatedServer = {
	readonly id: BackendId;
	leavesAt: number;
	endsAt: number;
	/** When this instance read a response that says the server leaves. */
	markedAt: number | undefined;
	readonly answers: Array<{readonly at: number; readonly until: number}>;
	readonly sends: Array<{readonly at: number; readonly effect: SendEffect}>;
};

/**
 * Plays a day in which servers start, leave, end and refuse requests with times to come back, while requests of all kinds are sent to listed
 * servers that have no block. Lists show servers that leave as ready, and some are older ones or incomplete.
 */
const playHistory = (seed: number) => {
	const random = createSeededRandom(seed);
	const availability = new ServerAvailability();
	const fleet: SimulatedServer[] = [];
	const lists: BackendId[][] = [];
	const violations: string[] = [];
	let listed: readonly BackendId[] = [];
	let maxSize = 0;
	const start = (now: number): void => {
		const leavesAt = now + 2000 + pickIndex(random, 20_000);
		fleet.push({
			id: toId<BackendId>(`i${fleet.length}`), leavesAt, endsAt: leavesAt + 3000 + pickIndex(random, 8000), markedAt: undefined, answers: [], sends: [],
		});
	};

	/** Sends a request, whose response comes at once. */
	const send = (server: SimulatedServer, effect: SendEffect, now: number): void => {
		availability.recordSend(server.id, effect, at(now));
		server.sends.push({at: now, effect});
		if (effect === 'work' && server.markedAt !== undefined) {
			violations.push(`${server.id} got work at ${now}, marked at ${server.markedAt}`);
		}

		if (now >= server.leavesAt && random.next() < 0.9) {
			server.markedAt ??= now;
			availability.recordLeaving(server.id, at(now));
		} else if (random.next() < 0.05) {
			const ms = pickIndex(random, 6000);
			server.answers.push({at: now, until: now + ms});
			availability.recordHoldBack(server.id, ms, at(now));
		}
	};

	for (let count = 0; count < 4; count++) {
		start(0);
	}

	for (let now = 0; now < dayMs; now += stepMs) {
		const running = fleet.filter(({endsAt}) => now < endsAt);
		if (running.filter(({leavesAt}) => now < leavesAt).length < 3 && random.next() < 0.05) {
			start(now);
		}

		if (now % listIntervalMs < stepMs) {
			const current = fleet.filter(({endsAt}) => now < endsAt).map(({id}) => id);
			lists.push(current);
			const read = random.next() < 0.1 ? lists[Math.max(0, lists.length - 1 - pickIndex(random, 4))]! : current.filter(() => random.next() > 0.05);
			listed = read;
			availability.retain(new Set(read), at(now));
			maxSize = Math.max(maxSize, availability.size);
		}

		const isFree = listed.some(id => {
			const server = fleet.find(item => item.id === id)!;
			return server.markedAt === undefined && server.answers.every(answer => now >= answer.until + slowStartMs);
		});
		const usable = listed.filter(id => availability.findBlock(id, 'work', at(now)) === undefined);
		if ((isFree && usable.length === 0) || ((usable.length > 0) !== (availability.availableInMs(listed, at(now)) === 0 && listed.length > 0))) {
			violations.push(`no server at ${now} though one is free`);
		}

		for (let count = pickIndex(random, 3); count > 0; count--) {
			const id = listed[pickIndex(random, Math.max(1, listed.length))];
			const server = fleet.find(item => item.id === id);
			const effect = (['work', 'work', 'work', 'release', 'probe'] as const)[pickIndex(random, 5)]!;
			if (server !== undefined && availability.findBlock(server.id, effect, at(now)) === undefined) {
				send(server, effect, now);
			}
		}
	}

	for (const {id, answers, sends} of fleet) {
		for (const answer of answers) {
			const early = sends.filter(item => item.at > answer.at + graceMs && item.at < answer.until).length;
			if (early > maxSendsHeldBack) {
				violations.push(`${id} got ${early} requests within the time it asked for at ${answer.at}`);
			}

			const ends = answers.every(other => other === answer || other.until <= answer.until);
			const rush = sends.filter(item => item.effect === 'work' && item.at >= answer.until && item.at < answer.until + 50).length;
			if (ends && answer.until > answer.at && rush > 1) {
				violations.push(`${id} got ${rush} requests at once at ${answer.until}`);
			}
		}
	}

	availability.retain(new Set(), at(dayMs));
	availability.retain(new Set(), at(dayMs + 10_000));
	return {
		violations, size: availability.size, maxSize, marks: fleet.filter(({markedAt}) => markedAt !== undefined).length, holds: fleet.flatMap(({answers}) => answers).length, sends: fleet.flatMap(({sends}) => sends).length,
	};
};

test('no marked server gets work, times are kept, no service starves, and nothing is remembered of servers that ended', () => {
	const totals = {marks: 0, holds: 0, sends: 0};
	fc.assert(fc.property(fc.integer({min: 1, max: 1_000_000}), seed => {
		const {violations, size, maxSize, marks, holds, sends} = playHistory(seed);
		expect(violations).toEqual([]);
		expect(size).toBe(0);
		expect(maxSize).toBeLessThan(20);
		totals.marks += marks;
		totals.holds += holds;
		totals.sends += sends;
	}), {numRuns: 300, seed: 7});
	expect(totals.marks).toBeGreaterThan(300);
	expect(totals.holds).toBeGreaterThan(1000);
	expect(totals.sends).toBeGreaterThan(30_000);
});
