/** Guards against clients of many small chunks that keep ordinary requests from being read. */
import {describe, expect, test} from 'vitest';
import {
	costOfParsing, defaultReadLimits, ReadSchedule,
} from '@baobabpier/core';
import type {ParseWork, ReadHandle} from '@baobabpier/core';

/** Bytes that one read of a socket returns at most. */
const readBytes = 64 * 1024;
/** Bytes of a chunk of one byte with its length. */
const chunkBytes = 6;
const ordinaryBytes = 300;

const chunksOf = (bytes: number): ParseWork => ({bytes, chunks: Math.floor(bytes / chunkBytes), requests: 0});
const wholeRequest = (bytes: number): ParseWork => ({bytes, chunks: 1, requests: 1});

/** What a turn parsed. */
type Turn = {readonly cost: number; readonly handles: readonly ReadHandle[]};

/** Runs one turn; `refill` gives the connections of a crowd their next bytes. */
const runTurn = (schedule: ReadSchedule, workOf: (handle: ReadHandle, bytes: number) => ParseWork, refill?: (handle: ReadHandle) => void): Turn => {
	schedule.beginTurn();
	let cost = 0;
	const handles: ReadHandle[] = [];
	for (let slice = schedule.next(); slice !== undefined; slice = schedule.next()) {
		const work = workOf(slice.handle, slice.bytes);
		cost += costOfParsing(work);
		handles.push(slice.handle);
		schedule.spend(slice.handle, work);
		if (slice.handle.heldBytes === 0) {
			refill?.(slice.handle);
		}
	}

	return {cost, handles};
};

describe('beside clients that send chunks of one byte without pause', () => {
	test.each([
		{clients: 1, newcomers: 20, maxTurns: 1},
		{clients: 100, newcomers: 1, maxTurns: 1},
		{clients: 339, newcomers: 20, maxTurns: 1},
	])('$newcomers ordinary requests of $clients such clients\' port are read within $maxTurns turns', ({clients, newcomers, maxTurns}) => {
		const schedule = new ReadSchedule(defaultReadLimits);
		const refill = (handle: ReadHandle): void => {
			schedule.arrive(handle, readBytes);
		};

		const crowd = Array.from({length: clients}, () => schedule.open());
		for (const handle of crowd) {
			refill(handle);
		}

		const ordinary = new Set<ReadHandle>();
		const workOf = (handle: ReadHandle, bytes: number): ParseWork => ordinary.has(handle) ? wholeRequest(bytes) : chunksOf(bytes);
		// The first slice of each shows what its bytes cost
		for (let turn = 0; turn < clients; turn++) {
			runTurn(schedule, workOf, refill);
		}

		for (let index = 0; index < newcomers; index++) {
			const handle = schedule.open();
			ordinary.add(handle);
			schedule.arrive(handle, ordinaryBytes);
		}

		for (let turn = 0; turn < maxTurns; turn++) {
			runTurn(schedule, workOf, handle => {
				if (!ordinary.has(handle)) {
					refill(handle);
				}
			});
		}

		expect([...ordinary].map(({heldBytes}) => heldBytes)).toEqual([...ordinary].map(() => 0));
	});

	test('a request behind the first bytes of 339 newcomers is read once each of them had a slice', () => {
		const schedule = new ReadSchedule(defaultReadLimits);
		for (let index = 0; index < 339; index++) {
			schedule.arrive(schedule.open(), readBytes);
		}

		const ordinary = schedule.open();
		schedule.arrive(ordinary, ordinaryBytes);
		const sliceCost = costOfParsing(chunksOf(defaultReadLimits.sliceBytes));
		const maxTurns = Math.ceil(340 * sliceCost / defaultReadLimits.turnCost);
		let turns = 0;
		for (; ordinary.heldBytes > 0; turns++) {
			runTurn(schedule, (handle, bytes) => handle === ordinary ? wholeRequest(bytes) : chunksOf(bytes));
		}

		expect(turns).toBeLessThanOrEqual(maxTurns);
	});

	test('no turn costs more than its bound and two slices', () => {
		const schedule = new ReadSchedule(defaultReadLimits);
		const maxSliceCost = costOfParsing(chunksOf(defaultReadLimits.maxSliceBytes));
		for (let index = 0; index < 100; index++) {
			schedule.arrive(schedule.open(), readBytes);
		}

		// Bytes that alternate between cheap and dear ones make slices as large as they get
		let slices = 0;
		const costs = Array.from({length: 500}, () => runTurn(schedule, (_handle, bytes) => slices++ % 5 === 4 ? chunksOf(bytes) : {bytes, chunks: 1, requests: 0}, handle => {
			schedule.arrive(handle, readBytes);
		}).cost);
		expect(Math.max(...costs)).toBeLessThanOrEqual(defaultReadLimits.turnCost + (2 * maxSliceCost));
	});

	test('all of them go on, and beside ordinary requests without end one slice a turn', () => {
		const schedule = new ReadSchedule(defaultReadLimits);
		const clients = 10;
		const crowd = Array.from({length: clients}, () => schedule.open());
		for (const handle of crowd) {
			schedule.arrive(handle, readBytes);
		}

		for (let turn = 0; turn < clients; turn++) {
			runTurn(schedule, (_handle, bytes) => chunksOf(bytes));
		}

		const newcomersPerTurn = 2 * defaultReadLimits.turnCost / costOfParsing(wholeRequest(ordinaryBytes));
		const served = new Set<ReadHandle>();
		for (let turn = 0; turn < clients; turn++) {
			for (let index = 0; index < newcomersPerTurn; index++) {
				schedule.arrive(schedule.open(), ordinaryBytes);
			}

			const {handles} = runTurn(schedule, (handle, bytes) => crowd.includes(handle) ? chunksOf(bytes) : wholeRequest(bytes));
			const [heavy, ...more] = handles.filter(handle => crowd.includes(handle));
			expect(more).toEqual([]);
			served.add(heavy!);
		}

		expect(served.size).toBe(crowd.length);
	});
});

describe('in calm', () => {
	test.each([
		{
			name: 'four million chunks of one byte', bytes: 4_194_304 * chunkBytes, workOf: chunksOf, maxTurns: Math.ceil(4_194_304 / defaultReadLimits.turnCost) + 1,
		},
		{
			name: 'four megabytes in one chunk', bytes: 4_194_304, workOf: (bytes: number): ParseWork => ({bytes, chunks: 1, requests: 0}), maxTurns: 1,
		},
	])('a body of $name is read in $maxTurns turns at most', ({bytes, workOf, maxTurns}) => {
		const schedule = new ReadSchedule(defaultReadLimits);
		const handle = schedule.open();
		let left = bytes;
		const refill = (): void => {
			const next = Math.min(left, readBytes);
			left -= next;
			schedule.arrive(handle, next);
		};

		refill();
		let turns = 0;
		for (; schedule.isWaiting; turns++) {
			runTurn(schedule, (_handle, slice) => workOf(slice), refill);
		}

		expect(turns).toBeLessThanOrEqual(maxTurns);
	});

	test('what a connection holds is counted until it is parsed or the connection closes', () => {
		const schedule = new ReadSchedule(defaultReadLimits);
		const [first, second] = [schedule.open(), schedule.open()];
		schedule.arrive(first, 100);
		schedule.arrive(second, 50);
		expect(schedule.heldBytes).toBe(150);
		schedule.close(second);
		expect(schedule.heldBytes).toBe(100);
		runTurn(schedule, (_handle, bytes) => wholeRequest(bytes));
		expect(schedule.heldBytes).toBe(0);
		expect(schedule.isWaiting).toBe(false);
	});

	test('a connection that is suspended is not read until it is resumed', () => {
		const schedule = new ReadSchedule(defaultReadLimits);
		const handle = schedule.open();
		schedule.arrive(handle, 100);
		schedule.suspend(handle);
		schedule.arrive(handle, 20);
		expect(schedule.next()).toBeUndefined();
		schedule.resume(handle);
		expect(schedule.next()).toEqual({handle, bytes: 120});
	});
});
