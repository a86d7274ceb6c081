/** The few file operations that the storage needs, so that tests can make them fail. */
import {
	chmod, mkdir, open, readdir, readFile, rename, rm,
} from 'node:fs/promises';
import {createLog} from '../log.js';

const log = createLog('storage');
/** A file open for appending. */
export type AppendFile = {
	/** Appends bytes; they last only after `sync`. */
	write(bytes: Uint8Array): Promise<void>;
	sync(): Promise<void>;
	close(): Promise<void>;
};

/** A folder's files. */
export type FileSystem = {
	makeFolder(folder: string): Promise<void>;
	list(folder: string): Promise<readonly string[]>;
	read(file: string): Promise<Uint8Array>;
	/** Opens for appending, cut to `length` bytes. */
	openAppend(file: string, length: number): Promise<AppendFile>;
	/** Writes over the bytes at an offset, in place, and makes them durable. */
	overwrite(file: string, offset: number, bytes: Uint8Array): Promise<void>;
	rename(from: string, to: string): Promise<void>;
	remove(file: string): Promise<void>;
	/** Makes renames and removals in a folder durable. */
	syncFolder(folder: string): Promise<void>;
};

/** Only the owner reads the files: configurations hold API keys. */
const fileMode = 0o600;
const folderMode = 0o700;

/** The file system of the machine. */
export const nodeFileSystem: FileSystem = {
	async makeFolder(folder) {
		await mkdir(folder, {recursive: true, mode: folderMode});
		try {
			// A folder of an earlier version
			await chmod(folder, folderMode);
		} catch (error) {
			log('The mode of the data folder can\'t be changed; others may read its files.', {folder, detail: (error as Error).message});
		}
	},
	async list(folder) {
		return readdir(folder);
	},
	async read(file) {
		return readFile(file);
	},
	async openAppend(file, length) {
		const handle = await open(file, 'a', fileMode);
		try {
			await handle.truncate(length);
		} catch (error) {
			await handle.close();
			throw error;
		}

		return {
			async write(bytes) {
				await handle.appendFile(bytes);
			},
			async sync() {
				await handle.datasync();
			},
			async close() {
				await handle.close();
			},
		};
	},
	async overwrite(file, offset, bytes) {
		const handle = await open(file, 'r+');
		try {
			for (let done = 0; done < bytes.length;) {
				// A write may take a part of the bytes
				// eslint-disable-next-line no-await-in-loop
				const {bytesWritten} = await handle.write(bytes, done, bytes.length - done, offset + done);
				done += bytesWritten;
			}

			await handle.datasync();
		} finally {
			await handle.close();
		}
	},
	async rename(from, to) {
		await rename(from, to);
	},
	async remove(file) {
		await rm(file, {force: true});
	},
	async syncFolder(folder) {
		const handle = await open(folder, 'r');
		try {
			await handle.sync();
		} finally {
			await handle.close();
		}
	},
};
