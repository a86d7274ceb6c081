import {expect, test} from 'vitest';
import {emptySnapshot, toId} from '@baobabpier/core';
import type {
	HardState, InstanceId, LogEntry, LogIndex, LogTime, PersistEffect, Term,
} from '@baobabpier/core';
import {FaultyFileSystem} from './faulty-file-system.js';
import type {FailureRule, FileCall} from './faulty-file-system.js';
import {ReplicaStorage, StorageError} from '@baobabpier/daemon';

const instance = toId<InstanceId>('i1');
const folder = '/data';
const term = toId<Term>(1);

const entryAt = (index: number): LogEntry => ({
	index: toId<LogIndex>(index), term, at: toId<LogTime>(index), payload: {kind: 'noop'},
});
const hardAt = (commit: number): HardState => ({
	cluster: 'c', term, vote: undefined, commit: toId<LogIndex>(commit),
});
const persistOf = (from: number, to: number): PersistEffect => ({
	kind: 'persist', sequence: to, hard: hardAt(from - 1), snapshot: undefined, entries: Array.from({length: to - from + 1}, (_, offset) => entryAt(from + offset)),
});
const snapshotOf = (index: number, keepsTail = true): PersistEffect => ({
	kind: 'persist', sequence: index, hard: hardAt(index), entries: [], snapshot: {keepsTail, snapshot: {...emptySnapshot, index: toId<LogIndex>(index), term}},
});

const lastOf = ({recovered: {snapshot, entries}}: ReplicaStorage): number => snapshot.index + entries.length;

const faultOf = async (run: Promise<unknown>): Promise<string> => {
	try {
		await run;
		return 'none';
	} catch (error) {
		return error instanceof StorageError ? error.fault : String(error);
	}
};

/** Every entry after the snapshot, without a gap or a change. */
const expectWhole = ({recovered: {snapshot, entries}}: ReplicaStorage): void => {
	expect(entries).toEqual(entries.map((_, offset) => entryAt(snapshot.index + 1 + offset)));
};

/** Persists batches with a snapshot in their middle; opens the folder again after each failure, as a replica does. */
class Driver {
	confirmed = 0;
	attempted = 0;
	failures = 0;
	/** Whether the power goes as soon as a folder was opened again. */
	cutsPower = false;
	storageId: string | undefined;
	storage: ReplicaStorage | undefined;

	constructor(readonly fs: FaultyFileSystem) {}

	async run(): Promise<void> {
		for (let round = 0; this.confirmed < 12; round++) {
			expect(round).toBeLessThan(100);
			// eslint-disable-next-line no-await-in-loop
			await this.#open();
			// eslint-disable-next-line no-await-in-loop
			await this.#persistNext();
		}

		await this.storage!.close();
		this.storage = undefined;
		this.fs.cutPower();
		await this.#open();
	}

	async #open(): Promise<void> {
		const before = this.storage;
		if (before !== undefined && this.failures === 0) {
			return;
		}

		this.failures = 0;
		await before?.close();
		let opened: ReplicaStorage | undefined;
		for (let tries = 0; opened === undefined; tries++) {
			expect(tries).toBeLessThan(100);
			try {
				// eslint-disable-next-line no-await-in-loop
				opened = await ReplicaStorage.open(this.fs, folder, instance, before?.confirmed);
			} catch (error) {
				expect((error as StorageError).isTransient).toBe(true);
			}

			if (this.cutsPower && opened !== undefined) {
				const last = lastOf(opened);
				this.fs.cutPower();
				// What was recovered counts as synced from now on
				this.confirmed = Math.max(this.confirmed, last);
				this.cutsPower = false;
				// eslint-disable-next-line no-await-in-loop
				await opened.close();
				opened = undefined;
			}
		}

		this.storage = opened;
		expect(lastOf(opened)).toBeGreaterThanOrEqual(this.confirmed);
		expect(lastOf(opened)).toBeLessThanOrEqual(this.attempted);
		expectWhole(opened);
		if (this.confirmed > 0) {
			expect(opened.storageId).toBe(this.storageId);
		}

		this.storageId = opened.storageId;
		this.confirmed = lastOf(opened);
	}

	async #persistNext(): Promise<void> {
		const first = this.confirmed + 1;
		this.attempted = this.confirmed + 2;
		const snapshot = this.confirmed === 6 ? [snapshotOf(4)] : [];
		if (await faultOf(this.storage!.persist([persistOf(first, first), ...snapshot, persistOf(first + 1, first + 1)])) === 'none') {
			this.confirmed = this.attempted;
		} else {
			this.failures += 1;
		}
	}
}

const countCalls = async (): Promise<number> => {
	const fs = new FaultyFileSystem();
	await new Driver(fs).run();
	return fs.calls;
};

const lengths = [1, 2, 7];
const codes = ['ENOSPC', 'EIO'];
const cases = lengths.flatMap(length => codes.flatMap(code => [false, true].map(cutsPower => ({length, code, cutsPower}))));

test.each(cases)('$length operations failing with $code at any place lose nothing confirmed (power cut after it: $cutsPower)', async ({length, code, cutsPower}) => {
	const total = await countCalls();
	expect(total).toBeGreaterThan(60);
	for (let from = 0; from < total; from++) {
		const fs = new FaultyFileSystem();
		fs.rule = (call, number) => number >= from && number < from + length ? code : undefined;
		const driver = new Driver(fs);
		driver.cutsPower = cutsPower;
		// eslint-disable-next-line no-await-in-loop
		await driver.run();
		expect(fs.openFiles).toBe(1);
	}
});

const failFirst = (call: FileCall, code = 'EIO'): FailureRule => {
	let isDone = false;
	return now => {
		const fails = now === call && !isDone;
		isDone ||= fails;
		return fails ? code : undefined;
	};
};

const fill = async (fs: FaultyFileSystem): Promise<ReplicaStorage> => {
	const storage = await ReplicaStorage.open(fs, folder, instance);
	await storage.persist([persistOf(1, 3)]);
	await storage.persist([persistOf(4, 6)]);
	return storage;
};

test('a batch whose sync failed counts only once it was written again', async () => {
	const fs = new FaultyFileSystem();
	const storage = await fill(fs);
	fs.rule = failFirst('sync');
	expect(await faultOf(storage.persist([persistOf(7, 9)]))).toBe('writeFailed');
	await storage.close();
	const again = await ReplicaStorage.open(fs, folder, instance, storage.confirmed);
	expect(lastOf(again)).toBe(9);
	fs.cutPower();
	const third = await ReplicaStorage.open(fs, folder, instance);
	expect(lastOf(third)).toBe(9);
});

test('a process that ends between a write and its sync does not take the write for synced', async () => {
	const fs = new FaultyFileSystem();
	const storage = await fill(fs);
	fs.rule = failFirst('sync');
	await faultOf(storage.persist([persistOf(7, 9)]));
	const again = await ReplicaStorage.open(fs, folder, instance);
	fs.cutPower();
	const third = await ReplicaStorage.open(fs, folder, instance);
	expect(lastOf(third)).toBe(lastOf(again));
});

test('a log that lost confirmed records is not opened again under its identity', async () => {
	const fs = new FaultyFileSystem();
	const storage = await fill(fs);
	const log = fs.files.get(`${folder}/log-1`)!;
	log.cached = log.cached.subarray(0, -40);
	expect(await faultOf(ReplicaStorage.open(fs, folder, instance, storage.confirmed))).toBe('corrupt');
});

test('a full folder is not opened, and leaves no file behind', async () => {
	const fs = new FaultyFileSystem();
	const storage = await fill(fs);
	await storage.close();
	fs.capacity = fs.usedBytes + 1000;
	const before = await fs.list();
	for (let tries = 0; tries < 3; tries++) {
		// eslint-disable-next-line no-await-in-loop
		expect(await faultOf(ReplicaStorage.open(fs, folder, instance, storage.confirmed))).toBe('unavailable');
	}

	fs.capacity = Number.POSITIVE_INFINITY;
	const again = await ReplicaStorage.open(fs, folder, instance, storage.confirmed);
	expect(lastOf(again)).toBe(6);
	expect(await fs.list()).toEqual(before);
	expect(fs.openFiles).toBe(1);
});

test('a mark that can\'t be written leaves its batch confirmed', async () => {
	const fs = new FaultyFileSystem();
	const storage = await fill(fs);
	let writes = 0;
	fs.rule = call => call === 'write' && ++writes === 2 ? 'ENOSPC' : undefined;
	expect(await faultOf(storage.persist([persistOf(7, 7)]))).toBe('none');
	expect(await faultOf(storage.persist([persistOf(8, 8)]))).toBe('writeFailed');
	await storage.close();
	const again = await ReplicaStorage.open(fs, folder, instance, storage.confirmed);
	expect(lastOf(again)).toBe(7);
});

test('a batch is torn as a whole', async () => {
	const fs = new FaultyFileSystem();
	await fill(fs);
	const storage = await ReplicaStorage.open(fs, folder, instance);
	const log = fs.files.get(`${folder}/log-1`)!;
	const before = log.cached.length;
	await storage.persist([persistOf(7, 7), persistOf(8, 8), persistOf(9, 9)]);
	// A power cut may leave a hole in what was not synced
	log.cached.fill(0, before, before + 30);
	log.cached = log.cached.subarray(0, -12);
	const again = await ReplicaStorage.open(fs, folder, instance);
	expect(lastOf(again)).toBe(6);
});

test('a mark that a power cut lost is no damage', async () => {
	const fs = new FaultyFileSystem();
	const storage = await fill(fs);
	const log = fs.files.get(`${folder}/log-1`)!;
	const markAt = log.cached.length - 12;
	await storage.persist([persistOf(7, 7)]);
	log.cached.fill(0, markAt, markAt + 12);
	const again = await ReplicaStorage.open(fs, folder, instance);
	expect(lastOf(again)).toBe(7);
	log.cached[markAt] = 64;
	expect(await faultOf(ReplicaStorage.open(fs, folder, instance))).toBe('corrupt');
});

test.each(['snapshot-4.part', 'log-2.part'])('a snapshot that finds no room for %s is left out, and the log goes on', async name => {
	const fs = new FaultyFileSystem();
	const storage = await fill(fs);
	fs.rule = (call, _number, file) => call === 'write' && file.endsWith(name) ? 'ENOSPC' : undefined;
	await storage.persist([snapshotOf(4)]);
	await storage.persist([persistOf(7, 7)]);
	expect(await fs.list()).toEqual(['snapshot-0', 'log-1']);
	const again = await ReplicaStorage.open(fs, folder, instance, storage.confirmed);
	expect(again.recovered.snapshot.index).toBe(0);
	expect(lastOf(again)).toBe(7);
	fs.rule = () => undefined;
	await again.persist([snapshotOf(4)]);
	expect(again.recovered.entries.map(({index}) => index)).toEqual([5, 6, 7]);
	expect(await fs.list()).toEqual(['snapshot-4', 'log-2']);
});

test('a leader\'s snapshot that finds no room stops the replica: the log alone does not hold it', async () => {
	const fs = new FaultyFileSystem();
	const storage = await fill(fs);
	fs.capacity = fs.usedBytes + 100;
	expect(await faultOf(storage.persist([snapshotOf(40, false)]))).toBe('writeFailed');
	fs.capacity = Number.POSITIVE_INFINITY;
	await storage.close();
	const again = await ReplicaStorage.open(fs, folder, instance, storage.confirmed);
	expect(lastOf(again)).toBe(6);
});

test('the size of a recovered log counts towards its next snapshot', async () => {
	const fs = new FaultyFileSystem();
	const storage = await fill(fs);
	const again = await ReplicaStorage.open(fs, folder, instance, storage.confirmed);
	expect(again.bytesSinceSnapshot).toBeGreaterThanOrEqual(storage.bytesSinceSnapshot);
});
