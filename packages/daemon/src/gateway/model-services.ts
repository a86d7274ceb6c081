/** Model services as the engine pools know them, made of the routing configuration and the list of servers. */
import {toId} from '@baobabpier/core';
import type {
	CatalogueSnapshot, DataCentreId, EngineEntry, EngineId, ListedServer, ModelService, OwnerName, Revision, RoutedService, RoutingTable,
} from '@baobabpier/core';

/** Tokens in one piece of engine memory as the pools count it, small against any prompt. */
export const pieceTokens = 16;
/** The engines of all data centres form one pool: moves between data centres are short against a prefill. */
export const poolDataCentre: DataCentreId = toId<DataCentreId>('all');
/** Part of an engine's memory that is given out: the rest covers what its own account rounds up. */
const usedMemoryPart = 0.98;
/** Time from the memory's arrival to the first event, in milliseconds. */
const firstEventMs = 150;
/** Requests that may wait for a place at once. */
const maxQueue = 2000;

/** Memory pieces of one engine of a service. */
export const piecesOfEngine = ({engines}: RoutedService): number => Math.floor(((engines?.memoryTokens ?? 0) * usedMemoryPart) / pieceTokens);

const engineOf = (server: ListedServer, service: RoutedService): EngineEntry => ({
	id: toId<EngineId>(server.id),
	address: server.address,
	dataCentre: poolDataCentre,
	role: server.role ?? 'decode',
	pieces: piecesOfEngine(service),
	fencesOrders: true,
});

/**
 * The model services of a routing configuration with the engines that are listed.
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
			inFlight: maxQueue, requestsPerSecond: maxQueue, tokensPerSecond: Number.MAX_SAFE_INTEGER, queue: maxQueue, queueMs: table.limits.idleTimeoutMs, bodyBytes: table.limits.bodyBytes, totalMs: table.limits.idleTimeoutMs,
		},
		targets: {firstOutputMs: firstEventMs, betweenOutputsMs: firstEventMs},
		pieceTokens,
		engines: servers.filter(server => server.service === service.name).map(server => engineOf(server, service)),
	}));

/** The services as a catalogue snapshot, for the pool hosts. */
export const createPoolCatalogue = (services: readonly ModelService[], version: number): CatalogueSnapshot => ({
	revision: toId<Revision>(version), services: new Map(services.map(service => [service.name, service])), text: '',
});

/** The engines that get no new work. */
export const leavingEngines = (servers: readonly ListedServer[]): ReadonlySet<EngineId> =>
	new Set(servers.filter(({leaving}) => leaving).map(({id}) => toId<EngineId>(id)));

