/** Why a replica's storage can't go on. */

/** What is wrong. */
export type StorageFault =
	/** Bytes that were once synced have changed. */
	| 'corrupt'
	/** Written by a version that this program does not know. */
	| 'unknownVersion'
	/** A file that belongs to the set is missing. */
	| 'incomplete'
	/** The folder belongs to another instance. */
	| 'otherInstance'
	/** A write or a sync failed; what the disk holds is not known. */
	| 'writeFailed'
	/** The folder can't be read, or takes no write. */
	| 'unavailable';

/** Thrown when the replica must stop rather than lose or invent anything. */
export class StorageError extends Error {
	override readonly name = 'StorageError';

	constructor(readonly fault: StorageFault, readonly file: string, detail: string) {
		super(`${file}: ${fault}: ${detail}`);
	}

	/** Whether opening the folder again may succeed without an operator. */
	get isTransient(): boolean {
		return this.fault === 'writeFailed' || this.fault === 'unavailable';
	}
}

const noRoomCodes: ReadonlySet<unknown> = new Set(['ENOSPC', 'EDQUOT', 'EFBIG']);

/**
 * Whether an error of a file operation means that there is no room.
 *
 * @example
 * isOutOfRoom(Object.assign(new Error('full'), {code: 'ENOSPC'})); // True
 */
export const isOutOfRoom = (error: unknown): boolean => error instanceof Error && noRoomCodes.has((error as Error & {code?: unknown}).code);

/**
 * The storage error for the error of a file operation.
 *
 * @example
 * throw toStorageError('writeFailed', 'log-1', error);
 */
export const toStorageError = (fault: StorageFault, file: string, error: unknown): StorageError =>
	error instanceof StorageError ? error : new StorageError(fault, file, (error as Error).message);
