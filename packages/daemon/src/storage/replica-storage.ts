/** A replica's data folder: its identity, a snapshot, and a log of records synced in batches. */
import {randomUUID} from 'node:crypto';
import {join} from 'node:path';
import {emptySnapshot, toId} from '@baobabpier/core';
import type {
	HardState, InstanceId, LogEntry, LogIndex, PersistEffect, RecoveredLog, Snapshot, Term,
} from '@baobabpier/core';
import {createLog} from '../log.js';
import type {AppendFile, FileSystem} from './file-system.js';
import {decodeFile, encodeRecord} from './record-format.js';
import type {DecodedFile} from './record-format.js';
import {isOutOfRoom, StorageError, toStorageError} from './storage-error.js';
import {
	partSuffix, publishPart, readWholeFile, removeParts, writePart,
} from './whole-file.js';

const log = createLog('storage');
const syncedMark = encodeRecord('');
/** Room that a folder must have to be opened, in bytes: several batches, so that a replica does not come back to fail at once. */
const requiredRoomBytes = 64 * 1024;
const probeName = 'probe';
/** Log bytes after which a snapshot that found no room is tried again. */
const snapshotRetryBytes = 1024 * 1024;

/** One record of the log. */
type LogRecord = {
	readonly hard: HardState;
	readonly entries: readonly LogEntry[];
};

/** The first record of a log file. It names the replica, so that a lost log can't come back under its old name. */
type LogBase = {
	readonly instance: InstanceId;
	readonly storageId: string;
	readonly snapshotIndex: LogIndex;
};

const emptyHard: HardState = {
	cluster: '', term: toId<Term>(0), vote: undefined, commit: toId<LogIndex>(0),
};

const logName = (number: number): string => `log-${number}`;
const snapshotName = (index: LogIndex): string => `snapshot-${index}`;
const logNumberOf = (name: string): number => Number(/^log-(?<number>\d+)$/v.exec(name)?.groups?.number ?? 0);

const withEntries = (kept: LogEntry[], entries: readonly LogEntry[]): LogEntry[] => {
	const [first] = entries;
	const [oldest] = kept;
	if (first !== undefined && oldest !== undefined) {
		kept.length = Math.min(kept.length, Math.max(0, first.index - oldest.index));
	}

	for (const entry of entries) {
		kept.push(entry);
	}

	return kept;
};

/** How much of a log was confirmed to be durable. */
export type ConfirmedLength = {
	/** Number of the log file. */
	readonly number: number;
	readonly bytes: number;
};

/**
 * Keeps one log file at a time: a snapshot starts the next one with everything after it. After a failed write or
 * sync nothing more is written, since what the disk holds is not known; the folder has to be opened again.
 *
 * @example
 * const storage = await ReplicaStorage.open(nodeFileSystem, folder, instance);
 * await storage.persist(effects);
 */
export class ReplicaStorage {
	/**
	 * Opens a folder and recovers its log; one without a log gets a new storage id. `confirmed` is what was durable
	 * before the folder was closed in this process; a log that lost a part of it is refused.
	 *
	 * @throws StorageError when what is there can't be trusted, or the folder takes no write.
	 */
	static async open(fs: FileSystem, folder: string, instance: InstanceId, confirmed?: ConfirmedLength): Promise<ReplicaStorage> {
		const storage = new ReplicaStorage(fs, folder, instance);
		try {
			await storage.#probe();
			await storage.#recover(await fs.list(folder), confirmed);
			return storage;
		} catch (error) {
			await storage.close();
			throw toStorageError('unavailable', folder, error);
		}
	}

	#file: AppendFile | undefined;
	#number = 0;
	#storageId = randomUUID() as string;
	#hard = emptyHard;
	#snapshot = emptySnapshot;
	#entries: LogEntry[] = [];
	#failure: StorageError | undefined;
	#bytes = 0;
	#confirmedBytes = 0;
	#bytesSinceSnapshot = 0;
	/** Whether a new log file may already have replaced the present one. */
	#hasPublished = false;

	private constructor(private readonly fs: FileSystem, private readonly folder: string, private readonly instance: InstanceId) {}

	/** Names this life of the disk. */
	get storageId(): string {
		return this.#storageId;
	}

	/** What was recovered, and all that was persisted since. */
	get recovered(): RecoveredLog {
		return {hard: this.#hard, snapshot: this.#snapshot, entries: this.#entries};
	}

	/** What is certain to be durable, for the next opening of the folder. */
	get confirmed(): ConfirmedLength {
		return {number: this.#number, bytes: this.#confirmedBytes};
	}

	/** Bytes of log written since the last snapshot; fewer after a snapshot that found no room, so that it is not tried again at once. */
	get bytesSinceSnapshot(): number {
		return this.#bytesSinceSnapshot;
	}

	/** Whether the folder holds no log yet. */
	get isFresh(): boolean {
		return this.#hard.cluster === '';
	}

	/** Begins a log with its first members. */
	async bootstrap(snapshot: Snapshot, cluster: string): Promise<void> {
		this.#hard = {...emptyHard, cluster};
		await this.#guard(async () => this.#rotate(snapshot, this.#entries));
	}

	/**
	 * Makes effects durable, with one sync for all of them.
	 *
	 * @throws StorageError when a write or a sync fails, now or before.
	 */
	async persist(effects: readonly PersistEffect[]): Promise<void> {
		await this.#guard(async () => this.#persistAll(effects));
	}

	/** Closes the log file. A failure is only logged: every confirmed byte is synced. */
	async close(): Promise<void> {
		const file = this.#file;
		this.#file = undefined;
		try {
			await file?.close();
		} catch (error) {
			log('The log file can\'t be closed.', {file: logName(this.#number), error: (error as Error).message});
		}
	}

	async #guard(write: () => Promise<void>): Promise<void> {
		if (this.#failure !== undefined) {
			throw this.#failure;
		}

		try {
			await write();
		} catch (error) {
			this.#failure = toStorageError('writeFailed', logName(this.#number), error);
			throw this.#failure;
		}
	}

	/** Makes sure that the folder takes a write and a sync, before its log is read. */
	async #probe(): Promise<void> {
		await this.fs.makeFolder(this.folder);
		await removeParts(this.fs, this.folder, await this.fs.list(this.folder));
		await writePart(this.fs, this.folder, probeName, [' '.repeat(requiredRoomBytes)]);
		await removeParts(this.fs, this.folder, [probeName + partSuffix]);
	}

	async #persistAll(effects: readonly PersistEffect[]): Promise<void> {
		let batch: LogEntry[] = [];
		for (const {hard, entries, snapshot} of effects) {
			this.#hard = hard;
			// eslint-disable-next-line no-await-in-loop
			if (snapshot !== undefined && await this.#storeSnapshot(snapshot)) {
				batch = [];
			}

			withEntries(this.#entries, entries);
			withEntries(batch, entries);
		}

		await this.#append({hard: this.#hard, entries: batch});
	}

	/** Appends a batch as one record: a part of it that reached the disk without its sync is a torn tail as a whole. */
	async #append(record: LogRecord): Promise<void> {
		const bytes = encodeRecord(JSON.stringify(record));
		await this.#file!.write(bytes);
		await this.#file!.sync();
		this.#bytes += bytes.length;
		this.#confirmedBytes = this.#bytes;
		this.#bytesSinceSnapshot += bytes.length;
		try {
			await this.#writeMark();
		} catch (error) {
			// The batch is synced; only the next one fails
			this.#failure = toStorageError('writeFailed', logName(this.#number), error);
		}
	}

	/** What stands before the mark was synced: damage to it is never taken for a torn tail. */
	async #writeMark(): Promise<void> {
		await this.#file!.write(syncedMark);
		this.#bytes += syncedMark.length;
	}

	/** Stores a snapshot; returns false when there is no room for it and the log alone holds the same. */
	async #storeSnapshot({snapshot, keepsTail}: NonNullable<PersistEffect['snapshot']>): Promise<boolean> {
		const entries = keepsTail ? this.#entries.filter(({index}) => index > snapshot.index) : [];
		try {
			await this.#rotate(snapshot, entries);
			return true;
		} catch (error) {
			if (!keepsTail || this.#hasPublished || !isOutOfRoom(error)) {
				throw error;
			}

			log('There is no room for a snapshot; the log goes on.', {index: snapshot.index, error: (error as Error).message});
			this.#bytesSinceSnapshot -= snapshotRetryBytes;
			await removeParts(this.fs, this.folder, await this.fs.list(this.folder));
			return false;
		}
	}

	/** Writes a snapshot and a log file that follows it, then drops the older ones. */
	async #rotate(snapshot: Snapshot, entries: LogEntry[]): Promise<void> {
		const {fs, folder} = this;
		const name = logName(this.#number + 1);
		const base: LogBase = {instance: this.instance, storageId: this.#storageId, snapshotIndex: snapshot.index};
		const first: LogRecord = {hard: this.#hard, entries};
		await writePart(fs, folder, snapshotName(snapshot.index), [JSON.stringify(snapshot)]);
		await writePart(fs, folder, name, [JSON.stringify(base), JSON.stringify(first), '']);
		this.#hasPublished = true;
		await publishPart(fs, folder, snapshotName(snapshot.index));
		await publishPart(fs, folder, name);
		await this.close();
		const {length} = await fs.read(join(folder, name));
		this.#file = await fs.openAppend(join(folder, name), length);
		this.#hasPublished = false;
		this.#number += 1;
		this.#snapshot = snapshot;
		this.#entries = entries;
		this.#bytes = length;
		this.#confirmedBytes = length;
		this.#bytesSinceSnapshot = 0;
		await this.#dropOld(await fs.list(folder));
	}

	async #recover(names: readonly string[], confirmed: ConfirmedLength | undefined): Promise<void> {
		this.#number = Math.max(0, ...names.map(name => logNumberOf(name)));
		if (this.#number === 0) {
			log('The folder holds no log; this is a new replica.', {storageId: this.#storageId});
			await this.#rotate(emptySnapshot, []);
			return;
		}

		const name = logName(this.#number);
		const content = await this.fs.read(join(this.folder, name));
		const decoded = decodeFile(name, content);
		if (confirmed !== undefined && (this.#number < confirmed.number || (this.#number === confirmed.number && decoded.validBytes < confirmed.bytes))) {
			throw new StorageError('corrupt', name, `${confirmed.bytes} bytes of log-${confirmed.number} were confirmed, ${decoded.validBytes} are left`);
		}

		await this.#load(name, decoded.records, names);
		await this.#reopenLog(name, content, decoded);
		// A rename that was not synced yet must last before the older files go
		await this.fs.syncFolder(this.folder);
		await this.#dropOld(names);
	}

	/** Makes what was read durable: its sync may have failed or never have happened, and the file cache does not tell. */
	async #reopenLog(name: string, content: Uint8Array, {markedBytes, validBytes, tornBytes}: DecodedFile): Promise<void> {
		const path = join(this.folder, name);
		this.#file = await this.fs.openAppend(path, validBytes);
		this.#bytes = validBytes;
		this.#confirmedBytes = validBytes;
		this.#bytesSinceSnapshot = validBytes;
		if (tornBytes > 0) {
			log('A torn tail was cut off the log.', {file: name, bytes: tornBytes});
		}

		if (validBytes > markedBytes) {
			await this.fs.overwrite(path, markedBytes, content.subarray(markedBytes, validBytes));
			await this.#writeMark();
		}
	}

	async #load(name: string, records: readonly string[], names: readonly string[]): Promise<void> {
		const [first, ...rest] = records;
		if (first === undefined) {
			throw new StorageError('corrupt', name, 'the first record is missing');
		}

		const {instance, storageId, snapshotIndex} = JSON.parse(first) as LogBase;
		if (instance !== this.instance) {
			throw new StorageError('otherInstance', name, `the folder belongs to ${instance}`);
		}

		this.#storageId = storageId;
		const snapshotFile = snapshotName(snapshotIndex);
		if (!names.includes(snapshotFile)) {
			throw new StorageError('incomplete', snapshotFile, `${name} follows it and it is missing`);
		}

		const [text] = await readWholeFile(this.fs, this.folder, snapshotFile);
		this.#snapshot = JSON.parse(text!) as Snapshot;
		for (const record of rest) {
			if (record !== '') {
				const {hard, entries} = JSON.parse(record) as LogRecord;
				this.#hard = hard;
				withEntries(this.#entries, entries);
			}
		}
	}

	async #dropOld(names: readonly string[]): Promise<void> {
		const kept = new Set([logName(this.#number), snapshotName(this.#snapshot.index)]);
		const old = names.filter(name => !kept.has(name) && /^(?:log|snapshot)-\d+$/v.test(name));
		for (const name of old) {
			// eslint-disable-next-line no-await-in-loop
			await this.fs.remove(join(this.folder, name));
		}
	}
}
