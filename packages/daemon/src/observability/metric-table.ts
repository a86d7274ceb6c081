/** Every metric with its type, unit and tags. No other metric is sent. */

/** How a metric is told to a StatsD sink. */
export type MetricType = 'counter' | 'gauge' | 'timer';

/** One row of the table. */
export type MetricRow = {
	readonly type: MetricType;
	readonly unit: string;
	readonly tags: readonly string[];
	readonly meaning: string;
};

/* eslint-disable @typescript-eslint/naming-convention */
/** The closed list; names are sent with the prefix `baobabpier.`. */
export const metricTable = {
	requests: {
		type: 'counter', unit: 'requests', tags: ['service', 'outcome'], meaning: 'Requests answered, by outcome: `complete`, `callerGone`, or the error kind.',
	},
	'request.duration': {
		type: 'timer', unit: 'ms', tags: ['service'], meaning: 'From admission to the close of the caller\'s answer.',
	},
	'request.first_output': {
		type: 'timer', unit: 'ms', tags: ['service'], meaning: 'From admission to the first output of a model request.',
	},
	'request.output_tokens': {
		type: 'counter', unit: 'tokens', tags: ['service'], meaning: 'Output tokens passed on to callers.',
	},
	'request.dropped_events': {
		type: 'counter', unit: 'events', tags: ['service'], meaning: 'Late, repeated or foreign engine events that were dropped.',
	},
	refusals: {
		type: 'counter', unit: 'requests', tags: ['kind'], meaning: 'Requests refused before admission, by error kind.',
	},
	'responses.foreign': {
		type: 'counter', unit: 'responses', tags: ['kind', 'moment'], meaning: 'Responses that belong to no request or to another one, by kind of call (`plain`, `engine`, `rpc`, `list`) and place (`awaited`, `body`, `idle`).',
	},
	'requests.open': {
		type: 'gauge', unit: 'requests', tags: [], meaning: 'Requests in progress.',
	},
	'bodies.buffered': {
		type: 'gauge', unit: 'bytes', tags: [], meaning: 'Bodies held whole.',
	},
	'process.heap_used': {
		type: 'gauge', unit: 'bytes', tags: [], meaning: 'JavaScript heap in use, garbage that is not collected yet included.',
	},
	'clients.connections': {
		type: 'gauge', unit: 'connections', tags: [], meaning: 'Connections of clients, over all ports.',
	},
	'clients.displaced': {
		type: 'gauge', unit: 'connections', tags: [], meaning: 'Connections without a complete request that were closed to make room, since the start.',
	},
	'clients.refused': {
		type: 'gauge', unit: 'connections', tags: [], meaning: 'New connections that were closed as all others had requests in progress, since the start.',
	},
	'clients.unread': {
		type: 'gauge', unit: 'responses', tags: [], meaning: 'Responses that were broken off as their callers read nothing, since the start.',
	},
	'clients.ahead': {
		type: 'gauge', unit: 'connections', tags: [], meaning: 'Connections that sent too many requests ahead of a response, since the start.',
	},
	'clients.malformed': {
		type: 'gauge', unit: 'connections', tags: [], meaning: 'Connections that sent a malformed request, since the start.',
	},
	'clients.unparsed': {
		type: 'gauge', unit: 'bytes', tags: [], meaning: 'Bytes of clients that have arrived and wait to be parsed.',
	},
	'clients.full_turns': {
		type: 'gauge', unit: 'turns', tags: [], meaning: 'Turns of the event loop that left bytes of clients for the next one, since the start.',
	},
	'cancels.pending': {
		type: 'gauge', unit: 'cancels', tags: [], meaning: 'Cancels that an engine has not confirmed yet.',
	},
	'catalogue.revision': {
		type: 'gauge', unit: 'revision', tags: [], meaning: 'Revision in force.',
	},
	'control.storage_failed': {
		type: 'gauge', unit: 'ms', tags: [], meaning: 'How long the storage of the replica has been failed; 0 while it runs.',
	},
	'control.storage_reopenings': {
		type: 'gauge', unit: 'openings', tags: [], meaning: 'How often a failed storage was opened again since the start.',
	},
	'process.resident': {
		type: 'gauge', unit: 'bytes', tags: [], meaning: 'Resident memory.',
	},
	'process.loop_delay': {
		type: 'gauge', unit: 'ms', tags: [], meaning: '99th percentile of the event loop\'s delay since the last sample.',
	},
} as const satisfies Record<string, MetricRow>;
/* eslint-enable @typescript-eslint/naming-convention */

/** A name of the table. */
export type MetricName = keyof typeof metricTable;

/** The names of one type. */
export type MetricNameOf<Type extends MetricType> = {
	[Name in MetricName]: (typeof metricTable)[Name]['type'] extends Type ? Name : never
}[MetricName];

/** The tags of a metric. */
export type MetricTags<Name extends MetricName> = Readonly<Record<(typeof metricTable)[Name]['tags'][number], string>>;
