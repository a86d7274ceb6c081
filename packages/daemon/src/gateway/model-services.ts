/** Creates the model services for the engine pools from the routing configuration and the server list. */
import {toId} from '@baobabpier/core';
import type {
	CatalogueSnapshot, DataCentreId, EngineEntry, EngineId, ListedServer, ModelService, OwnerName, Revision, RoutedService, RoutingTable,
} from '@baobabpier/core';

/** Number of tokens in one piece of engine memory, the pools' unit of allocation; small compared with any prompt. */
export const pieceTokens = 16;
/** The engines of all data centres form one pool: transfers between data centres are short compared with a prefill. */
export const poolDataCentre: DataCentreId = toId<DataCentreId>('all');
/** Fraction of an engine's memory that is allocated: the rest covers the rounding up in the engine's own accounting. */
const allocatedMemoryFraction = 0.98;
/** Time from the arrival of the KV cache to the first event, in milliseconds. */
const firstEventMs = 150;
/** Maximum number of requests that wait for a placement at the same time. */
const maxQueueLength = 2000;

/** Returns the number of memory pieces of one engine of a service. */
export const piecesOfEngine = ({engines}: RoutedService): number => Math.floor(((engines?.memoryTokens ?? 0) * allocatedMemoryFraction) / pieceTokens);

const engineEntryOf = (server: ListedServer, service: RoutedService): EngineEntry => ({
	id: toId<EngineId>(server.id),
	address: server.address,
	dataCentre: poolDataCentre,
	role: server.role ?? 'decode',
	pieces: piecesOfEngine(service),
	fencesOrders: true,
	softwareVersion: server.softwareVersion,
});

/**
 * Creates the model services of a routing configuration with their listed engines.
 *
 * @example
 * createModelServices(table, fleet.servers); // One entry for each service with engines
 */
export const createModelServices = (table: RoutingTable, servers: readonly ListedServer[]): readonly ModelService[] =>
	[...table.services.values()].filter(({engines}) => engines !== undefined).map(service => ({
		kind: 'model',
		name: service.name,
		owner: toId<OwnerName>('operator'),
		class: 'patient',
		limits: {
			inFlight: maxQueueLength, requestsPerSecond: maxQueueLength, tokensPerSecond: Number.MAX_SAFE_INTEGER, queue: maxQueueLength, queueMs: table.limits.idleTimeoutMs, bodyBytes: table.limits.bodyBytes, totalMs: table.limits.idleTimeoutMs,
		},
		targets: {firstOutputMs: firstEventMs, betweenOutputsMs: firstEventMs},
		pieceTokens,
		engines: servers.filter(server => server.service === service.name).map(server => engineEntryOf(server, service)),
	}));

/** Creates a catalogue snapshot of the services, for the pool hosts. */
export const createPoolCatalogue = (services: readonly ModelService[], version: number): CatalogueSnapshot => ({
	revision: toId<Revision>(version), services: new Map(services.map(service => [service.name, service])), text: '',
});

/** Returns the engines that get no new work because they are leaving. */
export const leavingEngines = (servers: readonly ListedServer[]): ReadonlySet<EngineId> =>
	new Set(servers.filter(({leaving}) => leaving).map(({id}) => toId<EngineId>(id)));

