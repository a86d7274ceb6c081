/** Reads structured log lines. */

/** A line of an instance's structured log. */
export type LogLine = {
	/** ISO 8601, by the instance's clock. */
	readonly time: string;
	readonly instance: string;
	readonly part: string;
	/** What happened: a fixed sentence. */
	readonly event: string;
	readonly requestId: string | undefined;
	/** The event's other fields. */
	readonly fields: Readonly<Record<string, unknown>>;
};

/** The lines of log files, and how many could not be read. */
export type LogLines = {
	readonly lines: readonly LogLine[];
	readonly unreadable: number;
};

const isText = (value: unknown): value is string => typeof value === 'string';

/** Reads one line; undefined where it is no line of a structured log. A collector's prefix before the JSON is passed over. */
const readLine = (text: string): LogLine | undefined => {
	const start = text.indexOf('{');
	let value: unknown;
	try {
		value = start === -1 ? undefined : JSON.parse(text.slice(start));
	} catch {
		// A line that was cut off; the caller counts it
		return undefined;
	}

	if (typeof value !== 'object' || value === null) {
		return undefined;
	}

	const {time, instance, part, event, requestId, ...others} = value as Record<string, unknown>;
	const fields = Object.fromEntries(Object.entries(others).filter(([name]) => name !== 'level'));
	return isText(time) && isText(instance) && isText(part) && isText(event)
		? {
			time, instance, part, event, requestId: isText(requestId) ? requestId : undefined, fields,
		}
		: undefined;
};

/**
 * Reads the lines of a log file.
 *
 * @example
 * readLogLines('{"time":"2026-01-30T23:14:17.242Z","instance":"entry-1","part":"callers","event":"A call ended."}').lines.length; // 1
 */
export const readLogLines = (text: string): LogLines => {
	const all = text.split('\n').filter(line => line.trim() !== '').map(line => readLine(line));
	return {lines: all.filter(line => line !== undefined), unreadable: all.filter(line => line === undefined).length};
};
