import {
	afterEach, beforeEach, describe, expect, test, vi,
} from 'vitest';
import {ManualClock, toId} from '@baobabpier/core';
import type {BackendId, ListedServer, ServiceName} from '@baobabpier/core';
import {AvailabilityGate} from '../../gateway/availability-gate.js';
import {FleetView} from '../../gateway/fleet-view.js';
import type {ServerNotice} from '../../gateway/types.js';
import {registerLogSink} from '../../log.js';
import {noLimits} from './open-gate.js';

const x = toId<BackendId>('x');
const y = toId<BackendId>('y');
const service = toId<ServiceName>('lm');
const nothing: ServerNotice = {isLeaving: false, retryAfterMs: undefined, requestsPerSecond: undefined};
const leaves: ServerNotice = {...nothing, isLeaving: true};
const asks = (retryAfterMs: number): ServerNotice => ({...nothing, retryAfterMs});
const workKinds = ['run', 'prefill', 'lease', 'order'] as const;
const kinds = [...workKinds, 'release', 'free', 'report', 'liveness'] as const;

let clock: ManualClock;
let counts: Record<string, number>;
let changes: number;
let lines: string[];
let unregister: () => void;
let gate: AvailabilityGate;

beforeEach(() => {
	vi.useFakeTimers();
	clock = new ManualClock();
	counts = {};
	changes = 0;
	lines = [];
	unregister = registerLogSink((_part, sentence) => {
		lines.push(sentence);
	});
	gate = new AvailabilityGate({
		clock,
		limits: noLimits,
		dialect: {readNotice: ([notice]) => JSON.parse(notice!, (_key, value: unknown) => value === 'NaN' ? Number.NaN : value) as ServerNotice},
		count(event, kind) {
			const key = `${event} ${kind}`;
			counts[key] = (counts[key] ?? 0) + 1;
		},
		onChange() {
			changes += 1;
		},
	});
	gate.retain(new Set([x, y]));
});

afterEach(() => {
	gate.stop();
	unregister();
	vi.useRealTimers();
});

/** Has a server answer with a notice. */
const answer = (notice: ServerNotice, status = 200, server = x): void => {
	gate.recordResponse(server, 'run', {status, rawHeaders: [JSON.stringify(notice, (_key, value: unknown) => Number.isNaN(value) ? 'NaN' : value)]}, gate.recordSend(server, 'run'));
};

const advance = (ms: number): void => {
	clock.advance(ms);
	vi.advanceTimersByTime(ms);
};

describe('kinds of calls that a server gets', () => {
	test.each<{readonly name: string; readonly notice: ServerNotice; readonly status: number; readonly sent: readonly string[]}>([
		{
			name: 'says nothing', notice: nothing, status: 200, sent: kinds,
		},
		...[200, 204, 421, 429, 500, 503].map(status => ({
			name: `leaves, with status ${status},`, notice: leaves, status, sent: ['release', 'free', 'report', 'liveness'],
		})),
		{
			name: 'refuses and asks for time', notice: asks(2000), status: 503, sent: ['release', 'free'],
		},
		{
			name: 'names a time without a refusal', notice: asks(2000), status: 429, sent: kinds,
		},
		{
			name: 'leaves and asks for time', notice: {...nothing, isLeaving: true, retryAfterMs: 2000}, status: 503, sent: ['release', 'free'],
		},
	])('a server that $name gets $sent', ({notice, status, sent}) => {
		answer(notice, status);
		expect(kinds.filter(kind => gate.maySend(x, kind))).toEqual(sent);
		expect(kinds.every(kind => gate.maySend(y, kind))).toBe(true);
	});
});

test('a server that asked for time gets one call that returns capacity, then nothing, then a slow start', () => {
	answer(asks(2000), 503);
	gate.recordSend(x, 'free');
	expect(kinds.filter(kind => gate.maySend(x, kind))).toEqual([]);
	advance(2000);
	expect(gate.maySend(x, 'run')).toBe(true);
	gate.recordSend(x, 'run');
	expect([gate.maySend(x, 'run'), gate.availableInMs([x])]).toEqual([false, 50]);
	advance(300);
	expect(gate.maySend(x, 'run')).toBe(true);
	expect(counts).toMatchObject({'asked run': 1, 'sent_anyway free': 1, 'held_back report': 1});
});

test('listeners hear when a server becomes unavailable and when its time is over', () => {
	answer(asks(2000), 503);
	answer(asks(1000), 503);
	answer(asks(3000), 503, y);
	answer(leaves, 200, y);
	answer(leaves, 200, y);
	expect(changes).toBe(3);
	expect([...gate.unavailable].toSorted()).toEqual(['x', 'y']);
	expect([gate.leavingCount, gate.heldBackCount]).toEqual([1, 2]);
	advance(2000);
	expect([changes, ...gate.unavailable]).toEqual([4, 'y']);
	advance(1000);
	expect(changes).toBe(5);
	expect(counts).toMatchObject({'marked run': 1, 'asked run': 3});
});

test('a time that can\'t be used is logged once for each server', () => {
	for (const ms of [Number.NaN, -4, 172_800_000]) {
		answer(asks(ms), 503);
	}

	answer(asks(Number.NaN), 503, y);
	expect(lines.filter(line => line.includes('out of bounds'))).toHaveLength(2);
	expect(gate.availableInMs([x])).toBe(300_000);
});

describe('the view of the fleet', () => {
	const listed = (id: BackendId, change: Partial<ListedServer> = {}) => ({
		id, service, slots: 8, leaving: false, role: 'decode', address: '127.0.0.1:1', ...change,
	} as unknown as ListedServer);
	test.each([
		{
			name: 'nothing is said', said: [], usable: ['x', 'y'], forMs: 0,
		},
		{
			name: 'one leaves', said: [{server: x, notice: leaves}], usable: ['y'], forMs: 0,
		},
		{
			name: 'one leaves and one asks for time', said: [{server: x, notice: leaves}, {server: y, notice: asks(2500)}], usable: [], forMs: 2500,
		},
		{
			name: 'both leave', said: [{server: x, notice: leaves}, {server: y, notice: leaves}], usable: [], forMs: 1000,
		},
	])('lists $usable as usable when $name', ({said, usable, forMs}) => {
		const fleet = new FleetView(clock, gate);
		fleet.replace([listed(x), listed(y)]);
		for (const {server, notice} of said) {
			answer(notice, 503, server);
		}

		fleet.replace([listed(x), listed(y)]);
		expect(fleet.usable(service).map(({id}) => id)).toEqual(usable);
		expect(fleet.loads(service).map(({id}) => id)).toEqual(usable);
		expect([x, y].filter(id => fleet.findUsable(id) !== undefined)).toEqual(usable);
		expect([fleet.unavailableForMs(service, 'decode'), fleet.unavailableForMs(service, 'prefill')]).toEqual([forMs, 0]);
	});

	test('a new server at the address of one that left gets work', () => {
		const fleet = new FleetView(clock, gate);
		fleet.replace([listed(x)]);
		answer(leaves);
		fleet.replace([listed(toId<BackendId>('z'))]);
		expect(fleet.usable(service).map(({id}) => id)).toEqual(['z']);
	});
});
