/** Parses a catalogue's TOML text into a snapshot, or reports every fault. */
import {z} from 'zod';
import {toId} from '../ids.js';
import type {Revision, ServiceName} from '../ids.js';
import type {Result} from '../result.js';
import {isServerAddress} from '../server-address.js';
import {
	checkToml, collectStrings, findDuplicates,
} from '../toml/check-toml.js';
import type {TomlCheck} from '../toml/check-toml.js';
import type {CatalogueFault, CatalogueSnapshot, Service} from './types.js';

const positive = z.number().int().positive();
const address = z.string().refine(isServerAddress, 'must be "IP:port"');
const name = z.string().regex(/^[a-z\d][\-a-z\d]*$/v, 'must be lower-case letters, digits and hyphens');
const call = z.string().regex(/^[A-Z]+ \/\S*$/v, 'must be "METHOD /path"');

const limits = z.strictObject({
	inFlight: positive.default(64),
	requestsPerSecond: positive.default(100),
	tokensPerSecond: positive.default(1_000_000),
	queue: positive.default(128),
	queueMs: positive.default(10_000),
	bodyBytes: positive.default(4 * 1024 * 1024),
	totalMs: positive.default(300_000),
}).prefault({});

const targets = z.strictObject({
	firstOutputMs: positive.default(1900),
	betweenOutputsMs: positive.default(30),
}).prefault({});

const engine = z.strictObject({
	id: name,
	address,
	dataCentre: name,
	role: z.enum(['prefill', 'decode']),
	pieces: positive,
	fencesOrders: z.boolean().default(true),
});

const backend = z.strictObject({id: name, address, dataCentre: name});

const commonFields = {owner: z.string().min(1), class: z.enum(['urgent', 'patient']), limits};

const service = z.discriminatedUnion('kind', [
	z.strictObject({
		kind: z.literal('model'), ...commonFields, targets, pieceTokens: positive.default(1024), engines: z.array(engine).min(1),
	}),
	z.strictObject({
		kind: z.literal('plain'), ...commonFields, idempotent: z.array(call).default([]), nonIdempotent: z.array(call).default([]), backends: z.array(backend).min(1),
	}),
]);

const catalogue = z.strictObject({services: z.record(name, service).default({})});

/** Ids and addresses must each be unique across engines and backend servers together. */
const collectServerValues = (table: unknown, field: string) => ['engines', 'backends'].flatMap(list => collectStrings(table, ['services', '*', list, '*', field]));

const checkIds: TomlCheck = table => findDuplicates(collectServerValues(table, 'id'));

const checkAddresses: TomlCheck = table => findDuplicates(collectServerValues(table, 'address'));

const checkCalls: TomlCheck = table => collectStrings(table, ['services', '*', 'nonIdempotent', '*'])
	.filter(({path, value}) => collectStrings(table, ['services', String(path[1]), 'idempotent', '*']).some(listed => listed.value === value))
	.map(({path, value}) => ({path, value, problem: 'is listed as idempotent too'}));

const toServices = (entries: z.output<typeof catalogue>['services']): Map<ServiceName, Service> => new Map(Object.entries(entries).map(([key, entry]) => [
	toId<ServiceName>(key), {...entry, name: toId<ServiceName>(key)} as unknown as Service,
]));

/**
 * Parses and validates a whole catalogue.
 *
 * @example
 * const result = parseCatalogue(text, toId<Revision>(3));
 * if (result.err) console.error(result.val);
 */
export const parseCatalogue = (text: string, revision: Revision): Result<CatalogueSnapshot, readonly CatalogueFault[]> => {
	const checked = checkToml(catalogue, text, [checkIds, checkAddresses, checkCalls]);
	return checked.map(({services}) => ({revision, services: toServices(services), text}));
};

/** The catalogue in force until the first one is accepted. */
export const emptyCatalogue: CatalogueSnapshot = {revision: toId<Revision>(0), services: new Map(), text: ''};
