/** Prints results for a person or as JSON. */
import process from 'node:process';

/** Where a command's result goes. */
export type Output = {
	/** Prints `value` as JSON, or `lines` for a person. */
	print(value: unknown, lines: readonly string[]): void;
	/** Prints a line of progress to standard error, also with JSON. */
	progress(line: string): void;
};

/**
 * Creates an output to standard output.
 *
 * @example
 * createOutput(true).print({revision: 3}, ['Revision 3.']); // {"revision":3}
 */
export const createOutput = (json: boolean): Output => ({
	print(value, lines) {
		process.stdout.write(json ? `${JSON.stringify(value)}\n` : `${lines.join('\n')}\n`);
	},
	progress(line) {
		process.stderr.write(`${line}\n`);
	},
});
