/** The `explain` command. */
import {readFile} from 'node:fs/promises';
import {exitCodes} from './exit-codes.js';
import type {ExitCode} from './exit-codes.js';
import {explainRequest} from './explain/explain-request.js';
import {readLogLines} from './explain/log-line.js';
import type {LogLine} from './explain/log-line.js';
import {summarizeStreams} from './explain/summarize-streams.js';
import type {LatenessLimits} from './explain/summarize-streams.js';
import type {Output} from './output.js';

const textOf = ({time, instance, part, event, fields}: LogLine): string =>
	`${time} ${instance} ${part}: ${event} ${Object.entries(fields).map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`).join(' ')}`.trimEnd();

const readFiles = async (files: readonly string[], output: Output): Promise<readonly LogLine[]> => {
	const logs = await Promise.all(files.map(async file => readLogLines(await readFile(file, 'utf8'))));
	const unreadable = logs.reduce((sum, log) => sum + log.unreadable, 0);
	if (unreadable > 0) {
		output.progress(`${unreadable} lines are no structured log lines and were passed over.`);
	}

	return logs.flatMap(({lines}) => lines);
};

/** Explains one request from collected log files. */
export const explain = async (requestId: string, files: readonly string[], output: Output): Promise<ExitCode> => {
	const explanation = explainRequest(await readFiles(files, output), requestId);
	output.print(explanation, [
		`request ${requestId}: ${explanation.verdict}`,
		...explanation.lines.map(line => `  ${textOf(line)}`),
		...(explanation.beliefs.length === 0 ? [] : ['what instances knew of the engines and servers that it met:']),
		...explanation.beliefs.map(line => `  ${textOf(line)}`),
	]);
	return explanation.lines.length === 0 ? exitCodes.failed : exitCodes.done;
};

/** Counts the streams of collected log files by cause. */
export const explainStreams = async (files: readonly string[], limits: LatenessLimits, output: Output): Promise<ExitCode> => {
	const summary = summarizeStreams(await readFiles(files, output), limits);
	output.print({...summary, rejections: Object.fromEntries(summary.rejections)}, [
		`${summary.streams} streams`,
		...summary.causes.map(({
			cause, streams, wastedTokens, examples,
		}) => `  ${streams}  ${cause}; ${wastedTokens} prompt tokens prefilled in vain; for example ${examples.join(' ')}`),
		...(summary.rejections.size === 0 ? [] : ['rejected after a prefill, by engine:']),
		...[...summary.rejections].map(([engine, count]) => `  ${count}  ${engine}`),
	]);
	return summary.streams === 0 ? exitCodes.failed : exitCodes.done;
};
