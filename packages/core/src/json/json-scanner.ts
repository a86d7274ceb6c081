/** Finds the ends of JSON values by their brackets and quotes alone. */
import {
	backslash, closeBrace, closeBracket, colon, comma, openBrace, openBracket, quote,
} from './json-bytes.js';

/** Maximum length of one value, in bytes: many times that of any entry of a list. */
const maxValueBytes = 64 * 1024;
/** Maximum number of bytes that are scanned, in multiples of the length of the text, and what a short text may take besides, in bytes. */
const maxScanFactor = 8;
const minScanBytes = 1024 * 1024;

const isSpace = (byte: number | undefined): boolean => byte === 0x20 || byte === 0x0A || byte === 0x0D || byte === 0x09;

const isStructural = (byte: number): boolean => byte === quote || byte === comma || byte === colon || byte === openBracket || byte === closeBracket || byte === openBrace || byte === closeBrace;

/**
 * Skips values of a text whose strings and scalars may hold any bytes. It is exhausted once it has scanned a multiple of the text's length,
 * and finds no further values then.
 *
 * @example
 * const bytes = new TextEncoder().encode('{"a":[1,2]},7');
 * new JsonScanner(bytes).skipValue(0); // 11
 */
export class JsonScanner {
	#bytesLeft: number;

	constructor(private readonly bytes: Uint8Array) {
		this.#bytesLeft = (maxScanFactor * bytes.length) + minScanBytes;
	}

	/** Whether no further values are scanned. */
	get isExhausted(): boolean {
		return this.#bytesLeft <= 0;
	}

	/** Position of the next byte that is no white space. */
	skipSpace(start: number): number {
		let position = start;
		while (isSpace(this.bytes[position])) {
			position += 1;
		}

		this.#bytesLeft -= position - start;
		return position;
	}

	/** Position behind the string at `start`; undefined where none ends within the maximum length of a value. */
	skipString(start: number): number | undefined {
		if (this.bytes[start] !== quote || this.isExhausted) {
			return undefined;
		}

		const limit = Math.min(this.bytes.length, start + maxValueBytes);
		let position = start + 1;
		while (position < limit && this.bytes[position] !== quote) {
			position += this.bytes[position] === backslash ? 2 : 1;
		}

		this.#bytesLeft -= position - start;
		return position < limit ? position + 1 : undefined;
	}

	/** Position behind the name of a member at `start`, and that of the member's value; undefined where there is no name or no colon. */
	skipName(start: number): {readonly end: number; readonly value: number} | undefined {
		const end = this.skipString(start);
		const separator = end === undefined ? undefined : this.skipSpace(end);
		return end !== undefined && separator !== undefined && this.bytes[separator] === colon ? {end, value: this.skipSpace(separator + 1)} : undefined;
	}

	/** Position behind the value at `start`; undefined where its brackets and quotes don't match, or it exceeds the maximum length of a value. */
	skipValue(start: number): number | undefined {
		/** Closing brackets that are due, the innermost last. */
		const due: number[] = [];
		let position: number | undefined = start;
		do {
			position = this.#skipValueStart(position, due);
			while (position !== undefined && due.length > 0 && this.bytes[this.skipSpace(position)] === due.at(-1)) {
				due.pop();
				position = this.skipSpace(position) + 1;
			}

			if (position !== undefined && due.length > 0) {
				position = this.#skipSeparator(position, due.at(-1)!);
			}

			if (position !== undefined && position - start > maxValueBytes) {
				return undefined;
			}
		} while (position !== undefined && due.length > 0);

		return position;
	}

	/** Skips a value without parts, or the opening brackets of others up to the first one that has none or is empty. */
	#skipValueStart(start: number, due: number[]): number | undefined {
		let position = this.skipSpace(start);
		while (position - start <= maxValueBytes && (this.bytes[position] === openBrace || this.bytes[position] === openBracket)) {
			const isObject = this.bytes[position] === openBrace;
			const closing = isObject ? closeBrace : closeBracket;
			const first = this.skipSpace(position + 1);
			this.#bytesLeft -= 1;
			if (this.isExhausted) {
				return undefined;
			}

			if (this.bytes[first] === closing) {
				return first + 1;
			}

			due.push(closing);
			const next = isObject ? this.skipName(first)?.value : first;
			if (next === undefined) {
				return undefined;
			}

			position = next;
		}

		return this.bytes[position] === quote ? this.skipString(position) : this.#skipScalar(position);
	}

	#skipScalar(start: number): number | undefined {
		let position = start;
		const limit = Math.min(this.bytes.length, start + maxValueBytes);
		while (position < limit && !isStructural(this.bytes[position]!) && !isSpace(this.bytes[position])) {
			position += 1;
		}

		this.#bytesLeft -= position - start;
		return position === start || this.isExhausted ? undefined : position;
	}

	/** Skips the comma between two parts of a value, with the name of the next one in an object. */
	#skipSeparator(start: number, closing: number): number | undefined {
		const position = this.skipSpace(start);
		if (this.bytes[position] !== comma) {
			return undefined;
		}

		const next = this.skipSpace(position + 1);
		return closing === closeBrace ? this.skipName(next)?.value : next;
	}
}
