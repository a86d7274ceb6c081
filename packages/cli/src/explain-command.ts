/** The `explain` command. */
import {readFile} from 'node:fs/promises';
import {exitCodes} from './exit-codes.js';
import type {ExitCode} from './exit-codes.js';
import {explainRequest} from './explain/explain-request.js';
import {readLogLines} from './explain/log-line.js';
import type {LogLine} from './explain/log-line.js';
import type {Output} from './output.js';

const textOf = ({time, instance, part, event, fields}: LogLine): string =>
	`${time} ${instance} ${part}: ${event} ${Object.entries(fields).map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`).join(' ')}`.trimEnd();

/** Explains one request from collected log files. */
export const explain = async (requestId: string, files: readonly string[], output: Output): Promise<ExitCode> => {
	const logs = await Promise.all(files.map(async file => readLogLines(await readFile(file, 'utf8'))));
	const unreadable = logs.reduce((sum, log) => sum + log.unreadable, 0);
	if (unreadable > 0) {
		output.progress(`${unreadable} lines are no structured log lines and were passed over.`);
	}

	const explanation = explainRequest(logs.flatMap(({lines}) => lines), requestId);
	output.print(explanation, [
		`request ${requestId}: ${explanation.verdict}`,
		...explanation.lines.map(line => `  ${textOf(line)}`),
		...(explanation.beliefs.length === 0 ? [] : ['what instances knew of the engines and servers that it met:']),
		...explanation.beliefs.map(line => `  ${textOf(line)}`),
	]);
	return explanation.lines.length === 0 ? exitCodes.failed : exitCodes.done;
};
