/** Wires the parts of a control instance: its replica, the operators' configuration, the server list and the engine pools that it owns while it leads. */
import {
	countPieces, createSeededRandom, defaultResourceLimits, ForecastPolicy, hashText, mergeServerLists, resourceLimits, toId,
} from '@baobabpier/core';
import type {
	DataCentreId, EngineId, InstanceId, ListedServer, MachineResources, QuotaTolerance, RoutingDocument, RoutingTable, RoutingReplaceResult, Team,
} from '@baobabpier/core';
import {ReplicatedControlLog} from '../control/replicated-control-log.js';
import {AvailabilityGate} from '../gateway/availability-gate.js';
import {GatewayMetrics, serveMetrics} from '../gateway/gateway-metrics.js';
import {forecastOptions, placementLeaseTimings} from '../gateway/gateway.js';
import {ServerListPoller} from '../gateway/server-list-poller.js';
import {
	createModelServices, createPoolCatalogue, leavingEngines, piecesOfEngine, pieceTokens,
} from '../gateway/model-services.js';
import {clientConnections} from '../transport/client-connections.js';
import {incomingBodies} from '../transport/incoming-bodies.js';
import {ServerTransport} from '../transport/server-transport.js';
import type {ListDialect, RoutingCodec} from '../gateway/types.js';
import {defaultPortLimits, openPort} from '../listen.js';
import {createLog} from '../log.js';
import {monotonicClock} from '../monotonic-clock.js';
import {PoolHost} from '../pools/pool-host.js';
import {Peers} from '../rpc/peers.js';
import {RpcServer} from '../rpc/rpc-server.js';
import type {EngineEstimates} from '../settings/engine-estimates.js';
import {LeaderQuotas} from '../teams/leader-quotas.js';
import {LeaderRateLimits} from '../server-rate-limits/leader-rate-limits.js';
import {OriginHost} from '../streams/origin-host.js';
import {EngineReports} from './engine-reports.js';
import {EngineLiveness} from './engine-liveness.js';
import {LearnedEstimatesRecorder} from './learned-estimates-recorder.js';
import {LeaderShares} from './leader-shares.js';
import {QuarantineTask} from './quarantine-task.js';
import {RoleTask} from './role-task.js';
import type {OrderDialect} from './role-task.js';
import {WatchServer} from './watch-server.js';

const log = createLog('control-node');
/** Interval between reads of the server list, in milliseconds: a leaving server must be known within seconds, and the platform charges for reads. */
const listIntervalMs = 700;
/** Number of connections to the platform's list, and to each engine for reports and orders. */
const serverConnections = 2;
const leadCheckIntervalMs = 100;

/** Settings of a control instance. */
export type ControlNodeSettings = {
	/** Its peer address, which identifies an instance that no list names. */
	readonly id: InstanceId;
	readonly dataCentre: DataCentreId;
	readonly listen: {readonly peers: string; readonly metrics: string};
	readonly seeds: readonly InstanceId[];
	/** Whether the deployment starts for the first time, on empty disks. */
	readonly isFirstStart: boolean;
	/** Voters of the control log. */
	readonly voters: number;
	readonly folder: string;
	readonly list: string;
	readonly secret: string;
	/** Engine estimates that are used until measurements replace them. */
	readonly estimates: EngineEstimates;
	/** Memory and descriptors of the machine; undefined where they are not known. */
	readonly resources?: MachineResources | undefined;
	/** How far requests of a team may exceed its quota over a window; without it an account holds the burst. */
	readonly quotaTolerance?: QuotaTolerance | undefined;
};

/** All translations that a platform adapter provides to a control instance. */
export type ControlNodeDialect = {
	readonly list: ListDialect;
	readonly routing: RoutingCodec;
	readonly orders: OrderDialect;
};

/** A running control instance. */
export type ControlNode = {
	/** Accepts a routing configuration durably. Throws `ControlUnavailableError`. */
	replaceRouting(document: RoutingDocument): Promise<RoutingReplaceResult>;
	/** The newest routing configuration, confirmed by a majority. Throws `ControlUnavailableError`. */
	readRouting(): Promise<RoutingDocument | undefined>;
	reload(settings: ControlNodeSettings): void;
	stop(): Promise<void>;
};

/** Memory for request bodies on a small machine, in bytes: a configuration may have 16 MiB. */
const minBodyBytes = 17 * 1024 * 1024;
/** One array, so that the quotas see no change where there are none. */
const noTeams: readonly Team[] = [];

/** Figures of the quarantine that are exposed as metrics, since the start of the instance. */
const quarantineCounters = [
	['crashes', 'Confirmed engine crashes'], ['trials', 'Requests that tried suspected segments'], ['convictions', 'Segment sets quarantined for crashes'], ['lifted', 'Quarantines lifted'],
] as const;

/** The decode engines that hold more than the one with the most free memory. */
const busyEngines = (pools: ReturnType<PoolHost['status']>): readonly EngineId[] => pools.flatMap(({engines}) => {
	const usable = engines.filter(({role, leaving}) => role === 'decode' && !leaving);
	const mostFree = Math.max(...usable.map(({freePieces}) => freePieces));
	return usable.filter(({freePieces}) => freePieces < mostFree).map(({id}) => id);
});

/**
 * Starts a control instance.
 *
 * @throws Error when an address can't be listened on.
 * @example
 * const node = await startControlNode(settings, dialect);
 * await node.replaceRouting({version, text});
 */
export const startControlNode = async (first: ControlNodeSettings, dialect: ControlNodeDialect): Promise<ControlNode> => {
	let settings = first;
	let servers: readonly ListedServer[] = [];
	let decoded: {readonly document: RoutingDocument; readonly table: RoutingTable | undefined} | undefined;
	const clock = monotonicClock;
	const {calls} = first.estimates;
	const random = createSeededRandom(hashText(`${first.id}/${Date.now()}`));
	const peers = new Peers([], first.secret, id => id);
	const rpc = new RpcServer(first.secret);
	const metrics = new GatewayMetrics();
	const self = {
		id: first.id, dataCentre: first.dataCentre, peers: first.listen.peers, replica: true,
	};
	const control = new ReplicatedControlLog({
		self,
		instances: [self],
		folder: first.folder,
		peers,
		clock,
		random,
		founders: first.isFirstStart ? first.seeds : [],
		discovered: () => settings.seeds,
		voters: first.voters,
	});
	const shares = new LeaderShares(first.id, control);
	const limits: LeaderRateLimits = new LeaderRateLimits({
		self: first.id, clock, leadingTerm: () => isCertainToLead() ? control.leadership?.term : undefined, onChange() {
			watchServer.wake();
		}, countPermit(result, permitClass) {
			metrics.countPermit(result, permitClass);
		},
	});
	const availability = new AvailabilityGate({
		clock,
		dialect: dialect.orders,
		limits,
		count(event, kind) {
			metrics.countAvailability(event, kind);
		},
		onChange() {
			applyPools();
		},
	});
	const transport = new ServerTransport({
		// Engines and the platform's list return no id with these calls
		maxConnectionsTo: () => serverConnections, readResponseId: () => undefined, onForeignResponse(kind, moment) {
			metrics.countForeignResponse(kind, moment);
		}, gate: availability,
	});
	const reports = new EngineReports({clock, transport, dialect: dialect.orders});
	const pools = new PoolHost({
		self: first.id,
		clock,
		shares,
		createPolicy: (targets, service) => new ForecastPolicy(targets, {...forecastOptions(first.estimates), learned: control.state.learnedEstimates(service)}),
		engines: reports,
		admission: limits,
		mayGrant: () => shares.isSettled(clock.now()) || control.leadership?.role !== 'leader',
		onPlaced(service, promptTokens, version) {
			roles.recordGrant(service, promptTokens, version);
		},
		timings: placementLeaseTimings,
	});
	const list = new ServerListPoller({
		address: first.list, dialect: dialect.list, transport, clock, intervalMs: listIntervalMs, shouldPoll: () => true, onList(reading) {
			servers = reading.isWhole ? reading.servers : mergeServerLists(servers, reading.servers);
			const ids = new Set(servers.map(({id}) => id));
			const engines = new Set(servers.map(({id}) => toId<EngineId>(id)));
			availability.retain(ids);
			reports.retain(engines);
			liveness.retain(engines);
			if (reading.isWhole) {
				watchServer.setList(servers);
			}

			applyPools();
		},
	});
	const roles: RoleTask = new RoleTask({
		self: first.id,
		clock,
		transport,
		dialect: dialect.orders,
		servers: () => servers,
		pools: () => pools.status(),
		// Roles are planned for all engines of a service, so not before a whole list is known
		fencing: () => list.ageMs !== undefined && isCertainToLead() ? shares.fencing : undefined,
		piecesOf(name) {
			const service = tableInForce()?.services.get(name);
			return service === undefined ? undefined : piecesOfEngine(service);
		},
		prefillTokensPerMs: service => pools.prefillTokensPerMs(service) ?? first.estimates.prefill.tokensPerMs,
		expectedMix: {
			promptTokens: calls.promptTokens, pieces: countPieces(calls.promptTokens + calls.outputTokens, pieceTokens), decodeMs: calls.streamMs,
		},
		isFirstLead: () => first.isFirstStart && shares.fencing === 1,
		onChanging() {
			applyPools();
		},
	});
	const liveness = new EngineLiveness({transport, dialect: dialect.orders});
	const isCertainToLead = (): boolean => shares.isSettled(clock.now()) && control.position.hearsQuorum;
	const quarantine: QuarantineTask = new QuarantineTask({
		self: first.id,
		control,
		clock,
		isLeading: isCertainToLead,
		checkEngine: async (engine, address, since) => liveness.check(engine, address, since),
		busyEngines: () => busyEngines(pools.status()),
		onSuspects() {
			watchServer.wake();
		},
	});
	const quotas = new LeaderQuotas({
		clock, leadingTerm: () => isCertainToLead() ? control.leadership?.term : undefined, teams: () => tableInForce()?.teams ?? noTeams, tolerance: first.quotaTolerance, countDecision(result) {
			metrics.countQuota(result);
		},
	});
	const origins = new OriginHost(clock);
	const watchServer: WatchServer = new WatchServer({
		dataCentre: first.dataCentre, control, clock, listAgeMs: () => list.ageMs, hasTeams: () => tableInForce()?.teams !== undefined, suspects: () => quarantine.suspects, limits: () => limits.snapshot,
	});
	const tableInForce = (): RoutingTable | undefined => {
		const {current} = control.state.routing;
		if (current !== undefined && decoded?.document !== current) {
			const result = dialect.routing.decode(current.text);
			decoded = {document: current, table: result.ok ? result.val : undefined};
		}

		return decoded?.table;
	};

	const applyPools = (): void => {
		const table = tableInForce();
		if (table !== undefined) {
			pools.applyCatalogue(createPoolCatalogue(createModelServices(table, servers), table.version));
			pools.setLeaving(new Set([...leavingEngines(servers), ...roles.changing, ...[...availability.unavailable].map(id => toId<EngineId>(id))]));
		}
	};

	const clientLimits = first.resources === undefined ? defaultResourceLimits : resourceLimits(first.resources);
	incomingBodies.setMaxBytes(Math.max(minBodyBytes, clientLimits.bodyBytes));
	clientConnections.setMaxConnections(clientLimits.connections);
	const peerPort = await openPort(rpc.app, first.listen.peers, {...defaultPortLimits, connections: clientLimits.ports.partners});
	const metricsPort = await serveMetrics(metrics.registry, first.listen.metrics, clientLimits.ports.scrapers);
	metrics.registerGauge('routing_version', 'Version of the routing configuration in force', () => control.state.routing.current?.version ?? 0);
	metrics.registerGauge('control_term', 'Term of the control log', () => control.status.term ?? 0);
	metrics.registerGauge('control_leads', 'Whether this instance leads the control log', () => control.status.role === 'leader' ? 1 : 0);
	metrics.registerGauge('control_hears_majority', 'Whether this instance is in contact with a majority of the voters, directly or through the leader', () => control.position.hearsQuorum ? 1 : 0);
	metrics.registerGauge('control_votes', 'Whether this instance is a voter of the control log', () => control.status.members.some(({replica, voter}) => voter && replica === control.position.replica) ? 1 : 0);
	metrics.registerGauge('control_members', 'Voters and learners of the control log, as this instance knows them', () => control.status.members.length);
	metrics.registerGauge('storage_failed_seconds', 'How long the storage of the replica has been failed; 0 while it runs', () => (control.status.failedForMs ?? 0) / 1000);
	metrics.registerGauge('storage_reopenings', 'How often a failed storage was opened again', () => control.status.reopenings);
	metrics.registerGauge('stream_origins', 'Streams whose software version entry instances have recorded here', () => origins.size);
	metrics.registerGauge('entries', 'Entry instances that follow this instance', () => watchServer.entries);
	metrics.registerGauge('list_age_seconds', 'Age of the newest whole list of servers that this instance has read', () => (list.ageMs ?? Number.POSITIVE_INFINITY) / 1000);
	metrics.registerListPoller(list);
	metrics.registerGauge('servers_leaving', 'Servers that say that they leave', () => availability.leavingCount);
	metrics.registerGauge('servers_held_back', 'Servers that asked for time which is not over', () => availability.heldBackCount);
	metrics.registerServerGauge('server_rate_limit', 'Limits that servers name, in requests a second; only while this instance leads', () => limits.inForce.map(({server, requestsPerSecond}) => ({server, value: requestsPerSecond})));
	metrics.registerGauge('quarantined_sets', 'Prompt segment sets in quarantine', () => control.state.quarantine.entries.length);
	metrics.registerGauge('suspected_sets', 'Prompt segment sets under suspicion at the leader', () => quarantine.suspects?.sets.length ?? 0);
	metrics.registerGauge('quota_accounts', 'Teams with a quota that this instance decides on', () => quotas.size);
	metrics.registerGauge('trials_waiting', 'Requests that wait for a trial of suspected segments', () => quarantine.waiting);
	for (const [name, help] of quarantineCounters) {
		metrics.registerGauge(`quarantine_${name}`, help, () => quarantine.counts[name]);
	}

	origins.start(rpc);
	watchServer.start(rpc);
	quarantine.start(rpc);
	limits.start(rpc);
	quotas.start(rpc);
	pools.start(rpc);
	list.start();
	roles.start();
	control.registerListener(applyPools);
	const leadTimer = setInterval(() => {
		if (shares.check(clock.now())) {
			log('The lead of the engine pools changed.', {leads: control.status.role === 'leader', term: control.status.term, leader: control.position.leader});
			applyPools();
		}
	}, leadCheckIntervalMs);
	const recorder = new LearnedEstimatesRecorder({control, pools, isLeading: isCertainToLead});
	recorder.start();
	void control.start(rpc);
	log('The control instance is up.', {
		id: first.id, dataCentre: first.dataCentre, seeds: first.seeds.join(' '), firstStart: first.isFirstStart,
	});
	let stopping: Promise<void> | undefined;

	const close = async (): Promise<void> => {
		log('A stop begins.', {leads: control.status.role === 'leader'});
		clearInterval(leadTimer);
		await control.stop();
		pools.stop();
		roles.stop();
		recorder.stop();
		quarantine.stop();
		availability.stop();
		list.stop();
		watchServer.stop();
		peerPort.closeAllConnections();
		peerPort.close();
		metricsPort.closeAllConnections();
		metricsPort.close();
		await Promise.all([transport.close(), peers.close()]);
		log('The control instance stopped.');
	};

	return {
		async replaceRouting(document) {
			return control.submit<'routing.replace'>({kind: 'routing.replace', document});
		},
		async readRouting() {
			await control.barrier();
			return control.state.routing.current;
		},
		reload(next) {
			settings = next;
			log('Settings were read again.', {seeds: next.seeds.join(' ')});
		},
		async stop() {
			stopping ??= close();
			await stopping;
		},
	};
};
