/** Puts the lines of one request in order, and says why it ended as it did. */
import type {LogLine} from './log-line.js';

/** What logs say of one request. */
export type Explanation = {
	readonly requestId: string;
	/** Why the request ended as it did, in one sentence. */
	readonly verdict: string;
	/** The request's lines over all instances, in time order. */
	readonly lines: readonly LogLine[];
	/** What instances learned of the engines and servers that the request met, from shortly before it to its end. */
	readonly beliefs: readonly LogLine[];
};

/** How long before a request's first line changes of belief are shown, in milliseconds: suspicions last some seconds. */
const beliefsBeforeMs = 5000;
const quarantined = 'A prompt is quarantined.';
const convicted = 'A segment set is quarantined: engines crashed as they began to write on it.';
const ended = 'A call ended.';
const refused = 'A call is refused.';
const engineOutcome = 'A stream got an outcome at an engine.';
const unavailable = 'Every server of a service leaves, asks for time or has used up its limit.';
const serverOutcome = 'A call got an outcome at a server.';

/** A field's value in words; undefined where the line has none. */
const valueOf = (line: LogLine | undefined, name: string): string | undefined => {
	const value = line?.fields[name];
	return value === undefined || value === '' ? undefined : (typeof value === 'string' ? value : JSON.stringify(value));
};

const field = (line: LogLine | undefined, name: string): string => valueOf(line, name) ?? 'unknown';

const find = (lines: readonly LogLine[], event: string): LogLine | undefined => lines.findLast(line => line.event === event);

/** One attempt at an engine or a server, in words. */
const attemptOf = (line: LogLine): string => {
	const [status, detail, load] = ['status', 'detail', 'load'].map(name => valueOf(line, name));
	const reasons = [status === undefined ? undefined : `status ${status}`, detail, load === undefined ? undefined : `${load} requests there`].filter(text => text !== undefined);
	return `${valueOf(line, 'engine') ?? field(line, 'server')} ${field(line, 'outcome')}${reasons.length === 0 ? '' : ` (${reasons.join(', ')})`}`;
};

const attemptsOf = (lines: readonly LogLine[]): string => lines.map(line => attemptOf(line)).join('; ');

/** Errors of calls that found no server with capacity. */
const capacityErrors: ReadonlySet<string> = new Set(['noBackend', 'overloaded', 'queueTimeout']);

/** Why a call was refused or failed, by error kind. */
const refusalVerdicts: Readonly<Record<string, (lines: readonly LogLine[], attempts: readonly LogLine[]) => string>> = {
	overloaded: (lines, attempts) => attempts.length === 0
		? `Refused for load: the predicted wait for a place was over what the target allows (${field(find(lines, 'A stream got no place.'), 'leftMs')} ms were left). It has not run.`
		: `Refused after every engine that it was sent to rejected it: ${attemptsOf(attempts)}. It has not run.`,
	queueTimeout: () => 'Refused after it waited for a place for as long as its caller waits for a first answer. It has not run.',
	noBackend: (_lines, attempts) => `Refused since no engine or server could be reached${attempts.length === 0 ? '' : `: ${attemptsOf(attempts)}`}. It has not run.`,
	answerLost: (_lines, attempts) => `Its outcome is unknown: ${attemptsOf(attempts)}. Its route allows no further attempt, so it was not sent again.`,
	outcomeUnknown: (lines, attempts) => `Its outcome is unknown: ${field(find(lines, refused), 'detail')}. It may have run: ${attemptsOf(attempts)}.`,
	timeout: (_lines, attempts) => `Its time was over while it was at work: ${attemptsOf(attempts)}. It may have run.`,
	shuttingDown: lines => `Refused since the instance could not serve: ${valueOf(find(lines, refused), 'detail') ?? 'it was stopping'}. It has not run.`,
	unknownService: lines => `Refused since no route matched: ${field(find(lines, refused), 'detail')}.`,
};

/** Why a request with quarantined segments was refused: the segments, their crashes and who decided. */
const quarantineVerdict = (lines: readonly LogLine[], attempts: readonly LogLine[], all: readonly LogLine[]): string => {
	const segments = field(find(lines, quarantined), 'quarantined');
	const verdict = all.findLast(({event, fields}) => event === convicted && fields.segments === segments);
	const cause = verdict === undefined ? 'The verdict is in none of these logs; `quarantine list` shows it.' : `Decided by ${field(verdict, 'decidedBy')} at ${verdict.time}, after these crashes: ${field(verdict, 'crashes')}.`;
	const execution = attempts.length === 0 ? 'It has not run.' : `It may have run before: ${attemptsOf(attempts)}.`;
	return `Refused since its prompt has the quarantined segments ${segments}. ${cause} ${execution}`;
};

const verdictOf = (lines: readonly LogLine[], all: readonly LogLine[]): string => {
	const attempts = lines.filter(({event}) => event === engineOutcome || event === serverOutcome);
	const end = find(lines, ended);
	const refusal = find(lines, refused);
	if (lines.length === 0) {
		return 'No line names this request: it reached no instance whose log is here, or its lines were left out (look for "Log lines were left out.").';
	}

	if (find(lines, quarantined) !== undefined) {
		return quarantineVerdict(lines, attempts, all);
	}

	const kind = refusal === undefined ? undefined : field(refusal, 'kind');
	const finding = find(lines, unavailable);
	if (finding !== undefined && kind !== undefined && capacityErrors.has(kind)) {
		return `Refused since every server of ${field(finding, 'service')} leaves, asked for time or has used up its limit; the first takes calls again ${field(finding, 'availableInMs')} ms later${attempts.length === 0 ? '' : `. Before: ${attemptsOf(attempts)}`}. It has not run.`;
	}

	if (kind !== undefined) {
		return refusalVerdicts[kind]?.(lines, attempts) ?? `Refused: ${kind}, ${field(refusal, 'detail')}.`;
	}

	if (end === undefined) {
		return `No end is logged: the instance ${lines.at(-1)!.instance} was killed, or the request still runs. Its last line is "${lines.at(-1)!.event}".`;
	}

	switch (end.fields.outcome) {
		case 'answered': {
			return `Answered with status ${field(end, 'status')} after ${field(end, 'ms')} ms, ${attempts.length} attempts.`;
		}

		case 'callerGone': {
			return `Its caller left after ${field(end, 'ms')} ms.`;
		}

		case 'brokenOff': {
			return `The stream broke off after event ${field(attempts.at(-1), 'lastEventId')}: ${attemptsOf(attempts)}.`;
		}

		default: {
			return `Ended: ${field(end, 'outcome')}.`;
		}
	}
};

const byTime = (a: LogLine, b: LogLine): number => a.time < b.time ? -1 : (a.time > b.time ? 1 : 0);

/** Ids of the engines and servers that lines name. */
const namedServers = (lines: readonly LogLine[]): ReadonlySet<string> =>
	new Set(lines.flatMap(({fields}) => [fields.engine, fields.server, fields.prefill, fields.decode]).filter(id => typeof id === 'string'));

const isBelief = (line: LogLine, servers: ReadonlySet<string>): boolean => line.requestId === undefined
	&& [line.fields.server, line.fields.engine, ...(typeof line.fields.engines === 'string' ? line.fields.engines.split(' ') : [])].some(id => typeof id === 'string' && servers.has(id));

/**
 * Explains a request from the log lines of all instances. Clocks of instances may differ; lines of one instance are in order.
 *
 * @example
 * explainRequest(readLogLines(text).lines, '9c41d07be2a35f68').verdict;
 */
export const explainRequest = (all: readonly LogLine[], requestId: string): Explanation => {
	const lines = all.filter(line => line.requestId === requestId).toSorted(byTime);
	const servers = namedServers(lines);
	const from = new Date(Date.parse(lines[0]?.time ?? '') - beliefsBeforeMs);
	const isNear = ({time}: LogLine): boolean => lines.length > 0 && Date.parse(time) >= from.getTime() && time <= lines.at(-1)!.time;
	return {
		requestId, verdict: verdictOf(lines, all), lines, beliefs: all.filter(line => isBelief(line, servers) && isNear(line)).toSorted(byTime),
	};
};
