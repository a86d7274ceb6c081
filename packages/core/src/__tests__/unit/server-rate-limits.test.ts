import {
	beforeEach, describe, expect, test,
} from 'vitest';
import {
	addMs, KnownRateLimits, ManualClock, RateLimitTable, toId,
} from '../../index.js';
import type {
	BackendId, InstanceId, PermitClass, RequestId, ServerRateLimit,
} from '../../index.js';

const server = toId<BackendId>('s1');
const instance = toId<InstanceId>('e1');
const self = toId<InstanceId>('e2');
let clock: ManualClock;
let table: RateLimitTable;

beforeEach(() => {
	clock = new ManualClock();
	clock.advance(1000);
	table = new RateLimitTable(1);
});

/** Has the server say something in the response to a request that was sent `sentAgoMs` ago. */
const say = (requestsPerSecond: number | undefined, {sentAgoMs = 0, isPermitted = true} = {}): unknown => table.observe({
	server, requestsPerSecond, sentAt: addMs(clock.now(), -sentAgoMs), isPermitted, instance,
}, clock.now());

const acquire = (permitClass: PermitClass = 'patient', requestId?: string): boolean => table.acquire({
	server, class: permitClass, requestId: requestId === undefined ? undefined : toId<RequestId>(requestId),
}, clock.now()).kind === 'granted';

const limitInForce = (): number | undefined => table.limitOf(server)?.requestsPerSecond;

/** Requests granted within a time in which every permit is asked for at once. */
const grantedWithin = (ms: number, permitClass: PermitClass = 'patient'): number => {
	let count = 0;
	for (let passed = 0; passed < ms; passed += 10) {
		clock.advance(10);
		count += acquire(permitClass) ? 1 : 0;
	}

	return count;
};

describe('what responses say', () => {
	test.each([
		{name: 'begins a limit', said: [() => say(1, {isPermitted: false})], limit: 1},
		{name: 'raises and lowers it', said: [() => say(1), () => say(4), () => say(0.4)], limit: 0.4},
		{name: 'lifts it, in the response to a request with a permit', said: [() => say(1), () => say(undefined)], limit: undefined},
		{name: 'does not lift it in the response to a request that was sent before it was known', said: [() => say(1), () => say(undefined, {isPermitted: false})], limit: 1},
		{name: 'is ignored of a request older than that of the newest response', said: [() => say(4, {sentAgoMs: 100}), () => say(1), () => say(4, {sentAgoMs: 500})], limit: 1},
		{name: 'does not lift it when it is older', said: [() => say(1), () => say(undefined, {sentAgoMs: 500})], limit: 1},
		{name: 'does not restore a lifted limit when it is older', said: [() => say(1), () => say(undefined), () => say(1, {sentAgoMs: 500, isPermitted: false})], limit: undefined},
		{name: 'begins a lifted limit anew', said: [() => say(1), () => say(undefined), () => say(2, {isPermitted: false})], limit: 2},
		{name: 'is ignored when unreadable', said: [() => say(2), () => say(Number.NaN)], limit: 2},
		{name: 'says the same once more, which older responses then do not change', said: [() => say(1), () => say(1), () => say(9, {sentAgoMs: 150})], limit: 1},
	])('$name', ({said, limit}) => {
		for (const response of said) {
			clock.advance(100);
			response();
		}

		expect(limitInForce()).toBe(limit);
	});

	test('of a server that is not listed any more is forgotten after some seconds', () => {
		say(1);
		table.retain(new Set(), clock.now());
		clock.advance(4000);
		table.retain(new Set(), clock.now());
		expect(limitInForce()).toBe(1);
		clock.advance(1000);
		table.retain(new Set(), clock.now());
		expect(limitInForce()).toBeUndefined();
	});
});

describe('permits', () => {
	test.each([
		{limit: 1, ms: 4000, most: 4},
		{limit: 0.2, ms: 20_000, most: 4},
		{limit: 0, ms: 20_000, most: 2},
		{limit: 50, ms: 4000, most: 200},
	])('at $limit a second stay at $most within $ms ms from the start', ({limit, ms, most}) => {
		say(limit);
		const granted = grantedWithin(ms);
		expect(granted).toBeLessThanOrEqual(most);
		expect(granted).toBeGreaterThanOrEqual(most - 1);
	});

	test('that nobody wants add up to two', () => {
		say(1);
		clock.advance(60_000);
		expect([acquire(), acquire(), acquire()]).toEqual([true, true, false]);
	});

	test('go to urgent requests first, and patient ones make progress', () => {
		say(1);
		let [urgent, patient] = [0, 0];
		for (let passed = 0; passed < 60_000; passed += 50) {
			clock.advance(50);
			patient += acquire('patient') ? 1 : 0;
			urgent += acquire('urgent') ? 1 : 0;
		}

		expect(urgent).toBeGreaterThan(patient * 3);
		expect(patient).toBeGreaterThan(3);
	});

	test('go to calls of instances for themselves at an eighth of the rate', () => {
		say(2);
		expect(grantedWithin(40_000, 'upkeep')).toBeLessThanOrEqual(11);
	});

	test('are kept for placed requests until these use or return them', () => {
		say(1);
		clock.advance(1000);
		expect(table.isOpen(server, clock.now())).toBe(true);
		table.reserve(server, toId<RequestId>('r1'), clock.now());
		expect(table.isOpen(server, clock.now())).toBe(false);
		expect([acquire('urgent', 'r2'), acquire('patient', 'r1'), acquire('patient', 'r1')]).toEqual([false, true, false]);
		clock.advance(1000);
		table.reserve(server, toId<RequestId>('r3'), clock.now());
		table.release(toId<RequestId>('r3'));
		expect(acquire('urgent')).toBe(true);
	});

	test('that are denied have turns', () => {
		say(1);
		const turns = Array.from({length: 4}, () => table.acquire({server, class: 'patient', requestId: undefined}, clock.now()));
		expect(turns).toEqual([1000, 2000, 3000, 4000].map(availableInMs => ({kind: 'denied', availableInMs})));
	});

	test('of a new term start at none, with the limits that instances know', () => {
		say(1);
		clock.advance(10_000);
		const known = table.snapshot.limits;
		table = new RateLimitTable(2);
		table.adopt(known, clock.now());
		expect([limitInForce(), acquire('urgent')]).toEqual([1, false]);
	});

	test('are not needed for a server without a limit', () => {
		expect(acquire()).toBe(true);
	});
});

describe('an instance', () => {
	let known: KnownRateLimits;
	const limitOf = (requestsPerSecond: number | undefined, term: number, count: number): ServerRateLimit => ({
		server, requestsPerSecond, revision: {term, count}, namedTo: instance,
	});

	beforeEach(() => {
		known = new KnownRateLimits(self);
	});

	test('needs permits as soon as a response names a limit, and until the leader says that it is over', () => {
		expect(known.name(server, 1, undefined, clock.now())).toBe(true);
		expect(known.isLimited(server)).toBe(true);
		known.apply([limitOf(1, 1, 1)], clock.now());
		known.apply([limitOf(undefined, 1, 2)], clock.now());
		expect(known.isLimited(server)).toBe(false);
	});

	test('begins no limit by the response to a request that was sent before the end of the former one was known', () => {
		known.apply([limitOf(1, 1, 1)], clock.now());
		const sentWith = known.revisionOf(server);
		known.apply([limitOf(undefined, 1, 2)], clock.now());
		expect(known.name(server, 1, sentWith, clock.now())).toBe(false);
		expect(known.name(server, 1, known.revisionOf(server), clock.now())).toBe(true);
	});

	test('applies nothing older than what it knows', () => {
		known.apply([limitOf(2, 2, 1)], clock.now());
		expect(known.apply([limitOf(9, 1, 7)], clock.now())).toEqual([]);
		expect(known.requestsPerSecond(server)).toBe(2);
	});

	test('knows until when no permit is to be had, for urgent and other requests apart', () => {
		known.apply([limitOf(1, 1, 1)], clock.now());
		known.recordDenial(server, 'patient', 3000, clock.now());
		known.recordDenial(server, 'urgent', 500, clock.now());
		expect([known.availableInMs(server, true, clock.now()), known.availableInMs(server, false, clock.now())]).toEqual([500, 3000]);
		expect(known.exhausted(clock.now())).toEqual([server]);
		clock.advance(500);
		expect(known.exhausted(clock.now())).toEqual([]);
	});
});
