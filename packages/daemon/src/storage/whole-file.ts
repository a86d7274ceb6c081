/** Files that appear whole or not at all: write, sync, rename, sync of the folder. */
import {join} from 'node:path';
import type {FileSystem} from './file-system.js';
import {createFileHeader, decodeFile, encodeRecord} from './record-format.js';
import {StorageError} from './storage-error.js';

/** Suffix of a file that is not whole yet. */
export const partSuffix = '.part';

/** Writes and syncs a file of records under its temporary name. */
export const writePart = async (fs: FileSystem, folder: string, name: string, records: readonly string[]): Promise<void> => {
	const file = await fs.openAppend(join(folder, name + partSuffix), 0);
	try {
		await file.write(createFileHeader());
		for (const record of records) {
			// eslint-disable-next-line no-await-in-loop
			await file.write(encodeRecord(record));
		}

		await file.sync();
	} finally {
		await file.close();
	}
};

/** Gives a synced file its own name, durably. */
export const publishPart = async (fs: FileSystem, folder: string, name: string): Promise<void> => {
	await fs.rename(join(folder, name + partSuffix), join(folder, name));
	await fs.syncFolder(folder);
};

/** Removes the files that are not whole. */
export const removeParts = async (fs: FileSystem, folder: string, names: readonly string[]): Promise<void> => {
	for (const name of names.filter(item => item.endsWith(partSuffix))) {
		// eslint-disable-next-line no-await-in-loop
		await fs.remove(join(folder, name));
	}
};

/** Reads a file that was written whole: a torn tail in it is damage. */
export const readWholeFile = async (fs: FileSystem, folder: string, name: string): Promise<readonly string[]> => {
	const {records, tornBytes} = decodeFile(name, await fs.read(join(folder, name)));
	if (tornBytes > 0 || records.length === 0) {
		throw new StorageError('corrupt', name, `${tornBytes} bytes at the end are damaged`);
	}

	return records;
};
