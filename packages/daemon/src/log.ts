/** Logs: a prefix for each part, a short sentence, and key=value fields. */
import createDebug from 'debug';

/** Fields of a log line. Never a prompt, a key or a secret. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** How much a line matters: a warning tells of a call that did not get what it should have. */
export type LogLevel = 'info' | 'warn';

/** A part's log. */
export type Log = ((sentence: string, fields?: LogFields) => void) & {
	/** Logs a warning. */
	readonly warn: (sentence: string, fields?: LogFields) => void;
};

const quote = (value: string | number | boolean): string => {
	const text = String(value);
	return /[\s"=]/v.test(text) ? JSON.stringify(text) : text;
};

/**
 * Formats fields as `key=value`, leaving out undefined ones.
 *
 * @example
 * formatFields({attempt: 2}); // 'attempt=2'
 */
export const formatFields = (fields: LogFields): string => Object.entries(fields)
	.filter((entry): entry is [string, string | number | boolean] => entry[1] !== undefined)
	.map(([key, value]) => `${key}=${quote(value)}`)
	.join(' ');

/** Takes log lines; must not block. */
export type LogSink = (part: string, sentence: string, fields: LogFields, level: LogLevel) => void;

let sink: LogSink | undefined;

/** Sends the lines of all parts to a sink, in place of `debug`; returns the teardown. */
export const registerLogSink = (next: LogSink): (() => void) => {
	sink = next;
	return () => {
		sink = undefined;
	};
};

/**
 * Creates the log of a part, written under `baobabpier:<part>`.
 *
 * @example
 * const log = createLog('entry');
 * log('Request finished.', {requestId, outcome: 'complete'});
 * log.warn('A call got no complete response.', {requestId});
 */
export const createLog = (part: string): Log => {
	const debug = createDebug(`baobabpier:${part}`);
	const createWriter = (level: LogLevel) => (sentence: string, fields: LogFields = {}): void => {
		if (sink !== undefined) {
			sink(part, sentence, fields, level);
			return;
		}

		debug('%s %s', sentence, formatFields(fields));
	};

	return Object.assign(createWriter('info'), {warn: createWriter('warn')});
};
