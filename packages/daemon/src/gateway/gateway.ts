/** Starts an entry instance, which discovers routing, servers and placement owners through control instances. */
import {createServer} from 'node:http';
import type {Server} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	addMs, createSeededRandom, defaultResourceLimits, ForecastPolicy, hashText, HedgingPolicy, mergeServerLists, resourceLimits, StaticShareMap, toId,
} from '@baobabpier/core';
import type {
	DataCentreId, FencingToken, ForecastOptions, InstanceId, ListedServer, MachineResources, ModelService, PortBounds, RoutingDocument, RoutingTable, QuotaTolerance, WindowedRetryBudgetSettings, ServiceName, ShareMap, EngineId,
} from '@baobabpier/core';
import {listenOn} from '../listen.js';
import {createLog} from '../log.js';
import {monotonicClock} from '../monotonic-clock.js';
import type {EngineEstimates} from '../settings/engine-estimates.js';
import {PlacementClient} from '../pools/placement-client.js';
import {PoolHost} from '../pools/pool-host.js';
import {TeamQuotas} from '../teams/team-quotas.js';
import {clientConnections} from '../transport/client-connections.js';
import {incomingBodies} from '../transport/incoming-bodies.js';
import {ServerTransport} from '../transport/server-transport.js';
import {Peers} from '../rpc/peers.js';
import {ServerConnections} from '../server-connections.js';
import {RemoteRateLimits} from '../server-rate-limits/remote-rate-limits.js';
import {PathWatch} from '../relay/path-watch.js';
import {maxCallsPerPartner, RelayClient} from '../relay/relay-client.js';
import {OriginDirectory} from '../streams/origin-directory.js';
import {AvailabilityGate} from './availability-gate.js';
import {CallerListener} from './caller-listener.js';
import {ControlWatch, isListStale} from './control-watch.js';
import {CrashGuard} from './crash-guard.js';
import {ConnectionLimits} from './connection-limits.js';
import {FleetView} from './fleet-view.js';
import {GatewayMetrics, serveMetrics} from './gateway-metrics.js';
import {ServerListPoller} from './server-list-poller.js';
import {
	createModelServices, createPoolCatalogue, leavingEngines, pieceTokens, poolDataCentre,
} from './model-services.js';
import {StreamPlacements} from './stream-placements.js';
import {PlainRoute} from './plain-route.js';
import {RetryBudgets} from './retry-budgets.js';
import {StartupGate} from './startup-gate.js';
import {StreamRoute} from './stream-route.js';
import type {GatewayDialect} from './types.js';

const log = createLog('gateway');
/** Interval between direct reads of the platform's server list while no control instance sends a fresh one, in milliseconds. */
const directListIntervalMs = 1500;
/**
 * Time during which the instance keeps serving after its readiness check fails, in milliseconds: the load balancer
 * checks once a second and removes an instance after two failures.
 */
const notReadyDelayMs = 2600;
/** Part of the stop timeout reserved for closing, in milliseconds: closing takes some tens of milliseconds, and several times that on a busy machine. */
const closeReserveMs = 500;
/** Maximum fraction of the stop timeout that is reserved for closing. */
const maxCloseReserveFraction = 1 / 8;
/** Fraction of that reserve in which the last responses are sent at the latest. */
const sendReserveFraction = 0.6;
/** Fraction of that reserve in which owners of engine pools get the last releases. */
const flushReserveFraction = 0.2;
const drainPollIntervalMs = 25;
/** Lease durations of placements, in milliseconds; the control instance uses them for its pools. */
export const placementLeaseTimings = {leaseMs: 4000, orphanTimeoutMs: 6000} as const;
/** Timings of an entry instance's own pool: nobody else renews its placements, and no engine reports to it. */
export const localPoolTimings = {leaseMs: Number.POSITIVE_INFINITY, orphanTimeoutMs: Number.POSITIVE_INFINITY, releaseMemoryMs: 0} as const;
/** Initial options of the pools' forecasts, derived from the configured engine estimates. */
export const forecastOptions = ({prefill, direct, calls}: EngineEstimates): ForecastOptions => ({
	links: 'ample', prefill, direct, memory: {pieceTokens, expectedOutputFraction: calls.outputPart},
});

/** Settings of an entry instance. */
export type GatewaySettings = {
	readonly id: InstanceId;
	readonly dataCentre: DataCentreId;
	/** Addresses to listen on. */
	readonly listen: {readonly callers: string; readonly readiness: string; readonly metrics: string; readonly relays: string};
	/** Peer addresses of the control instances that are contacted first. */
	readonly seeds: readonly InstanceId[];
	/** Address of the platform's server list. */
	readonly list: string;
	/** Shared secret that authenticates peers. */
	readonly secret: string;
	readonly secondTries: WindowedRetryBudgetSettings;
	/** Memory and descriptors of the machine; undefined where they are not known. */
	readonly resources?: MachineResources | undefined;
	/** How far requests of a team may exceed its quota; without it no request of such a team is served while no leader decides. */
	readonly quotaTolerance?: QuotaTolerance | undefined;
	/** Engine speeds that are assumed until measurements replace them. */
	readonly estimates: EngineEstimates;
	/** Whether the deployment starts for the first time. */
	readonly isFirstStart: boolean;
	/** Maximum time between the stop signal and the exit of the process, in milliseconds. */
	readonly stopMs: number;
};

/** A running entry instance. */
export type Gateway = {
	/** Applies changed settings; only the seeds may change. */
	reload(settings: GatewaySettings): void;
	/** Drains and closes. Further calls return when the first one completes. */
	stop(): Promise<void>;
};

const startReadinessServer = async (address: string, isReady: () => boolean, bounds: PortBounds): Promise<Server> => {
	const {server} = new ServerConnections(createServer(), (_req, res) => {
		res.writeHead(isReady() ? 200 : 503, {'content-length': 0});
		res.end();
	}, bounds);
	await listenOn(server, address);
	return server;
};

/**
 * Starts an entry instance.
 *
 * @throws Error when the instance can't listen on one of its addresses.
 * @example
 * const gateway = await startGateway(settings, dialect);
 * process.on('SIGTERM', () => void gateway.stop());
 */
export const startGateway = async (initialSettings: GatewaySettings, dialect: GatewayDialect): Promise<Gateway> => {
	let settings = initialSettings;
	let table: RoutingTable | undefined;
	let services = new Map<ServiceName, ModelService>();
	let stopping: Promise<void> | undefined;
	const clock = monotonicClock;
	const random = createSeededRandom(hashText(`${initialSettings.id}/${Date.now()}`));
	const peers = new Peers([], initialSettings.secret, id => id);
	const metrics = new GatewayMetrics();
	const limits: RemoteRateLimits = new RemoteRateLimits({
		self: initialSettings.id, clock, peers, leader: () => controlWatch.leader, onChange() {
			availability.handleLimitChange();
		}, countPermit(result, permitClass) {
			metrics.countPermit(result, permitClass);
		},
	});
	const availability: AvailabilityGate = new AvailabilityGate({
		clock,
		dialect: dialect.server,
		limits,
		count(event, kind) {
			metrics.countAvailability(event, kind);
		},
		onChange() {
			applyUnavailable();
			places.handleAvailabilityChange();
		},
	});
	const fleet: FleetView = new FleetView(clock, availability, {
		isFirstStart: initialSettings.isFirstStart, isListFresh: () => !isListStale(controlWatch.listAgeMs), onUnreachable(id) {
			path.recordFailure(id);
		},
	});
	const path: PathWatch = new PathWatch({
		clock, random, servers: () => fleet.servers, onChange(isCut) {
			if (isCut) {
				// Idle connections may be dead as well
				for (const {address} of fleet.servers) {
					transport.discardConnections(address);
				}
			}
		},
	});
	const origins: OriginDirectory = new OriginDirectory({peers, clock, hosts: () => controlWatch.controls});
	/** Engines that leave by the list or their own word, those that asked for time, and those that have used up their limit. */
	const unavailableEngines = (): ReadonlySet<EngineId> => new Set([...leavingEngines(fleet.servers), ...[...availability.unavailable].filter(id => fleet.get(id)?.role !== undefined).map(id => toId<EngineId>(id))]);
	let appliedUnavailable = '';
	/** Plain servers change often while they have limits, and concern no pool. */
	const applyUnavailable = (): void => {
		const unavailable = unavailableEngines();
		const key = [...unavailable].toSorted().join(' ');
		if (key !== appliedUnavailable) {
			appliedUnavailable = key;
			localPool.setLeaving(unavailable);
		}
	};

	const gate = new StartupGate(clock);
	const connectionLimits = new ConnectionLimits();
	const connectionLimit = (address: string): number => {
		if (relay.isPartner(address)) {
			return maxCallsPerPartner;
		}

		return connectionLimits.maxTo(fleet.servers.find(server => server.address === address)?.service, controlWatch.entryInstanceCount);
	};

	const transport: ServerTransport = new ServerTransport({
		maxConnectionsTo: connectionLimit, readResponseId: headers => dialect.server.readResponseId(headers), onForeignResponse(kind, moment) {
			metrics.countForeignResponse(kind, moment);
		}, gate: path.watch(availability),
	});
	const localPool = new PoolHost({
		self: initialSettings.id,
		clock,
		shares: new StaticShareMap(initialSettings.id, [{id: initialSettings.id, dataCentre: poolDataCentre}]),
		createPolicy: targets => new ForecastPolicy(targets, forecastOptions(initialSettings.estimates)),
		engines: undefined,
		timings: localPoolTimings,
	});
	const applyServers = (): void => {
		if (table === undefined) {
			return;
		}

		const models = createModelServices(table, fleet.servers);
		services = new Map(models.map(service => [service.name, service]));
		localPool.applyCatalogue(createPoolCatalogue(models, table.version));
		localPool.setLeaving(unavailableEngines());
	};

	const openGateIfReady = (): void => {
		if (table !== undefined && fleet.hasList) {
			gate.open();
		}
	};

	const applyServerList = (servers: readonly ListedServer[]): void => {
		fleet.replace(servers);
		connectionLimits.retain(new Set(servers.map(({service}) => service)));
		applyServers();
		openGateIfReady();
	};

	const applyRouting = (document: RoutingDocument): boolean => {
		const decoded = dialect.routing.decode(document.text);
		if (decoded.err) {
			log('A routing configuration can\'t be decoded.', {version: document.version, fault: decoded.val[0]?.problem, field: decoded.val[0]?.field});
			return false;
		}

		table = decoded.val;
		quotas.retain(table.teams ?? []);
		connectionLimits.setServices(table.services);
		callerListener.apply(table);
		applyServers();
		openGateIfReady();
		return true;
	};

	const controlWatch: ControlWatch = new ControlWatch({
		self: initialSettings.id, dataCentre: initialSettings.dataCentre, seeds: () => settings.seeds, peers, clock, onRouting: applyRouting, onList: applyServerList, onLeader() {
			places.handleOwnerChange();
		},
		relay: () => ({
			address: initialSettings.listen.relays, dataCentre: initialSettings.dataCentre, knowsTeams: true, isTaking: isTakingRelays(),
		}),
		versions: () => ({quarantineRevision: guard.quarantineRevision, suspectsVersion: guard.suspectsVersion, limitsVersion: limits.version}),
		onLimits(snapshot) {
			limits.apply(snapshot);
		},
		onQuarantine({quarantine, suspects}) {
			if (quarantine !== undefined) {
				guard.applyQuarantine(quarantine);
			}

			if (suspects !== undefined) {
				guard.applySuspects(suspects);
			}
		},
	});
	const relay: RelayClient = new RelayClient({
		dataCentre: initialSettings.dataCentre, secret: initialSettings.secret, path, partners: () => controlWatch.partners, routingVersion: () => table?.version, transport, caller: dialect.caller, server: dialect.server, clock,
	});
	/** Whether this instance serves calls for others. */
	const isTakingRelays = (): boolean => !path.isCut && stopping === undefined && table !== undefined;
	const listPoller = new ServerListPoller({
		address: initialSettings.list, dialect: dialect.list, transport, clock, intervalMs: directListIntervalMs, shouldPoll: () => isListStale(controlWatch.listAgeMs), onList({servers, isWhole}) {
			if (isWhole) {
				controlWatch.recordList(servers);
				applyServerList(servers);
			} else {
				controlWatch.recordMergedList();
				applyServerList(mergeServerLists(fleet.servers, servers));
			}
		},
	});
	const shares: ShareMap = {
		find: id => controlWatch.leader === undefined
			? undefined
			: {
				...id, holder: controlWatch.leader, fencing: toId<FencingToken>(1), until: undefined,
			},
		holds: () => false,
	};
	const client = new PlacementClient({
		self: initialSettings.id, dataCentre: poolDataCentre, shares, peers, clock, leaving: () => new Set([...unavailableEngines(), ...fleet.servers.filter(({id}) => fleet.isUnreachable(id)).map(({id}) => toId<EngineId>(id))]),
	});
	const places: StreamPlacements = new StreamPlacements({
		self: initialSettings.id,
		clock,
		random,
		peers,
		client,
		localPool,
		owner: () => controlWatch.leader,
		modelService: name => services.get(name),
		outputPart: initialSettings.estimates.calls.outputPart,
		tokensPerEvent: name => table?.services.get(name)?.engines?.tokensPerEvent,
		unavailableForMs: service => fleet.unavailableForMs(service, 'decode'),
		usableEngines: service => new Set(fleet.usable(service).filter(({id}) => !fleet.isUnreachable(id)).map(({id}) => toId<EngineId>(id))),
	});
	const guard: CrashGuard = new CrashGuard({
		self: initialSettings.id, clock, peers, leader: () => controlWatch.leader,
	});
	const clientLimits = initialSettings.resources === undefined ? defaultResourceLimits : resourceLimits(initialSettings.resources);
	incomingBodies.setMaxBytes(clientLimits.bodyBytes);
	clientConnections.setMaxConnections(clientLimits.connections);
	const quotas = new TeamQuotas({
		self: initialSettings.id, clock, random, peers, leader: () => controlWatch.leader, instances: () => controlWatch.entryInstanceCount, isFirstStart: initialSettings.isFirstStart, tolerance: initialSettings.quotaTolerance, countResult(result) {
			metrics.countQuota(result);
		},
	});
	const retryBudgets = new RetryBudgets(initialSettings.secondTries, clock, initialSettings.isFirstStart, () => controlWatch.entryInstanceCount);
	const hedgingLimits = initialSettings.estimates.hedging;
	const hedging = hedgingLimits === undefined ? undefined : new HedgingPolicy(hedgingLimits, random);
	const callerListener: CallerListener = new CallerListener({
		clock,
		random,
		dialect: dialect.caller,
		plain: new PlainRoute({
			dataCentre: initialSettings.dataCentre, fleet, transport, dialect: dialect.server, retryBudgets, hedging, guard, path, clock, random,
		}),
		streams: new StreamRoute({
			fleet, transport, dialect: dialect.server, retryBudgets, places, guard, origins, path, relay, clock, random,
		}),
		connections: clientLimits.ports,
		metrics,
		quotas,
		gate,
		relay,
		relayPort: {secret: initialSettings.secret, isPathLost: async () => await path.settled() === 'cut'},
	});
	const isReady = (): boolean => table !== undefined && fleet.hasList && stopping === undefined && (!path.isCut || relay.hasPartners);

	metrics.registerGauge('calls_in_progress', 'Calls in progress', () => callerListener.inProgress);
	metrics.registerGauge('hedged_attempts', 'Hedged attempts of calls that may be repeated, since the start', () => hedging?.begun ?? 0);
	metrics.registerGauge('request_body_bytes', 'Memory of request bodies', () => incomingBodies.bytes);
	metrics.registerGauge('routing_version', 'Version of the routing configuration in force', () => table?.version ?? 0);
	metrics.registerGauge('list_age_seconds', 'Age of the list of servers', () => controlWatch.listAgeMs / 1000);
	metrics.registerListPoller(listPoller);
	metrics.registerGauge('servers_leaving', 'Servers that say that they leave', () => availability.leavingCount);
	metrics.registerGauge('servers_held_back', 'Servers that asked for time which is not over', () => availability.heldBackCount);
	metrics.registerServerGauge('server_rate_limit', 'Limits that servers name, in requests a second', () => limits.inForce);
	metrics.registerGauge('relayed_calls', 'Calls that other instances served for this one, since its start', () => relay.relayedCalls);
	metrics.registerGauge('relayed_calls_in_progress', 'Calls in progress that this instance serves for others', () => callerListener.relayedCalls);
	metrics.registerGauge('path_cut', 'Whether no server can be reached from here', () => path.isCut ? 1 : 0);
	metrics.registerGauge('stream_origins', 'Streams of this instance whose software version it knows', () => origins.size);
	metrics.registerGauge('quarantined_sets', 'Prompt segment sets in quarantine', () => guard.quarantined);
	metrics.registerGauge('quarantine_refusals', 'Calls refused for quarantined segments', () => guard.counts.refused);
	metrics.registerGauge('quarantine_trials', 'Calls that tried suspected segments', () => guard.counts.trials);
	metrics.registerGauge('quarantine_reports', 'Crash reports that a leader acknowledged', () => guard.counts.reports);
	const readinessServer = await startReadinessServer(initialSettings.listen.readiness, isReady, clientLimits.ports.balancer);
	await callerListener.listenForRelays(initialSettings.listen.relays);
	await callerListener.listen(initialSettings.listen.callers);
	const metricsServer = await serveMetrics(metrics.registry, initialSettings.listen.metrics, clientLimits.ports.scrapers);
	path.start();
	localPool.start();
	client.start();
	guard.start();
	controlWatch.start();
	listPoller.start();
	log('The entry instance is up.', {
		id: initialSettings.id, dataCentre: initialSettings.dataCentre, callers: initialSettings.listen.callers, seeds: initialSettings.seeds.join(' '),
	});

	const close = async (sendMs: number, flushMs: number): Promise<void> => {
		await callerListener.close(sendMs);
		places.stop();
		await client.stop(flushMs);
		guard.stop();
		origins.stop();
		path.stop();
		localPool.stop();
		controlWatch.stop();
		listPoller.stop();
		availability.stop();
		readinessServer.closeAllConnections();
		readinessServer.close();
		metricsServer.closeAllConnections();
		metricsServer.close();
		await Promise.all([transport.close(), peers.close()]);
		const {unfinishedCalls} = callerListener;
		const write = unfinishedCalls === '' ? log : log.warn;
		write('The entry instance stopped.', {...callerListener.drainEffects, unfinished: unfinishedCalls});
	};

	const drain = async (): Promise<void> => {
		const {stopMs} = settings;
		const reserveMs = Math.min(closeReserveMs, stopMs * maxCloseReserveFraction);
		const endsAt = addMs(clock.now(), stopMs - reserveMs);
		const sentBy = addMs(endsAt, reserveMs * sendReserveFraction);
		const knownAt = addMs(clock.now(), Math.min(notReadyDelayMs, stopMs - reserveMs));
		log('A stop begins.', {inProgress: callerListener.inProgress, withinMs: stopMs});
		callerListener.startClosing({knownAt, endsAt});
		while (clock.now() < knownAt || (!callerListener.isIdle && clock.now() < endsAt)) {
			// eslint-disable-next-line no-await-in-loop
			await sleep(drainPollIntervalMs);
		}

		log('The drain is over.', {inProgress: callerListener.inProgress});
		await close(Math.max(0, sentBy - clock.now()), reserveMs * flushReserveFraction);
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
