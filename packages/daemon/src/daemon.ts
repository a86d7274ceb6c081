/** Wires the parts of one instance. */
import {randomUUID} from 'node:crypto';
import {readFile} from 'node:fs/promises';
import type {Server} from 'node:http';
import {
	CATALOGUE_APPLY,
	CATALOGUE_GET,
	CATALOGUE_HISTORY,
	ReplicatedCatalogueStore,
	ReplicatedClaimLedger,
	createSeededRandom,
	ForecastPolicy,
	hashText,
	LEDGER_LOOKUP,
	isCovered,
	STATUS,
	toId,
} from '@baobabpier/core';
import type {
	BackendId, EngineId, InstanceIncarnation, InstanceStatus,
} from '@baobabpier/core';
import {ReplicatedControlLog} from './control/replicated-control-log.js';
import {EngineCanceller} from './engine/engine-canceller.js';
import {EngineClients} from './engine/engine-clients.js';
import {EntryApp} from './entry/entry-app.js';
import {listChanges} from './entry/list-changes.js';
import {defaultPortLimits, openConnections, openPort} from './listen.js';
import {createLog} from './log.js';
import {monotonicClock} from './monotonic-clock.js';
import {ClaimCleaner} from './fleet/claim-cleaner.js';
import {DrainablePort} from './fleet/drainable-port.js';
import {Fleet} from './fleet/fleet.js';
import type {GaugeSources} from './observability/gauge-sampler.js';
import {noMetrics, StatsdMetrics} from './observability/metrics.js';
import {TracedLedger} from './observability/traced-ledger.js';
import {startTracing} from './observability/tracing.js';
import {InstanceStop} from './fleet/instance-stop.js';
import {ShareTask} from './fleet/share-task.js';
import {StopDriver} from './fleet/stop-driver.js';
import {LimitTask} from './limits/limit-task.js';
import {PlacementClient} from './pools/placement-client.js';
import {PoolHost} from './pools/pool-host.js';
import {abandonFormerClaims} from './requests/former-claims.js';
import {PlainCaller} from './requests/plain-call.js';
import {Peers} from './rpc/peers.js';
import {RpcServer} from './rpc/rpc-server.js';
import {clientLimitsOf} from './settings/client-limits.js';
import {defaultEntrySettings} from './settings/parse-settings.js';
import type {Settings} from './settings/parse-settings.js';
import {clientConnections} from './transport/client-connections.js';
import type {ForeignResponseListener} from './transport/types.js';

const log = createLog('daemon');
/** Time that a stop leaves for owners of engine pools to get the last releases, in milliseconds. */
const releaseFlushMs = 100;

/** A running instance. */
export type Daemon = {
	/** Resolves once the instance closed, after a signal or an operator's planned stop. */
	readonly closed: Promise<void>;
	/** Finishes the requests in progress, then closes. A second call joins the first. */
	stop(): Promise<void>;
};

const closeServer = async (server: Server): Promise<void> => {
	server.closeIdleConnections();
	await new Promise(resolve => {
		server.close(resolve);
	});
};

const storageGauges = (control: ReplicatedControlLog): GaugeSources => ({
	/* eslint-disable @typescript-eslint/naming-convention */
	'control.storage_failed': () => control.status.failedForMs ?? 0,
	'control.storage_reopenings': () => control.status.reopenings,
	/* eslint-enable @typescript-eslint/naming-convention */
});

/**
 * Starts an instance with checked settings.
 *
 * @throws Error when a port is taken or the secret file can't be read.
 * @example
 * const daemon = await startDaemon(settings);
 */
export const startDaemon = async (settings: Settings): Promise<Daemon> => {
	const {id: self, dataCentre} = settings;
	const entrySettings = settings.entry ?? defaultEntrySettings;
	const clientLimits = clientLimitsOf(settings);
	clientConnections.setMaxConnections(clientLimits.connections);
	const clock = monotonicClock;
	const random = createSeededRandom(hashText(`${self}/${Date.now()}`));
	const secretText = await readFile(settings.secretFile, 'utf8');
	const secret = secretText.trim();
	const life = toId<InstanceIncarnation>(randomUUID());
	const closingClaims = new AbortController();
	const incarnation = Date.now();
	let hasOwnStop = false;

	const stopTracing = settings.tracing && startTracing(settings.tracing.endpoint, self);
	const metrics = settings.metrics ? new StatsdMetrics(settings.metrics, {instance: self, dataCentre}) : noMetrics;
	const onForeignResponse: ForeignResponseListener = (kind, moment) => {
		metrics.count('responses.foreign', 1, {kind, moment});
	};

	const peers = new Peers(settings.instances, secret, undefined, onForeignResponse);
	const rpc = new RpcServer(secret);
	const control = new ReplicatedControlLog({
		self: settings.instances.find(({id}) => id === self)!, instances: settings.instances, folder: settings.storage?.folder, peers, clock, random,
	});
	const catalogue = new ReplicatedCatalogueStore(control);
	const ledger = new TracedLedger(new ReplicatedClaimLedger(control));
	const clients = new EngineClients(onForeignResponse);
	const canceller = new EngineCanceller(clients, clock);
	const fleet = new Fleet({
		self: {id: self, dataCentre}, incarnation, instances: settings.instances, clock, random, peers, list: settings.platform?.list, onLeaving() {
			host.setLeaving(unavailable() as ReadonlySet<EngineId>);
		},
		onDead(id) {
			void claims.clean(id);
		},
		onForeignResponse,
	});
	const claims = new ClaimCleaner({
		self, instances: settings.instances.map(({id}) => id), control, fleet,
	});
	const shares: ShareTask = new ShareTask({
		self: {id: self, dataCentre},
		instances: settings.instances,
		control,
		fleet,
		peers,
		clock,
		isStopping: instance => control.state.stops.targets.some(target => isCovered(target, 'instance', instance)),
		onRound() {
			host.applyShares();
		},
	});
	const host: PoolHost = new PoolHost({
		self, clock, shares, createPolicy: targets => new ForecastPolicy(targets), engines: {
			async fetchReport(engine) {
				const report = await clients.get(engine.id, engine.address).report();
				return report.ok ? report.val : undefined;
			},
			async cancel(engine, hold) {
				await canceller.cancel(engine.id, engine.address, hold);
			},
		},
	});
	const stops: StopDriver = new StopDriver({
		self: {id: self, dataCentre},
		instances: settings.instances,
		control,
		fleet,
		peers,
		inProgress: () => inProgress(),
		usesOf: (server): number => places.countUses(toId<EngineId>(server)) + plain.usesOf(toId<BackendId>(server)),
		onServers() {
			host.setLeaving(unavailable() as ReadonlySet<EngineId>);
		},
		onOwnStop(stop, isNew) {
			hasOwnStop = true;
			if (isNew) {
				void closeAfter(ownStop.drainForOrder(stop.orderId, stop.withinMs));
			}
		},
		onOwnStopOver(orderId) {
			hasOwnStop = false;
			ownStop.cancel(orderId);
		},
	});
	const unavailable = (): ReadonlySet<string> => new Set([...fleet.leaving, ...stops.stopped]);
	const places = new PlacementClient({
		self, dataCentre, shares, peers, clock, leaving: () => unavailable() as ReadonlySet<EngineId>,
	});
	const plain: PlainCaller = new PlainCaller({
		self, life, clock, dataCentre, ledger, random, isLeaving: (id: BackendId) => fleet.leaving.has(id) || stops.stopped.has(id), onForeignResponse,
	});
	const limits = new LimitTask({
		self: {id: self, dataCentre}, incarnation, instances: settings.instances, clock, random, shares, peers, catalogue,
	});
	const entry = new EntryApp({
		self,
		clock,
		clients,
		canceller,
		places,
		catalogue,
		plain,
		limiter: limits,
		isStopping: () => hasOwnStop || ownStop.isStopping || !fleet.informed || !limits.isInitialized,
		limits: {bodyTimeoutMs: entrySettings.bodyTimeoutMs, maxBufferedBytes: clientLimits.bodyBytes},
		metrics,
		gauges: settings.storage && storageGauges(control),
	});

	catalogue.registerListener(snapshot => {
		log('A catalogue came into force.', {revision: snapshot.revision});
		host.applyCatalogue(snapshot);
		shares.round();
		void limits.requestQuotas();
	});

	const peerPort = await openPort(rpc.app, settings.listen.peers, {...defaultPortLimits, connections: clientLimits.ports.partners});
	await control.start(rpc);
	rpc.registerMethod(STATUS, (): InstanceStatus => ({
		id: self,
		dataCentre,
		revision: catalogue.current().revision,
		ready: entry.ready,
		requestsInFlight: entry.inFlight,
		control: control.status,
		instances: settings.instances.map(({id, peers: address}) => ({id, peers: address})),
		services: [...catalogue.current().services.values()].map(({name, kind, class: serviceClass, owner}) => ({
			name, kind, class: serviceClass, owner,
		})),
		pools: host.status(),
	}));
	rpc.registerMethod(CATALOGUE_GET, () => ({revision: catalogue.current().revision, text: catalogue.current().text}));
	rpc.registerMethod(CATALOGUE_HISTORY, ({revision}) => listChanges(control.state.catalogue.changes, revision));
	rpc.registerMethod(CATALOGUE_APPLY, async proposal => catalogue.propose(proposal));
	rpc.registerMethod(LEDGER_LOOKUP, async ({key}) => ({record: await ledger.lookup(key)}));
	const callerPort = new DrainablePort(await openConnections(entry.app, settings.listen.callers, {...entrySettings, connections: clientLimits.ports.callers}));
	void abandonFormerClaims(control, self, life, closingClaims.signal);
	host.start(rpc);
	places.start();
	fleet.start(rpc);
	stops.start(rpc);
	limits.start(rpc);
	shares.start(rpc);
	log('The instance is up.', {
		id: self, dataCentre, callers: settings.listen.callers, peers: settings.listen.peers,
	});

	const inProgress = (): number => callerPort.active + plain.running + canceller.awaited + plain.unsettledClaims;
	const ownStop = new InstanceStop({
		self,
		timings: settings.stop,
		inProgress,
		setClosing(closing) {
			callerPort.setClosing(closing);
		},
		plan: async (orderId, withinMs) => stops.plan({
			orderId, withinMs, target: {kind: 'instance', id: self}, author: 'signal',
		}),
		complete: async orderId => stops.completeOwn(orderId),
	});

	const close = async (): Promise<void> => {
		await callerPort.close();
		await shares.release();
		entry.stop();
		await places.stop(releaseFlushMs);
		host.stop();
		stops.stop();
		limits.stop();
		await control.stop();
		canceller.close();
		closingClaims.abort();
		await fleet.stop();
		peerPort.closeAllConnections();
		await closeServer(peerPort);
		await Promise.all([clients.close(), plain.close(), peers.close(), metrics.close(), stopTracing?.()]);
		log('The instance stopped.');
	};

	let markClosed: () => void;
	const closed = new Promise<void>(resolve => {
		markClosed = resolve;
	});
	let closing: Promise<void> | undefined;
	const closeAfter = async (drained: Promise<boolean>): Promise<void> => {
		if (await drained) {
			closing ??= close().then(markClosed);
			await closing;
		}
	};

	return {
		closed,
		async stop() {
			await closeAfter(ownStop.drainOnSignal());
		},
	};
};
