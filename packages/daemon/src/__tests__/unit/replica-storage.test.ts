import {Buffer} from 'node:buffer';
import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {basename, join} from 'node:path';
import {
	afterEach, beforeEach, expect, test,
} from 'vitest';
import {emptySnapshot, toId} from '@baobabpier/core';
import type {
	HardState, InstanceId, LogEntry, LogIndex, LogTime, PersistEffect, Term,
} from '@baobabpier/core';
import {nodeFileSystem, ReplicaStorage, StorageError} from '@baobabpier/daemon';
import type {FileSystem} from '@baobabpier/daemon';

const instance = toId<InstanceId>('i1');
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
const snapshotOf = (index: number): PersistEffect => ({
	kind: 'persist', sequence: index, hard: hardAt(index), entries: [], snapshot: {keepsTail: true, snapshot: {...emptySnapshot, index: toId<LogIndex>(index), term}},
});

/** Files in memory: a crash loses what was not synced, and a call can be made to fail. */
class FakeFileSystem implements FileSystem {
	readonly files = new Map<string, {bytes: Uint8Array; synced: number}>();
	failing: {readonly call: 'write' | 'sync' | 'rename'; readonly code: string; after: number} | undefined;

	async makeFolder(): Promise<void> {/* Always there */}

	async list(): Promise<readonly string[]> {
		return [...this.files.keys()].map(file => basename(file));
	}

	async read(file: string): Promise<Uint8Array> {
		return this.files.get(file)!.bytes;
	}

	async openAppend(file: string, length: number) {
		const content = this.files.get(file) ?? {bytes: Buffer.alloc(0), synced: 0};
		content.bytes = content.bytes.subarray(0, length);
		this.files.set(file, content);
		return {
			write: async (bytes: Uint8Array) => {
				this.#mayFail('write');
				content.bytes = Buffer.concat([content.bytes, bytes]);
			},
			sync: async () => {
				this.#mayFail('sync');
				content.synced = content.bytes.length;
			},
			async close() {/* Nothing held */},
		};
	}

	async overwrite(file: string, offset: number, bytes: Uint8Array): Promise<void> {
		const content = this.files.get(file)!;
		content.bytes.set(bytes, offset);
		this.#mayFail('sync');
		content.synced = content.bytes.length;
	}

	async rename(from: string, to: string): Promise<void> {
		this.#mayFail('rename');
		this.files.set(to, this.files.get(from)!);
		this.files.delete(from);
	}

	async remove(file: string): Promise<void> {
		this.files.delete(file);
	}

	async syncFolder(): Promise<void> {/* Renames last at once */}

	/** The machine fails: a part of the unsynced bytes is kept. */
	crash(keptBytes: number): void {
		for (const content of this.files.values()) {
			content.bytes = Buffer.from(content.bytes.subarray(0, Math.min(content.bytes.length, content.synced + keptBytes)));
		}
	}

	log(): Uint8Array {
		return [...this.files].find(([name]) => basename(name).startsWith('log-'))![1].bytes;
	}

	#mayFail(call: string): void {
		if (this.failing?.call === call && this.failing.after-- <= 0) {
			throw Object.assign(new Error(`${this.failing.code}: ${call} failed`), {code: this.failing.code});
		}
	}
}

let fs: FakeFileSystem;
let folder: string;

beforeEach(async () => {
	fs = new FakeFileSystem();
	folder = await mkdtemp(join(tmpdir(), 'baobabpier-storage-'));
});

afterEach(async () => {
	await rm(folder, {recursive: true});
});

const fill = async (): Promise<ReplicaStorage> => {
	const storage = await ReplicaStorage.open(fs, '/data', instance);
	await storage.persist([persistOf(1, 3)]);
	await storage.persist([persistOf(4, 4), persistOf(5, 6)]);
	return storage;
};

const faultOf = async (run: Promise<unknown>): Promise<string> => {
	try {
		await run;
		return 'none';
	} catch (error) {
		return error instanceof StorageError ? error.fault : String(error);
	}
};

const flip = (bytes: Uint8Array, offset: number): void => {
	bytes[offset]! ^= 4; // eslint-disable-line no-bitwise
};

test('everything persisted comes back under the same storage id', async () => {
	const storage = await fill();
	const again = await ReplicaStorage.open(fs, '/data', instance);
	expect(again.recovered).toEqual(storage.recovered);
	expect(again.storageId).toBe(storage.storageId);
	expect(again.recovered.entries.map(({index}) => index)).toEqual([1, 2, 3, 4, 5, 6]);
});

test('a replaced tail and a snapshot come back', async () => {
	const storage = await fill();
	await storage.persist([persistOf(3, 4), snapshotOf(2), persistOf(5, 5)]);
	const again = await ReplicaStorage.open(fs, '/data', instance);
	expect(again.recovered).toEqual(storage.recovered);
	expect(again.recovered.snapshot.index).toBe(2);
	expect(again.recovered.entries.map(({index}) => index)).toEqual([3, 4, 5]);
	expect(await fs.list()).toEqual(['snapshot-2', 'log-2']);
});

test('a lost log makes a new replica', async () => {
	const storage = await fill();
	fs.files.delete('/data/log-1');
	const again = await ReplicaStorage.open(fs, '/data', instance);
	expect(again.isFresh).toBe(true);
	expect(again.storageId).not.toBe(storage.storageId);
});

test.each([0, 1, 11, 40])('a torn tail of %i bytes is cut, and what was synced stays', async keptBytes => {
	const storage = await fill();
	fs.failing = {call: 'sync', code: 'EIO', after: 0};
	await faultOf(storage.persist([persistOf(7, 9)]));
	fs.failing = undefined;
	fs.crash(keptBytes);
	const again = await ReplicaStorage.open(fs, '/data', instance);
	expect(again.recovered.entries.map(({index}) => index)).toEqual([1, 2, 3, 4, 5, 6]);
	await again.persist([persistOf(7, 7)]);
	const third = await ReplicaStorage.open(fs, '/data', instance);
	expect(third.recovered.entries).toHaveLength(7);
});

test('a flipped bit anywhere in synced bytes stops the replica or leaves its content whole', async () => {
	const storage = await fill();
	const bytes = fs.log();
	const whole = JSON.stringify(storage.recovered);
	const markBytes = 12;
	const outcomes = new Set<string>();
	for (let offset = 0; offset < bytes.length; offset++) {
		flip(bytes, offset);
		// eslint-disable-next-line no-await-in-loop
		const fault = await faultOf(ReplicaStorage.open(fs, '/data', instance).then(again => {
			expect(JSON.stringify(again.recovered)).toBe(whole);
			expect(offset).toBeGreaterThanOrEqual(bytes.length - markBytes);
		}));
		outcomes.add(fault);
		flip(bytes, offset);
		fs.files.set('/data/log-1', {bytes, synced: bytes.length});
	}

	expect([...outcomes].sort()).toEqual(['corrupt', 'none', 'unknownVersion']);
});

test.each([
	['a full disk', 'write', 'ENOSPC', 0],
	['a failed sync', 'sync', 'EIO', 0],
	['a snapshot that can\'t be renamed', 'rename', 'EIO', 0],
] as const)('%s stops the replica for good', async (name, call, code, after) => {
	const storage = await fill();
	fs.failing = {call, code, after};
	expect(await faultOf(storage.persist([call === 'rename' ? snapshotOf(2) : persistOf(7, 7)]))).toBe('writeFailed');
	fs.failing = undefined;
	expect(await faultOf(storage.persist([persistOf(7, 7)]))).toBe('writeFailed');
	const again = await ReplicaStorage.open(fs, '/data', instance);
	expect(again.recovered.entries.slice(0, 6).map(({index}) => index)).toEqual([1, 2, 3, 4, 5, 6]);
});

test('a half-written snapshot is left aside', async () => {
	const storage = await fill();
	fs.failing = {call: 'sync', code: 'EIO', after: 0};
	await faultOf(storage.persist([snapshotOf(4)]));
	fs.failing = undefined;
	fs.crash(20);
	const again = await ReplicaStorage.open(fs, '/data', instance);
	expect(again.recovered.snapshot.index).toBe(0);
	expect(again.recovered.entries).toHaveLength(6);
	expect(await fs.list()).not.toContain('snapshot-4.part');
});

test('a missing snapshot and another instance\'s folder are refused', async () => {
	const storage = await fill();
	await storage.persist([snapshotOf(2)]);
	expect(await faultOf(ReplicaStorage.open(fs, '/data', toId<InstanceId>('i2')))).toBe('otherInstance');
	fs.files.delete('/data/snapshot-2');
	expect(await faultOf(ReplicaStorage.open(fs, '/data', instance))).toBe('incomplete');
});

test('a real folder keeps what was persisted', async () => {
	const storage = await ReplicaStorage.open(nodeFileSystem, folder, instance);
	await storage.persist([persistOf(1, 3), snapshotOf(2)]);
	await storage.persist([persistOf(4, 5)]);
	await storage.close();
	const again = await ReplicaStorage.open(nodeFileSystem, folder, instance);
	expect(again.recovered).toEqual(storage.recovered);
	await again.close();
});
