/** Counters and latency histograms of a process, exposed in the Prometheus text format. */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import type {Server, ServerResponse} from 'node:http';
import {getHeapStatistics} from 'node:v8';
import {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';
import type {PortBounds} from '@baobabpier/core';
import {listenOn} from '../listen.js';
import {createLog} from '../log.js';
import {ServerConnections} from '../server-connections.js';
import {clientConnections, metLimits} from '../transport/client-connections.js';
import {pacedReading} from '../transport/paced-reading.js';
import type {GateEvent} from './availability-gate.js';
import type {ServerListPoller} from './server-list-poller.js';

const log = createLog('metrics');
/** Longest time for which a text of the metrics is sent again, in milliseconds. */
const maxTextAgeMs = 50;
const latencyBuckets = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.9, 2, 5, 15];

/** Metrics of an entry instance. */
export class GatewayMetrics {
	readonly registry = new Registry();
	readonly #calls = new Counter({
		name: 'baobabpier_calls_total', help: 'Calls of callers by kind of route and outcome', labelNames: ['kind', 'outcome'], registers: [this.registry],
	});

	readonly #seconds = new Histogram({
		name: 'baobabpier_call_seconds', help: 'Time from a call\'s arrival to the end of its answer', labelNames: ['kind'], buckets: latencyBuckets, registers: [this.registry],
	});

	readonly #refusals = new Counter({
		name: 'baobabpier_refusals_total', help: 'Calls answered with an error of the closed table', labelNames: ['error'], registers: [this.registry],
	});

	readonly #notices = new Counter({
		name: 'baobabpier_server_availability_total', help: 'Servers that leave or ask for time, requests not sent for it, and requests sent although work is not, by kind of call', labelNames: ['event', 'kind'], registers: [this.registry],
	});

	readonly #permits = new Counter({
		name: 'baobabpier_server_permits_total', help: 'Requests to servers with a limit, by whether they got a permit, and class', labelNames: ['result', 'class'], registers: [this.registry],
	});

	readonly #quotas = new Counter({
		name: 'baobabpier_quota_decisions_total', help: 'Requests of teams with a quota, by decision', labelNames: ['result'], registers: [this.registry],
	});

	readonly #foreignResponses = new Counter({
		name: 'baobabpier_foreign_responses_total', help: 'Responses of servers that belong to no request or to another one, by kind of call', labelNames: ['kind', 'moment'], registers: [this.registry],
	});

	constructor() {
		this.registerGauge('heap_used_bytes', 'JavaScript heap in use, garbage that is not collected yet included', () => getHeapStatistics().used_heap_size);
		this.registerGauge('unparsed_bytes', 'Bytes of clients that have arrived and wait to be parsed', () => pacedReading.heldBytes);
		this.registerGauge('full_turns', 'Turns of the event loop that left bytes of clients for the next one, since the start', () => pacedReading.fullTurns);
		this.registerGauge('client_connections', 'Connections of clients, over all ports', () => clientConnections.size);
		this.registerGauge('displaced_connections', 'Connections without a complete request that were closed to make room, since the start', () => metLimits.displaced.count);
		this.registerGauge('refused_connections', 'New connections that were closed as all others had requests in progress, since the start', () => metLimits.refused.count);
		this.registerGauge('unread_responses', 'Responses that were broken off as their callers read nothing, since the start', () => metLimits.unread.count);
		this.registerGauge('requests_ahead', 'Connections that sent too many requests ahead of a response, since the start', () => metLimits.ahead.count);
		this.registerGauge('unread_bodies', 'Calls refused by their heads, whose bodies were not read, since the start', () => metLimits.unreadBodies.count);
		this.registerGauge('malformed_requests', 'Connections that sent a malformed request, since the start', () => metLimits.malformed.count);
	}

	/** Records a completed call. */
	observeCall(kind: string, outcome: string, ms: number): void {
		this.#calls.inc({kind, outcome});
		this.#seconds.observe({kind}, ms / 1000);
	}

	countRefusal(error: string): void {
		this.#refusals.inc({error});
	}

	/** Counts what the availability gate did for a call. */
	countAvailability(event: GateEvent, kind: string): void {
		this.#notices.inc({event, kind});
	}

	countPermit(result: string, permitClass: string): void {
		this.#permits.inc({result, class: permitClass});
	}

	countQuota(result: string): void {
		this.#quotas.inc({result});
	}

	/** Registers a gauge with one value a server, which are read on each scrape. */
	registerServerGauge(name: string, help: string, read: () => ReadonlyArray<{readonly server: string; readonly value: number}>): void {
		this.registry.registerMetric(new Gauge({
			name: `baobabpier_${name}`,
			help,
			labelNames: ['server'],
			registers: [],
			collect() {
				this.reset();
				for (const {server, value} of read()) {
					this.set({server}, value);
				}
			},
		}));
	}

	/** Registers what the polls of the platform's list met. */
	registerListPoller(poller: Pick<ServerListPoller, 'counts'>): void {
		this.registerGauge('list_unreadable_entries', 'Entries of the platform\'s list that could not be read, in this instance\'s newest poll', () => poller.counts.unreadableEntries);
		this.registerGauge('list_faulty_pages', 'Pages of the platform\'s list with such entries, or whose end could not be read, since the start', () => poller.counts.faultyPages);
		this.registerGauge('list_partial_polls', 'Polls of the platform\'s list that did not get to its end, since the start', () => poller.counts.partialPolls);
	}

	countForeignResponse(kind: string, moment: string): void {
		this.#foreignResponses.inc({kind, moment});
	}

	/** Registers a gauge whose value is read on each scrape. */
	registerGauge(name: string, help: string, read: () => number): void {
		this.registry.registerMetric(new Gauge({
			name: `baobabpier_${name}`,
			help,
			registers: [],
			collect() {
				this.set(read());
			},
		}));
	}
}

/** The text of a registry, collected once for all who ask within a short time: a text takes a millisecond and tens of kilobytes. */
class MetricsText {
	#text: Promise<Uint8Array> | undefined;

	constructor(private readonly registry: Registry) {}

	async read(): Promise<Uint8Array> {
		if (this.#text === undefined) {
			this.#text = this.registry.metrics().then(text => Buffer.from(text));
			setTimeout(() => {
				this.#text = undefined;
			}, maxTextAgeMs).unref();
		}

		return this.#text;
	}
}

/**
 * Serves a registry at `/metrics`.
 *
 * @example
 * const server = await serveMetrics(metrics.registry, '127.0.0.1:9464', {guaranteed: 16, max: 32});
 */
export const serveMetrics = async (registry: Registry, address: string, bounds: PortBounds): Promise<Server> => {
	const text = new MetricsText(registry);
	const respond = async (res: ServerResponse): Promise<void> => {
		try {
			const body = await text.read();
			res.writeHead(200, {'content-type': registry.contentType, 'content-length': body.length});
			res.end(body);
		} catch (error) {
			log('Metrics could not be collected.', {error: (error as Error).message});
			res.writeHead(500).end();
		}
	};

	const {server} = new ServerConnections(createServer(), (_req, res) => {
		void respond(res);
	}, bounds);
	await listenOn(server, address);
	return server;
};
