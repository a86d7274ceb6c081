/** Files of checksummed records: a header with the format version, then length, checksums and bytes per record. */
import {Buffer} from 'node:buffer';
import {crc32} from 'node:zlib';
import {StorageError} from './storage-error.js';

const magic = 'BPCTRL';
const formatVersion = 1;
const headerBytes = 8;
const prefixBytes = 12;

/** The first bytes of every file. */
export const createFileHeader = (): Uint8Array => {
	const header = Buffer.alloc(headerBytes);
	header.write(magic, 'latin1');
	header.writeUInt16LE(formatVersion, magic.length);
	return header;
};

/**
 * Frames a record: length, checksum of the length, checksum of the bytes, bytes.
 *
 * @example
 * await file.write(encodeRecord(JSON.stringify(value)));
 */
export const encodeRecord = (text: string): Uint8Array => {
	const bytes = Buffer.from(text);
	const prefix = Buffer.alloc(prefixBytes);
	prefix.writeUInt32LE(bytes.length, 0);
	prefix.writeUInt32LE(crc32(prefix.subarray(0, 4)), 4);
	prefix.writeUInt32LE(crc32(bytes), 8);
	return Buffer.concat([prefix, bytes]);
};

const emptyRecord = encodeRecord('');

/** What a file holds. */
export type DecodedFile = {
	readonly records: readonly string[];
	/** Length up to the end of the last empty record, which is written after a sync; 0 when there is none. */
	readonly markedBytes: number;
	/** Length of the whole records; the rest is a torn tail. */
	readonly validBytes: number;
	readonly tornBytes: number;
};

type FileBytes = InstanceType<typeof Buffer>;

/** The end of the record at an offset; undefined where there is no whole one. */
const findRecordEnd = (bytes: FileBytes, offset: number): number | undefined => {
	const body = offset + prefixBytes;
	if (body > bytes.length || crc32(bytes.subarray(offset, offset + 4)) !== bytes.readUInt32LE(offset + 4)) {
		return undefined;
	}

	const end = body + bytes.readUInt32LE(offset);
	const isWhole = end <= bytes.length && crc32(bytes.subarray(body, end)) === bytes.readUInt32LE(offset + 8);
	return isWhole ? end : undefined;
};

const hasRecordAfter = (bytes: FileBytes, offset: number): boolean => {
	for (let at = offset + 1; at + prefixBytes <= bytes.length; at++) {
		if (findRecordEnd(bytes, at) !== undefined) {
			return true;
		}
	}

	return false;
};

/** Whether an empty record once stood at an offset, of which a power cut left nothing or a part, and a whole record follows. */
const isLostMark = (bytes: FileBytes, offset: number): boolean =>
	emptyRecord.every((byte, index) => bytes[offset + index] === byte || bytes[offset + index] === 0) && findRecordEnd(bytes, offset + prefixBytes) !== undefined;

/**
 * Reads a file's records. A bad record with no whole record after it is a torn tail; with one, the file is corrupt.
 *
 * @throws StorageError for a corrupt file or an unknown version.
 * @example
 * const {records, tornBytes} = decodeFile('log-1', bytes);
 */
export const decodeFile = (file: string, content: Uint8Array): DecodedFile => {
	const bytes = Buffer.from(content.buffer, content.byteOffset, content.byteLength);
	if (bytes.length < headerBytes || bytes.toString('latin1', 0, magic.length) !== magic) {
		throw new StorageError('corrupt', file, 'the header is damaged');
	}

	const version = bytes.readUInt16LE(magic.length);
	if (version !== formatVersion) {
		throw new StorageError('unknownVersion', file, `version ${version}, this program knows ${formatVersion}`);
	}

	const records: string[] = [];
	let offset = headerBytes;
	let markedBytes = 0;
	while (offset < bytes.length) {
		const end = findRecordEnd(bytes, offset);
		if (end === undefined && isLostMark(bytes, offset)) {
			offset += prefixBytes;
			continue;
		}

		if (end === undefined) {
			break;
		}

		records.push(bytes.toString('utf8', offset + prefixBytes, end));
		markedBytes = end === offset + prefixBytes ? end : markedBytes;
		offset = end;
	}

	if (offset < bytes.length && hasRecordAfter(bytes, offset)) {
		throw new StorageError('corrupt', file, `the record at byte ${offset} is damaged and whole records follow`);
	}

	return {
		records, markedBytes, validBytes: offset, tornBytes: bytes.length - offset,
	};
};
