/** Parses a TOML document, validates it against a schema and reports every fault with its line. */
import {parse} from 'smol-toml';
import type {z} from 'zod';
import {err, ok} from '../result.js';
import type {Result} from '../result.js';
import {findTomlPositions} from './toml-positions.js';
import type {TomlPath, TomlPositions} from './toml-positions.js';

/** One fault of a TOML document. */
export type TomlFault = {
	/** Line number, from 1; the line of the enclosing table when the field is missing. */
	readonly line: number | undefined;
	/** Path of the field, such as `services.shopfront.limits.inFlight`; empty for a syntax error. */
	readonly field: string;
	/** The actual value, as JSON; undefined when missing. */
	readonly value: string | undefined;
	readonly problem: string;
};

/** A string value of a table, with its path. */
export type TomlString = {readonly path: TomlPath; readonly value: string};

/** A fault whose line has not been resolved yet. */
export type TomlProblem = {readonly path: TomlPath; readonly value: unknown; readonly problem: string};

/** A check of the parsed table. It also runs when schema validation failed, so it must accept any shape. */
export type TomlCheck = (table: unknown) => readonly TomlProblem[];

const formatValue = (value: unknown): string | undefined => value === undefined ? undefined : JSON.stringify(value);

const toFault = (positions: TomlPositions, {path, value, problem}: TomlProblem): TomlFault => ({
	line: positions.lineOf(path), field: path.join('.'), value: formatValue(value), problem,
});

const toPath = (path: readonly PropertyKey[]): TomlPath => path.map(part => typeof part === 'symbol' ? String(part) : part);

const valueAt = (table: unknown, path: TomlPath): unknown => {
	let value = table;
	for (const part of path) {
		value = typeof value === 'object' && value !== null ? (value as Record<string | number, unknown>)[part] : undefined;
	}

	return value;
};

const toProblems = (issue: z.core.$ZodIssue, table: unknown): TomlProblem[] => {
	const path = toPath(issue.path);
	if (issue.code === 'unrecognized_keys') {
		return issue.keys.map(key => ({path: [...path, key], value: valueAt(table, [...path, key]), problem: 'unknown key'}));
	}

	if (issue.code === 'invalid_key') {
		return issue.issues.map(({message}) => ({path, value: path.at(-1), problem: message}));
	}

	const value = valueAt(table, path);
	return [{path, value, problem: value === undefined ? 'is missing' : issue.message}];
};

/**
 * Collects the strings at the paths that match `pattern`; `*` matches every key or index.
 *
 * @example
 * collectStrings(table, ['instances', '*', 'id']); // [{path: ['instances', 0, 'id'], value: 'a-1'}]
 */
export const collectStrings = (table: unknown, pattern: readonly string[], path: TomlPath = []): TomlString[] => {
	const [head, ...rest] = pattern;
	if (head === undefined) {
		return typeof table === 'string' ? [{path, value: table}] : [];
	}

	if (typeof table !== 'object' || table === null) {
		return [];
	}

	const keys = head === '*' ? Object.keys(table) : [head];
	return keys.flatMap(key => collectStrings((table as Record<string, unknown>)[key], rest, [...path, Array.isArray(table) ? Number(key) : key]));
};

/** Reports each string that duplicates an earlier one. */
export const findDuplicates = (strings: readonly TomlString[]): TomlProblem[] => {
	const firstPaths = new Map<string, TomlPath>();
	return strings.flatMap(({path, value}) => {
		const firstPath = firstPaths.get(value);
		if (firstPath === undefined) {
			firstPaths.set(value, path);
			return [];
		}

		return [{path, value, problem: `is used already by ${firstPath.join('.')}`}];
	});
};

/** Parses a TOML document; fails with its syntax error. */
export const parseToml = (text: string): Result<unknown, readonly TomlFault[]> => {
	try {
		return ok(parse(text));
	} catch (error) {
		const {line, message} = error as {line?: number; message: string};
		return err([{
			line, field: '', value: undefined, problem: message.split('\n', 1)[0]!,
		}]);
	}
};

/**
 * Resolves the lines of problems and sorts them by line.
 *
 * @example
 * locateFaults(text, [{path: ['secretFile'], value: 'secret', problem: 'can\'t be read'}])[0]!.line;
 */
export const locateFaults = (text: string, problems: readonly TomlProblem[]): readonly TomlFault[] => {
	const positions = findTomlPositions(text);
	return problems.map(problem => toFault(positions, problem)).toSorted((left, right) => left.line! - right.line!);
};

/**
 * Parses a document, validates it against a schema and runs further checks.
 *
 * @example
 * const result = checkToml(schema, text, [table => findDuplicates(collectStrings(table, ['instances', '*', 'id']))]);
 */
export const checkToml = <Schema extends z.ZodType>(schema: Schema, text: string, checks: readonly TomlCheck[] = []): Result<z.output<Schema>, readonly TomlFault[]> => {
	const table = parseToml(text);
	if (table.err) {
		return table;
	}

	const checked = schema.safeParse(table.val, {reportInput: true});
	const problems = [
		...(checked.error?.issues ?? []).flatMap(issue => toProblems(issue, table.val)),
		...checks.flatMap(check => check(table.val)),
	];
	return checked.success && problems.length === 0 ? ok(checked.data) : err(locateFaults(text, problems));
};

/**
 * Formats a fault as one human-readable line.
 *
 * @example
 * formatFault('a.toml', fault); // 'a.toml:3: id: 7: Invalid input: expected string, received number'
 */
export const formatFault = (file: string, {line, field, value, problem}: TomlFault): string => {
	const parts = [`${file}:${line ?? 1}`, field, value, problem];
	return parts.filter(part => part !== undefined && part !== '').join(': ');
};
