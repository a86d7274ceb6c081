/** Reads a daemon's TOML settings, or lists every fault. */
import {
	checkToml, collectStrings, findDuplicates, isServerAddress,
} from '@baobabpier/core';
import type {
	CatalogueFault, DataCentreId, InstanceId, Result, TomlCheck,
} from '@baobabpier/core';
import {z} from 'zod';

const address = z.string().refine(isServerAddress, 'must be "IP:port"');
const name = z.string().regex(/^[a-z\d][\-a-z\d]*$/v, 'must be lower-case letters, digits and hyphens');
const positive = z.number().int().positive();

const durationMs = z.number().int().min(0).max(3_600_000);

const instance = z.strictObject({
	id: name,
	dataCentre: name,
	peers: address,
	replica: z.boolean().default(false),
});

const entry = z.strictObject({
	headersTimeoutMs: positive.default(10_000),
	bodyTimeoutMs: positive.default(30_000),
	maxHeaderBytes: positive.default(16 * 1024),
	maxConnections: positive.optional(),
	maxBufferedBytes: positive.optional(),
}).prefault({});

const machine = z.strictObject({
	memoryMegabytes: positive.default(178),
	descriptors: positive.default(4100),
}).prefault({});

const schema = z.strictObject({
	id: name,
	dataCentre: name,
	listen: z.strictObject({callers: address, peers: address}),
	secretFile: z.string().min(1),
	instances: z.array(instance).min(1),
	storage: z.strictObject({folder: z.string().min(1)}).optional(),
	platform: z.strictObject({list: address}).optional(),
	entry,
	machine,
	tracing: z.strictObject({endpoint: z.url({protocol: /^https?$/v})}).optional(),
	metrics: z.strictObject({host: z.string().min(1), port: z.number().int().min(1).max(65_535)}).optional(),
	stop: z.strictObject({
		readinessDelayMs: durationMs.default(2000),
		quorumWaitMs: durationMs.default(10_000),
		withinMs: durationMs.default(30_000),
	}).prefault({}),
});

/** One instance as the settings list it. */
export type InstanceEntry = {
	readonly id: InstanceId;
	readonly dataCentre: DataCentreId;
	/** Address of its peer port. */
	readonly peers: string;
	readonly replica: boolean;
};

/** What the callers' port allows a connection. */
export type EntrySettings = {
	/** Longest time for a request's headers, in milliseconds. */
	readonly headersTimeoutMs: number;
	/** Longest time for a whole model request's or claimed call's body, in milliseconds. */
	readonly bodyTimeoutMs: number;
	readonly maxHeaderBytes: number;
	/** Callers' connections at a time; undefined for what the machine allows. */
	readonly maxConnections?: number | undefined;
	/** Bytes of bodies read whole that are held at a time; undefined for what the machine allows. */
	readonly maxBufferedBytes?: number | undefined;
};

/** What the machine has for the process. */
export type MachineSettings = {
	readonly memoryMegabytes: number;
	readonly descriptors: number;
};

/** The defaults of `[entry]`. */
export const defaultEntrySettings: EntrySettings = entry.parse(undefined);

/** The defaults of `[machine]`. */
export const defaultMachineSettings: MachineSettings = machine.parse(undefined);

/** Checked settings of a daemon. */
export type Settings = {
	readonly id: InstanceId;
	readonly dataCentre: DataCentreId;
	readonly listen: {readonly callers: string; readonly peers: string};
	readonly secretFile: string;
	readonly instances: readonly InstanceEntry[];
	readonly storage?: {readonly folder: string} | undefined;
	readonly platform?: {readonly list: string} | undefined;
	readonly entry?: EntrySettings | undefined;
	readonly machine?: MachineSettings | undefined;
	/** Where spans go by OTLP over HTTP; no tracing without. */
	readonly tracing?: {readonly endpoint: string} | undefined;
	/** Where metrics go by StatsD over UDP; no metrics without. */
	readonly metrics?: {readonly host: string; readonly port: number} | undefined;
	/** Timings of this instance's planned stop, in milliseconds. */
	readonly stop: {readonly readinessDelayMs: number; readonly quorumWaitMs: number; readonly withinMs: number};
};

/** One fault of a settings file; the shape is the catalogue's. */
export type SettingsFault = CatalogueFault;

const checkInstances: TomlCheck = table => findDuplicates(collectStrings(table, ['instances', '*', 'id']));

const checkAddresses: TomlCheck = table => [
	...findDuplicates(collectStrings(table, ['instances', '*', 'peers'])),
	...findDuplicates([...collectStrings(table, ['listen', 'peers']), ...collectStrings(table, ['listen', 'callers'])]),
];

/** This instance must be listed, in its data centre, under the address that its peer port listens on. */
const checkSelf: TomlCheck = table => {
	const [self] = collectStrings(table, ['id']);
	if (self === undefined) {
		return [];
	}

	const listed = collectStrings(table, ['instances', '*', 'id']).find(({value}) => value === self.value);
	if (listed === undefined) {
		return [{...self, problem: 'is not listed in [[instances]]'}];
	}

	const index = String(listed.path[1]);
	return [['listen', 'peers'], ['dataCentre']].flatMap(own => {
		const [wanted] = collectStrings(table, own);
		const [found] = collectStrings(table, ['instances', index, own.at(-1)!]);
		return wanted === undefined || found === undefined || wanted.value === found.value
			? []
			: [{...found, problem: `differs from ${own.join('.')} ("${wanted.value}")`}];
	});
};

/**
 * Parses and checks settings as a whole.
 *
 * @example
 * const result = parseSettings(await readFile(file, 'utf8'));
 */
export const parseSettings = (text: string): Result<Settings, readonly SettingsFault[]> => checkToml(schema, text, [checkInstances, checkAddresses, checkSelf])
	.map(data => data as unknown as Settings);
