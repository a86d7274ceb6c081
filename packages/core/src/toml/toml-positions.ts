/** Finds the lines on which the keys of a TOML text are defined. */

/** A key path of a TOML text: names of tables and keys, and indices of arrays. */
export type TomlPath = ReadonlyArray<string | number>;

/** Positions of the keys in one text. */
export type TomlPositions = {
	/** Line of a key or array element, from 1; the line of its nearest enclosing table when it is missing. */
	lineOf(path: TomlPath): number;
};

const controlEscapes = new Map([['b', '\b'], ['t', '\t'], ['n', '\n'], ['f', '\f'], ['r', '\r'], ['e', '\u{1B}']]);

const decodeEscape = (escape: string): string => {
	const letter = escape.charAt(1);
	return escape.length > 2 ? String.fromCodePoint(Number.parseInt(escape.slice(2), 16)) : controlEscapes.get(letter) ?? letter;
};

const unescape = (text: string): string => text.replaceAll(/\\(?:u[\dA-Fa-f]{4}|U[\dA-Fa-f]{8}|x[\dA-Fa-f]{2}|.)/gv, escape => decodeEscape(escape));

const pathKey = (path: TomlPath): string => JSON.stringify(path);

/** Walks a text that a parser has accepted already; it checks nothing. */
class Scanner {
	readonly lines = new Map<string, number>();
	readonly #lastIndices = new Map<string, number>();
	#position = 0;
	#line = 1;
	#table: TomlPath = [];

	constructor(private readonly text: string) {}

	scan(): void {
		this.#skipBlank();
		while (this.#position < this.text.length) {
			if (this.#peek === '[') {
				this.#scanHeader();
			} else {
				this.#scanKeyValue(this.#table);
			}

			this.#skipBlank();
		}
	}

	get #peek(): string {
		return this.text[this.#position] ?? '';
	}

	#startsWith(token: string): boolean {
		return this.text.startsWith(token, this.#position);
	}

	#advance(count = 1): void {
		for (let left = count; left > 0; left--) {
			this.#line += this.#peek === '\n' ? 1 : 0;
			this.#position += 1;
		}
	}

	/** Skips white space, line ends and comments. */
	#skipBlank(): void {
		while (this.#position < this.text.length && /[\s#]/v.test(this.#peek)) {
			if (this.#peek === '#') {
				this.#skipComment();
			} else {
				this.#advance();
			}
		}
	}

	#skipComment(): void {
		while (this.#position < this.text.length && this.#peek !== '\n') {
			this.#advance();
		}
	}

	#scanHeader(): void {
		const line = this.#line;
		const isArray = this.#startsWith('[[');
		this.#advance(isArray ? 2 : 1);
		const names = this.#scanKey();
		this.#advance(isArray ? 2 : 1);
		const parent = this.#resolve(names.slice(0, -1), line);
		const path = [...parent, names.at(-1)!];
		this.#recordLine(path, line);
		this.#table = isArray ? this.#addElement(path, line) : this.#resolveLastElement(path);
		this.#recordLine(this.#table, line);
	}

	/** Follows names from the root; an array of tables resolves to its last element. */
	#resolve(names: readonly string[], line: number): TomlPath {
		let path: TomlPath = [];
		for (const name of names) {
			path = [...path, name];
			this.#recordLine(path, line);
			path = this.#resolveLastElement(path);
		}

		return path;
	}

	#resolveLastElement(path: TomlPath): TomlPath {
		const index = this.#lastIndices.get(pathKey(path));
		return index === undefined ? path : [...path, index];
	}

	#addElement(path: TomlPath, line: number): TomlPath {
		const index = (this.#lastIndices.get(pathKey(path)) ?? -1) + 1;
		this.#lastIndices.set(pathKey(path), index);
		const element = [...path, index];
		this.#recordLine(element, line);
		return element;
	}

	#recordLine(path: TomlPath, line: number): void {
		const key = pathKey(path);
		if (!this.lines.has(key)) {
			this.lines.set(key, line);
		}
	}

	#scanKeyValue(table: TomlPath): void {
		const line = this.#line;
		let path = table;
		for (const name of this.#scanKey()) {
			path = [...path, name];
			this.#recordLine(path, line);
		}

		this.#advance();
		this.#skipBlank();
		this.#scanValue(path);
	}

	/** Reads a key, dotted or not, up to its `=` or `]`. */
	#scanKey(): string[] {
		const names: string[] = [];
		this.#skipBlank();
		while (this.#position < this.text.length && this.#peek !== '=' && this.#peek !== ']') {
			names.push(this.#scanSimpleKey());
			this.#skipBlank();
			if (this.#peek === '.') {
				this.#advance();
				this.#skipBlank();
			}
		}

		return names;
	}

	#scanSimpleKey(): string {
		if (this.#peek === '"' || this.#peek === '\'') {
			return this.#scanString();
		}

		const start = this.#position;
		while (/[\w\-]/v.test(this.#peek)) {
			this.#advance();
		}

		if (this.#position === start) {
			this.#advance();
		}

		return this.text.slice(start, this.#position);
	}

	#scanValue(path: TomlPath): void {
		switch (this.#peek) {
			case '"':
			case '\'': {
				this.#scanString();
				break;
			}

			case '[': {
				this.#scanArray(path);
				break;
			}

			case '{': {
				this.#scanInlineTable(path);
				break;
			}

			default: {
				while (this.#position < this.text.length && !/[\n#,\]\}]/v.test(this.#peek)) {
					this.#advance();
				}
			}
		}
	}

	#scanString(): string {
		const quote = this.#peek;
		const mark = this.#startsWith(quote.repeat(3)) ? quote.repeat(3) : quote;
		this.#advance(mark.length);
		const start = this.#position;
		while (this.#position < this.text.length && !this.#startsWith(mark)) {
			this.#advance(quote === '"' && this.#peek === '\\' ? 2 : 1);
		}

		const raw = this.text.slice(start, this.#position);
		this.#advance(mark.length);
		// Up to two quotes may directly precede the closing mark
		while (mark.length === 3 && this.#peek === quote) {
			this.#advance();
		}

		return quote === '"' ? unescape(raw) : raw;
	}

	#scanArray(path: TomlPath): void {
		this.#scanElements(']', index => {
			const element = [...path, index];
			this.#recordLine(element, this.#line);
			this.#scanValue(element);
		});
	}

	#scanInlineTable(path: TomlPath): void {
		this.#scanElements('}', () => {
			this.#scanKeyValue(path);
		});
	}

	#scanElements(close: string, read: (index: number) => void): void {
		this.#advance();
		this.#skipBlank();
		for (let index = 0; this.#position < this.text.length && this.#peek !== close; index++) {
			read(index);
			this.#skipBlank();
			if (this.#peek === ',') {
				this.#advance();
				this.#skipBlank();
			}
		}

		this.#advance();
	}
}

/**
 * Finds the lines of all keys of a TOML text that a parser has accepted.
 *
 * @see TOML v1.0.0, https://toml.io/en/v1.0.0
 * @example
 * findTomlPositions('[listen]\npeers = "x"').lineOf(['listen', 'peers']); // 2
 */
export const findTomlPositions = (text: string): TomlPositions => {
	const scanner = new Scanner(text);
	scanner.scan();
	return {
		lineOf(path) {
			for (let {length} = path; length > 0; length--) {
				const line = scanner.lines.get(pathKey(path.slice(0, length)));
				if (line !== undefined) {
					return line;
				}
			}

			return 1;
		},
	};
};
