/** Wires the parts of an entry instance that finds everything else through control instances. */
import {createServer} from 'node:http';
import type {Server} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	createSeededRandom, digestServerList, ForecastPolicy, hashText, StaticShareMap, toId,
} from '@baobabpier/core';
import type {
	DataCentreId, FencingToken, ForecastOptions, InstanceId, ListedServer, ModelService, RoutingDocument, RoutingTable, WindowedRetryBudgetSettings, ServiceName, ShareMap, EngineId,
} from '@baobabpier/core';
import {listenOn} from '../listen.js';
import {createLog} from '../log.js';
import {monotonicClock} from '../monotonic-clock.js';
import type {EngineEstimates} from '../settings/engine-estimates.js';
import {PlaceClient} from '../pools/place-client.js';
import {PoolHost} from '../pools/pool-host.js';
import {Peers} from '../rpc/peers.js';
import {CallerListener} from './caller-listener.js';
import {ControlWatch, isListStale} from './control-watch.js';
import {FleetView} from './fleet-view.js';
import {GatewayMetrics, serveMetrics} from './gateway-metrics.js';
import {ListReader} from './list-reader.js';
import {
	createModelServices, createPoolCatalogue, leavingEngines, pieceTokens, poolDataCentre,
} from './model-services.js';
import {Places} from './places.js';
import {PlainRoute} from './plain-route.js';
import {ServerTransport} from './server-transport.js';
import {SecondTries} from './second-tries.js';
import {StartGate} from './start-gate.js';
import {StreamRoute} from './stream-route.js';
import type {GatewayDialect} from './types.js';

const log = createLog('gateway');
/** How often the list is read directly while no control instance sends one, in milliseconds. */
const directListMs = 1500;
/** How long the instance serves on after it said that it is not ready: the balancer checks once a second and wants two misses. */
const readinessDelayMs = 2600;
/** Time kept at the end of a stop for closing, in milliseconds: closing takes some tens, also on a slow machine. */
const closingMs = 350;
const drainCheckMs = 25;
/** Part of a server's connections that the entry instances use together. */
const usedConnections = 0.8;
const minConnections = 2;
/** Connections to an address that no service lists. */
const otherConnections = 4;
/** Leases of the places that this instance gives itself. */
export const placementLeaseTimings = {leaseMs: 4000, orphanTimeoutMs: 6000} as const;
/** What the pools' forecasts begin with. */
export const forecastOptions = ({prefill, direct, calls}: EngineEstimates): ForecastOptions => ({
	links: 'ample', prefill, direct, memory: {pieceTokens, expectedOutputFraction: calls.outputPart},
});

/** Settings of an entry instance. */
export type GatewaySettings = {
	readonly id: InstanceId;
	readonly dataCentre: DataCentreId;
	/** Addresses to listen on. */
	readonly listen: {readonly callers: string; readonly readiness: string; readonly metrics: string};
	/** Peer addresses of control instances to begin with. */
	readonly seeds: readonly InstanceId[];
	/** Address of the platform's list. */
	readonly list: string;
	/** Secret that peers share. */
	readonly secret: string;
	readonly secondTries: WindowedRetryBudgetSettings;
	/** What is expected of engines until calls teach it. */
	readonly estimates: EngineEstimates;
	/** Whether the deployment starts for the first time. */
	readonly isFirstStart: boolean;
	/** Time from a stop's signal to the end of the process at the latest, in milliseconds. */
	readonly stopMs: number;
};

/** A running entry instance. */
export type Gateway = {
	/** Takes changed settings into force; only the seeds may change. */
	reload(settings: GatewaySettings): void;
	/** Drains and closes. A second call joins the first. */
	stop(): Promise<void>;
};

const openReadiness = async (address: string, isReady: () => boolean): Promise<Server> => {
	const server = createServer((_req, res) => {
		res.writeHead(isReady() ? 200 : 503, {'content-length': 0});
		res.end();
	});
	await listenOn(server, address);
	return server;
};

/**
 * Starts an entry instance.
 *
 * @throws Error when an address can't be listened on.
 * @example
 * const gateway = await startGateway(settings, dialect);
 * process.on('SIGTERM', () => void gateway.stop());
 */
export const startGateway = async (first: GatewaySettings, dialect: GatewayDialect): Promise<Gateway> => {
	let settings = first;
	let table: RoutingTable | undefined;
	let services = new Map<ServiceName, ModelService>();
	let stopping: Promise<void> | undefined;
	const clock = monotonicClock;
	const random = createSeededRandom(hashText(`${first.id}/${Date.now()}`));
	const peers = new Peers([], first.secret, id => id);
	const fleet = new FleetView(clock);
	const metrics = new GatewayMetrics();
	const gate = new StartGate(clock);
	const connectionsTo = (address: string): number => {
		const service = table?.services.get(fleet.servers.find(server => server.address === address)?.service ?? toId<ServiceName>(''));
		return service === undefined ? otherConnections : Math.max(minConnections, Math.floor((service.maxConnections * usedConnections) / watch.entryInstanceCount));
	};

	const transport = new ServerTransport(connectionsTo);
	const alone = new PoolHost({
		self: first.id,
		clock,
		shares: new StaticShareMap(first.id, [{id: first.id, dataCentre: poolDataCentre}]),
		createPolicy: targets => new ForecastPolicy(targets, forecastOptions(first.estimates)),
		engines: undefined,
		timings: {leaseMs: Number.POSITIVE_INFINITY, orphanTimeoutMs: Number.POSITIVE_INFINITY},
	});
	const applyServers = (): void => {
		if (table === undefined) {
			return;
		}

		const models = createModelServices(table, fleet.servers);
		services = new Map(models.map(service => [service.name, service]));
		alone.applyCatalogue(createPoolCatalogue(models, table.version));
		alone.setLeaving(leavingEngines(fleet.servers));
	};

	const openGate = (): void => {
		if (table !== undefined && fleet.isInformed) {
			gate.open();
		}
	};

	const takeList = (servers: readonly ListedServer[]): void => {
		fleet.replace(servers);
		applyServers();
		openGate();
	};

	const takeRouting = (document: RoutingDocument): boolean => {
		const decoded = dialect.routing.decode(document.text);
		if (decoded.err) {
			log('A routing configuration can\'t be read.', {version: document.version, fault: decoded.val[0]?.problem, field: decoded.val[0]?.field});
			return false;
		}

		table = decoded.val;
		callers.apply(table);
		applyServers();
		openGate();
		return true;
	};

	const watch: ControlWatch = new ControlWatch({
		self: first.id, dataCentre: first.dataCentre, seeds: () => settings.seeds, peers, clock, onRouting: takeRouting, onList: takeList, onLeader() {
			places.ownerChanged();
		},
	});
	const list = new ListReader({
		address: first.list, dialect: dialect.list, transport, clock, pauseMs: directListMs, isWanted: () => isListStale(watch.listAgeMs), onList(servers) {
			watch.recordList(digestServerList(servers));
			takeList(servers);
		},
	});
	const shares: ShareMap = {
		find: id => watch.leader === undefined
			? undefined
			: {
				...id, holder: watch.leader, fencing: toId<FencingToken>(1), until: undefined,
			},
		holds: () => false,
	};
	const client = new PlaceClient({
		self: first.id, dataCentre: poolDataCentre, shares, peers, clock, leaving: () => new Set([...leavingEngines(fleet.servers), ...fleet.servers.filter(({id}) => fleet.isUnreachable(id)).map(({id}) => toId<EngineId>(id))]),
	});
	const places: Places = new Places({
		self: first.id,
		clock,
		peers,
		client,
		alone,
		owner: () => watch.leader,
		modelService: name => services.get(name),
		outputPart: first.estimates.calls.outputPart,
		tokensPerEvent: name => table?.services.get(name)?.engines?.tokensPerEvent,
		usableEngines: service => new Set(fleet.usable(service).filter(({id}) => !fleet.isUnreachable(id)).map(({id}) => toId<EngineId>(id))),
	});
	const tries = new SecondTries(first.secondTries, clock, first.isFirstStart, () => watch.entryInstanceCount);
	const callers: CallerListener = new CallerListener({
		clock,
		random,
		dialect: dialect.caller,
		plain: new PlainRoute({
			dataCentre: first.dataCentre, fleet, transport, dialect: dialect.server, tries, clock, random,
		}),
		streams: new StreamRoute({
			fleet, transport, dialect: dialect.server, tries, places, clock, random,
		}),
		metrics,
		gate,
	});
	const isReady = (): boolean => table !== undefined && fleet.isInformed && stopping === undefined;

	metrics.registerGauge('calls_in_progress', 'Calls in progress', () => callers.inProgress);
	metrics.registerGauge('routing_version', 'Version of the routing configuration in force', () => table?.version ?? 0);
	metrics.registerGauge('list_age_seconds', 'Age of the list of servers', () => watch.listAgeMs / 1000);
	const readiness = await openReadiness(first.listen.readiness, isReady);
	await callers.listen(first.listen.callers);
	const metricsPort = await serveMetrics(metrics.registry, first.listen.metrics);
	alone.start();
	client.start();
	watch.start();
	list.start();
	log('The entry instance is up.', {
		id: first.id, dataCentre: first.dataCentre, callers: first.listen.callers, seeds: first.seeds.join(' '),
	});

	const close = async (): Promise<void> => {
		callers.destroy();
		places.stop();
		client.stop();
		alone.stop();
		watch.stop();
		list.stop();
		readiness.closeAllConnections();
		readiness.close();
		metricsPort.closeAllConnections();
		metricsPort.close();
		await Promise.all([transport.close(), peers.close()]);
		log('The entry instance stopped.');
	};

	const drain = async (): Promise<void> => {
		const endsAt = clock.now() + settings.stopMs - closingMs;
		log('A stop begins.', {inProgress: callers.inProgress, withinMs: settings.stopMs});
		callers.startClosing();
		await sleep(readinessDelayMs);
		callers.stopAccepting();
		while (callers.inProgress > 0 && clock.now() < endsAt) {
			// eslint-disable-next-line no-await-in-loop
			await sleep(drainCheckMs);
		}

		log('The drain is over.', {inProgress: callers.inProgress});
		await close();
	};

	return {
		reload(next) {
			settings = next;
			log('Settings were read again.', {seeds: next.seeds.join(' ')});
		},
		async stop() {
			stopping ??= drain();
			await stopping;
		},
	};
};
