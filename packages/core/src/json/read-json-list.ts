/** Reads a JSON list of independent entries, of which some may hold bytes that are no JSON. */
import {
	closeBrace, closeBracket, comma, openBrace, openBracket,
} from './json-bytes.js';
import {JsonScanner} from './json-scanner.js';

/** What a JSON text holds of a list. */
export type JsonList = {
	/** The entries that are JSON, in order. */
	readonly entries: readonly unknown[];
	/** Number of places at which one or more entries are no JSON. */
	readonly unreadable: number;
	/** The members beside the list that are JSON, by name. */
	readonly members: Readonly<Record<string, unknown>>;
	/** Whether the list was read to its end, and all members beside it; otherwise more entries and members may follow. */
	readonly isWhole: boolean;
};

/** Where a list is found, and how an entry of it is recognized. */
export type JsonListShape = {
	/** Member of an object that holds the list; undefined where the text itself is the list. */
	readonly member: string | undefined;
	/** Whether a value has the form of an entry. Behind an entry without a recognizable end, the list goes on at the next such value. */
	readonly isEntry: (value: unknown) => boolean;
};

const utf8 = new TextDecoder('utf8', {fatal: true});
const invalid = Symbol('invalid');

const parse = (bytes: Uint8Array): unknown => {
	try {
		return JSON.parse(utf8.decode(bytes));
	} catch {
		// Callers count what is no JSON
		return invalid;
	}
};

const isObject = (value: unknown): value is Readonly<Record<string, unknown>> => typeof value === 'object' && value !== null && !Array.isArray(value);

/**
 * Reads a list entry by entry where the text as a whole is no JSON, so that the sound entries hold. An entry ends where its brackets and
 * quotes match. Behind one whose brackets or quotes don't, the list goes on at the next comma that a whole entry follows; what lies between
 * is lost. The work is bounded by a multiple of the length of the text.
 *
 * Returns undefined where there is no list.
 *
 * @example
 * const text = '{"items":[{"id":"a"},{"id":"b' + '\0' + '"},{"id":"c"}],"next":null}';
 * readJsonList(new TextEncoder().encode(text), {member: 'items', isEntry: () => true});
 * // {entries: [{id: 'a'}, {id: 'c'}], unreadable: 1, members: {next: null}, isWhole: true}
 */
export const readJsonList = (bytes: Uint8Array, shape: JsonListShape): JsonList | undefined => {
	const value = parse(bytes);
	if (value === invalid) {
		return new BrokenListReader(bytes, shape).read();
	}

	if (shape.member === undefined) {
		return Array.isArray(value)
			? {
				entries: value, unreadable: 0, members: {}, isWhole: true,
			}
			: undefined;
	}

	if (!isObject(value)) {
		return undefined;
	}

	const {[shape.member]: entries, ...members} = value;
	return Array.isArray(entries)
		? {
			entries, unreadable: 0, members, isWhole: true,
		}
		: undefined;
};

/** Members of an object, `invalid` where a value is no JSON. */
type Members = Map<string, unknown>;

/** What follows a part of the list: the position of the next entry, or the members behind the end of the list. */
type Continuation = {readonly position: number; readonly tail?: undefined} | {readonly tail: Members; readonly position?: undefined};

/** An entry, with the position behind it; what follows is undefined where the end of the entry, or what stands there, can't be told. */
type EntryReading = {readonly entry: unknown; readonly end: number; readonly following: Continuation | undefined};

const noMembers: Members = new Map();

/** Reads one list of a text that is no JSON. */
class BrokenListReader {
	readonly #scanner: JsonScanner;

	constructor(private readonly bytes: Uint8Array, private readonly shape: JsonListShape) {
		this.#scanner = new JsonScanner(bytes);
	}

	read(): JsonList | undefined {
		const list = this.#findList();
		if (list === undefined) {
			return undefined;
		}

		const entries: unknown[] = [];
		let unreadable = 0;
		const emptyTail = this.#readEnd(list.start);
		let next: Continuation | undefined = emptyTail === undefined ? {position: list.start} : {tail: emptyTail};
		while (next?.position !== undefined) {
			const {entry, end, following}: EntryReading = this.#readEntry(next.position);
			next = following ?? this.#resume(next.position);
			// Where nothing of the list can be read behind an entry, the end of the text is broken and not the entry
			const isSound = entry !== invalid && (following !== undefined || (next === undefined && this.#mayEnd(end)));
			if (isSound) {
				entries.push(entry);
			}

			unreadable += isSound && following !== undefined ? 0 : 1;
		}

		const tail = next?.tail;
		const members = new Map([...list.members, ...tail ?? []]);
		const readable = [...members].filter(([, value]) => value !== invalid);
		return {
			entries, unreadable, members: Object.fromEntries(readable), isWhole: tail !== undefined && list.isSound && readable.length === members.size,
		};
	}

	/** Start of the first entry, with the members before the list. */
	#findList(): {readonly start: number; readonly members: Members; readonly isSound: boolean} | undefined {
		const {bytes, shape: {member}} = this;
		const scanner = this.#scanner;
		const first = scanner.skipSpace(0);
		if (member === undefined) {
			return bytes[first] === openBracket ? {start: first + 1, members: noMembers, isSound: true} : undefined;
		}

		const members: Members = new Map();
		let position = bytes[first] === openBrace ? first + 1 : undefined;
		while (position !== undefined) {
			const value = this.#readName(position);
			if (value?.name === member && bytes[value.start] === openBracket) {
				return {start: value.start + 1, members, isSound: true};
			}

			const end: number | undefined = value === undefined ? undefined : this.#readMember(value, members);
			position = end !== undefined && bytes[end] === comma ? end + 1 : undefined;
		}

		const start = this.#findListByName(member);
		return start === undefined ? undefined : {start, members: noMembers, isSound: false};
	}

	/** Start of the first entry where the members before the list can't be read. */
	#findListByName(member: string): number | undefined {
		const text = new TextDecoder('latin1').decode(this.bytes);
		const quoted = JSON.stringify(member);
		for (let at = text.indexOf(quoted); at !== -1; at = text.indexOf(quoted, at + 1)) {
			const value = this.#readName(at);
			if (value !== undefined && this.bytes[value.start] === openBracket) {
				return value.start + 1;
			}
		}

		return undefined;
	}

	/** Name of the member at a position, with the start of its value. */
	#readName(position: number): {readonly name: unknown; readonly start: number} | undefined {
		const scanner = this.#scanner;
		const start = scanner.skipSpace(position);
		const name = scanner.skipName(start);
		return name === undefined ? undefined : {name: parse(this.bytes.subarray(start, name.end)), start: name.value};
	}

	/** Reads the value of a member; returns the position of what follows. */
	#readMember({name, start}: {readonly name: unknown; readonly start: number}, members: Members): number | undefined {
		const end = this.#scanner.skipValue(start);
		if (end === undefined) {
			return undefined;
		}

		members.set(String(name), parse(this.bytes.subarray(start, end)));
		return this.#scanner.skipSpace(end);
	}

	/** Reads the entry at a position. */
	#readEntry(position: number): EntryReading {
		const start = this.#scanner.skipSpace(position);
		// An array without its end would go on to the end of the list
		const end = this.bytes[start] === openBracket ? undefined : this.#scanner.skipValue(start);
		return end === undefined
			? {entry: invalid, end: start, following: undefined}
			: {entry: parse(this.bytes.subarray(start, end)), end, following: this.#findNext(end)};
	}

	/** Whether the list or the text ends at a position. */
	#mayEnd(position: number): boolean {
		const end = this.#scanner.skipSpace(position);
		return end === this.bytes.length || this.bytes[end] === closeBracket;
	}

	/** What follows behind an entry. */
	#findNext(end: number): Continuation | undefined {
		const position = this.#scanner.skipSpace(end);
		if (this.bytes[position] === comma) {
			return {position: position + 1};
		}

		const tail = this.#readEnd(position);
		return tail === undefined ? undefined : {tail};
	}

	/** Members behind the list, if a position is its end: only they, and the end of the text, may follow. */
	#readEnd(position: number): Members | undefined {
		const scanner = this.#scanner;
		const end = scanner.skipSpace(position);
		if (this.bytes[end] !== closeBracket) {
			return undefined;
		}

		let after = scanner.skipSpace(end + 1);
		if (this.shape.member === undefined) {
			return after === this.bytes.length ? noMembers : undefined;
		}

		const members: Members = new Map();
		while (this.bytes[after] === comma) {
			const value = this.#readName(after + 1);
			const next = value === undefined ? undefined : this.#readMember(value, members);
			if (next === undefined) {
				return undefined;
			}

			after = next;
		}

		return this.bytes[after] === closeBrace && scanner.skipSpace(after + 1) === this.bytes.length ? members : undefined;
	}

	/** The next sound entry behind one without a recognizable end, or the end of the list. */
	#resume(start: number): Continuation | undefined {
		const scanner = this.#scanner;
		for (let position = start; position < this.bytes.length && !scanner.isExhausted; position++) {
			const tail = this.bytes[position] === closeBracket ? this.#readEnd(position) : undefined;
			if (tail !== undefined) {
				return {tail};
			}

			if (this.bytes[position] === comma && this.bytes[scanner.skipSpace(position + 1)] === openBrace) {
				const {entry} = this.#readEntry(position + 1);
				if (entry !== invalid && this.shape.isEntry(entry)) {
					return {position: position + 1};
				}
			}
		}

		return undefined;
	}
}
