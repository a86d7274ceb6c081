/** Files in memory behind a file cache, whose operations can be made to fail. */
import {Buffer} from 'node:buffer';
import {basename} from 'node:path';
import type {FileSystem} from '@baobabpier/daemon';

/** A file operation that may fail. */
export type FileCall = 'list' | 'read' | 'open' | 'write' | 'sync' | 'overwrite' | 'rename' | 'remove' | 'syncFolder';

type Bytes = InstanceType<typeof Buffer>;
type DirtyRange = {readonly offset: number; readonly bytes: Bytes};
type StoredFile = {
	/** What a read returns. */
	cached: Bytes;
	/** What a power cut leaves. */
	durable: Bytes;
	/** Writes since the last sync. A failed sync drops them: the cache takes them for written. */
	dirty: DirtyRange[];
};

const place = (target: Bytes, {offset, bytes}: DirtyRange): Bytes => {
	const grown = Buffer.alloc(Math.max(target.length, offset + bytes.length));
	grown.set(target);
	grown.set(bytes, offset);
	return grown;
};

const failureOf = (code: string, call: FileCall): Error => Object.assign(new Error(`${code}: ${call} failed`), {code});

/** Decides for each operation, by its number from 0, whether it fails and with which code. */
export type FailureRule = (call: FileCall, number: number, file: string) => string | undefined;

export class FaultyFileSystem implements FileSystem {
	/** Syncs wait for it. */
	syncBarrier: Promise<void> | undefined;
	readonly files = new Map<string, StoredFile>();
	/** Room for all files together, in bytes. */
	capacity = Number.POSITIVE_INFINITY;
	calls = 0;
	openFiles = 0;
	/** Renames whose folder was not synced yet. */
	#renames: Array<{readonly from: string; readonly to: string}> = [];
	rule: FailureRule = () => undefined;

	get usedBytes(): number {
		return [...this.files.values()].reduce((sum, {cached}) => sum + cached.length, 0);
	}

	async makeFolder(): Promise<void> {/* Always there */}

	async list(): Promise<readonly string[]> {
		this.#mayFail('list', '');
		return [...this.files.keys()].map(file => basename(file));
	}

	async read(file: string): Promise<Uint8Array> {
		this.#mayFail('read', file);
		return Buffer.from(this.files.get(file)!.cached);
	}

	async openAppend(file: string, length: number) {
		this.#mayFail('open', file);
		const content = this.files.get(file) ?? {cached: Buffer.alloc(0), durable: Buffer.alloc(0), dirty: []};
		content.cached = content.cached.subarray(0, length);
		this.files.set(file, content);
		this.openFiles += 1;
		return {
			write: async (bytes: Uint8Array) => {
				const room = Math.max(0, this.capacity - this.usedBytes);
				const taken = Buffer.from(bytes.subarray(0, room));
				this.#mayFail('write', file);
				this.#write(content, {offset: content.cached.length, bytes: taken});
				if (taken.length < bytes.length) {
					throw failureOf('ENOSPC', 'write');
				}
			},
			sync: async () => {
				await this.syncBarrier;
				this.#sync(content, 'sync', file);
			},
			close: async () => {
				this.openFiles -= 1;
			},
		};
	}

	async overwrite(file: string, offset: number, bytes: Uint8Array): Promise<void> {
		const content = this.files.get(file)!;
		this.#write(content, {offset, bytes: Buffer.from(bytes)});
		this.#sync(content, 'overwrite', file);
	}

	async rename(from: string, to: string): Promise<void> {
		this.#mayFail('rename', from);
		this.files.set(to, this.files.get(from)!);
		this.files.delete(from);
		this.#renames.push({from, to});
	}

	async remove(file: string): Promise<void> {
		this.#mayFail('remove', file);
		this.files.delete(file);
	}

	async syncFolder(folder: string): Promise<void> {
		this.#mayFail('syncFolder', folder);
		this.#renames = [];
	}

	/** The machine loses power: only what a sync covered is left, while every removal lasts. */
	cutPower(): void {
		for (const {from, to} of this.#renames.splice(0)) {
			const content = this.files.get(to);
			this.files.delete(to);
			if (content !== undefined) {
				this.files.set(from, content);
			}
		}

		for (const content of this.files.values()) {
			content.cached = Buffer.from(content.durable);
			content.dirty = [];
		}
	}

	#write(content: StoredFile, range: DirtyRange): void {
		content.cached = place(content.cached, range);
		content.dirty.push(range);
	}

	#sync(content: StoredFile, call: FileCall, file: string): void {
		const dirty = content.dirty.splice(0);
		this.#mayFail(call, file);
		for (const range of dirty) {
			content.durable = place(content.durable, range);
		}

		content.durable = content.durable.subarray(0, content.cached.length);
	}

	#mayFail(call: FileCall, file: string): void {
		const code = this.rule(call, this.calls, file);
		this.calls += 1;
		if (code !== undefined) {
			throw failureOf(code, call);
		}
	}
}
