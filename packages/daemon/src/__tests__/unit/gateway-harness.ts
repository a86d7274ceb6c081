/** A gateway before engines on raw sockets, for tests that decide about every byte of the engines. */
import {once} from 'node:events';
import {connect, createServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';
import {
	createSeededRandom, ok, routerError, toId,
} from '@baobabpier/core';
import type {
	BackendId, DataCentreId, EngineId, EngineRole, ListedServer, RequestId, RouteName, RoutingTable, RoutingVersion, ServiceName,
} from '@baobabpier/core';
import {CallerListener} from '../../gateway/caller-listener.js';
import {FleetView} from '../../gateway/fleet-view.js';
import {GatewayMetrics} from '../../gateway/gateway-metrics.js';
import {PlainRoute} from '../../gateway/plain-route.js';
import {headerValue} from '../../gateway/raw-headers.js';
import {RetryBudgets} from '../../gateway/retry-budgets.js';
import {StartupGate} from '../../gateway/startup-gate.js';
import type {PlacementOutcome, StreamPlacements} from '../../gateway/stream-placements.js';
import {StreamRoute} from '../../gateway/stream-route.js';
import type {Call, SendPurpose, ServerDialect} from '../../gateway/types.js';
import {monotonicClock} from '../../monotonic-clock.js';
import type {RelayClient} from '../../relay/relay-client.js';
import {relayHeaders} from '../../relay/relay-headers.js';
import {ServerTransport} from '../../transport/server-transport.js';
import {createIdleGuard} from './idle-guard.js';
import {openPath} from './open-path.js';
import {ownOrigins} from './own-origins.js';
import {noPartners} from './no-partners.js';
import {openQuotas} from './open-quotas.js';

const service = toId<ServiceName>('lm');

const relaySecret = 's';
/** Header lines of a call that another instance relays. */
const relayHeaderLines = relayHeaders({remainingMs: 2000, routingVersion: 1}, relaySecret).map((text, index) => index % 2 === 0 ? `${text}: ` : `${text}\r\n`).join('');

/** Routes by their path: `stream` is resumable, `once` is a stream that is not. */
const table: RoutingTable = {
	version: toId<RoutingVersion>(1),
	routes: ([['stream', true], ['once', false], ['safe', false], ['unsafe', false]] as const).map(([name, resumable]) => ({
		name: toId<RouteName>(name), host: 'a.example', prefix: `/${name}/`, kind: name === 'safe' || name === 'unsafe' ? name : 'stream', timeoutMs: 3000, targetLatencyMs: 500, priority: 1, targets: [{service, weight: 1}], maxAttempts: 3, resumable, targetGapMs: 300,
	})),
	services: new Map(),
	limits: {
		headerBytes: 16_384, bodyBytes: 1000, headersTimeoutMs: 3000, idleTimeoutMs: 15_000,
	},
};

const dialect = {
	sendHeaders: (call: Call, _server: ListedServer, purpose: SendPurpose) => ['x-id', call.requestId, 'x-purpose', purpose.kind, ...(purpose.kind === 'decode' ? ['x-handle', purpose.source.handle] : [])],
	readResponseId: (rawHeaders: readonly string[]) => headerValue(rawHeaders, 'x-id'),
	readHead: (status: number, rawHeaders: readonly string[]) => ({
		status, rawHeaders, isAuthentic: headerValue(rawHeaders, 'x-stamp') !== undefined, isMisdirected: false, isNotExecuted: headerValue(rawHeaders, 'x-not-run') !== undefined, isEncoded: false, load: undefined,
	}),
	readPrefill: (body: Uint8Array) => new TextDecoder().decode(body).split(' ', 1)[0],
	freePath: (handle: string) => `/free/${handle}`,
	leaseCall: () => ({
		method: 'POST', target: '/lease', headers: [], body: new Uint8Array(0),
	}),
	readLease: (status: number, body: Uint8Array) => status === 200 ? new TextDecoder().decode(body) : undefined,
	dropLeasePath: (lease: string) => `/lease/${lease}`,
} as unknown as ServerDialect;

/** A request as an engine gets it. */
export type EngineRequest = {
	readonly socket: Socket;
	/** Id of the caller's request; empty where the request carries none. */
	readonly id: string;
	/** Method and target. */
	readonly line: string;
	readonly purpose: string | undefined;
	/** Handle of the prefill that a decode continues from. */
	readonly handle: string | undefined;
	/** Number of the connection at its engine, from 0. */
	readonly connection: number;
};

/** An engine on a raw socket. */
export type RawEngine = {
	readonly server: ListedServer;
	/** What it received, in order. */
	readonly requests: readonly EngineRequest[];
};

/** Header line of a request's text. */
const lineValue = (text: string, name: string): string | undefined => new RegExp(`^${name}: (?<value>.*)$`, 'imv').exec(text)?.groups?.value?.trim();

/** Engines and gateways of one test. */
export class GatewayHarness {
	readonly metrics = new GatewayMetrics();
	/** Partners of the gateways, for streams that have begun. */
	relay: Pick<RelayClient, 'isNeeded' | 'send'> = noPartners;
	/** The gateways' path to servers. */
	path = openPath;
	readonly #closers: Array<() => void> = [];

	/** Starts an engine that answers each request by `respond`. */
	async startEngine(id: string, role: EngineRole, respond: (request: EngineRequest) => void): Promise<RawEngine> {
		const requests: EngineRequest[] = [];
		let connections = 0;
		const server: Server = createServer(socket => {
			const connection = connections++;
			socket.on('error', () => undefined);
			socket.on('data', (bytes: Uint8Array) => {
				const text = bytes.toString();
				const request = {
					socket, id: lineValue(text, 'x-id') ?? '', line: text.split(' HTTP/', 1)[0]!, purpose: lineValue(text, 'x-purpose'), handle: lineValue(text, 'x-handle'), connection,
				};
				requests.push(request);
				respond(request);
			});
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		this.#closers.push(() => {
			server.close();
		});
		return {
			requests, server: {
				id: toId<BackendId>(id), address: `127.0.0.1:${(server.address() as AddressInfo).port}`, service, dataCentre: toId<DataCentreId>('a'), slots: 8, leaving: false, role,
			},
		};
	}

	/** Serves callers over engines with at most `maxConnections` to each; streams are placed on the pairs of prefill and decode engine in turn, and refused where there is none. */
	async startGateway(placements: ReadonlyArray<readonly [prefill: RawEngine, decode: RawEngine] | undefined>, maxConnections = 1): Promise<CallerListener> {
		const transport = new ServerTransport({
			maxConnectionsTo: () => maxConnections, readResponseId: headers => dialect.readResponseId(headers), onForeignResponse: (kind, moment) => {
				this.metrics.countForeignResponse(kind, moment);
			},
		});
		const fleet = new FleetView(monotonicClock);
		const engines = new Set(placements.flatMap(pair => pair ?? []));
		fleet.replace([...engines].map(({server}) => server));
		let next = 0;
		const place = async (): Promise<PlacementOutcome> => {
			const pair = placements[next++ % placements.length];
			if (pair === undefined) {
				return {kind: 'refused', error: routerError('queueTimeout')};
			}

			const [prefill, decode] = pair.map(({server}) => ({id: toId<EngineId>(server.id), address: server.address}));
			return {
				kind: 'placed', placement: {
					prefill: prefill!, decode: decode!, isFromOwner: true, leased: () => undefined, prefillDone: () => undefined, transferDone: () => undefined, moveTo: () => undefined, release: () => undefined,
				},
			};
		};

		const parts = {
			fleet, transport, dialect, retryBudgets: new RetryBudgets({ratio: 1, slack: 100, windowMs: 10_000}, monotonicClock, true, () => 1), clock: monotonicClock, random: createSeededRandom(1),
		};
		const gate = new StartupGate(monotonicClock);
		const listener = new CallerListener({
			quotas: openQuotas,
			relay: noPartners, relayPort: {secret: relaySecret, isPathLost: async () => false},
			...parts,
			gate,
			dialect: {
				parseMetadata: headers => ok({
					requestId: toId<RequestId>(String(headers['x-id'])), callerTimeoutMs: undefined, promptTokens: 0, maxTokens: 0, lastEventId: undefined, sharedSegments: [],
				}),
				errorHeaders: (): Record<string, string> => ({}),
				takeUpHeaders: () => ({names: new Set(), headers: []}),
			},
			plain: new PlainRoute({
				...parts, path: this.path, guard: createIdleGuard(), dataCentre: toId<DataCentreId>('a'),
			}),
			streams: new StreamRoute({
				...parts, origins: ownOrigins, path: this.path, relay: this.relay, guard: createIdleGuard(), places: {place, placeResumed: place, maxWaitMs: () => 1000} as unknown as StreamPlacements,
			}),
			metrics: this.metrics,
		});
		await listener.listen('127.0.0.1:0');
		await listener.listenForRelays('127.0.0.1:0');
		listener.apply(table);
		gate.open();
		this.#closers.push(() => {
			listener.destroy();
			void transport.close();
		});
		return listener;
	}

	/** Number of responses that belonged to another request, of a kind of call at a moment. */
	async foreignResponses(kind: string, moment: string): Promise<number> {
		const text = await this.metrics.registry.metrics();
		const line = text.split('\n').find(item => item.startsWith('baobabpier_foreign_responses_total') && item.includes(`kind="${kind}"`) && item.includes(`moment="${moment}"`));
		return Number(line?.split(' ').at(-1) ?? 0);
	}

	close(): void {
		for (const close of this.#closers.splice(0)) {
			close();
		}
	}
}

/** Sends one request on a connection of its own and returns all bytes that come back, without the date. */
export const exchangeRaw = async (listener: CallerListener, path: string, id: string, port: 'callers' | 'relays' = 'callers'): Promise<string> => {
	const socket = connect(port === 'callers' ? listener.port : listener.relayTcpPort, '127.0.0.1');
	let text = '';
	socket.on('data', (bytes: Uint8Array) => {
		text += bytes.toString();
	});
	socket.on('error', () => undefined);
	socket.write(`POST ${path} HTTP/1.1\r\nhost: a.example\r\nx-id: ${id}\r\nconnection: close\r\ncontent-length: 0\r\n${port === 'callers' ? '' : relayHeaderLines}\r\n`);
	await once(socket, 'close');
	return text.replace(/date: [^\r]*\r\n/iv, '');
};
