/** Chooses a plain service's server for a call. */
import type {BackendId, DataCentreId} from '../ids.js';
import type {Instant} from '../time.js';
import {knownMeanMs} from './response-time.js';
import type {ResponseTime} from './response-time.js';

/** An instance's view of the load and health of one server. */
export type ServerLoad = {
	readonly id: BackendId;
	readonly dataCentre: DataCentreId;
	/** Requests that the server runs at once. */
	readonly slots: number;
	/** This instance's requests in progress there. */
	readonly inFlight: number;
	/** Running and waiting requests that the server reported; undefined without a report. */
	readonly reportedLoad: {readonly requests: number; readonly at: Instant} | undefined;
	/** How many times as long as usual work takes at the server now, as it reported; undefined without a report. */
	readonly slowdown?: {readonly factor: number; readonly at: Instant} | undefined;
	/** Fraction of this instance's latest calls that failed, from 0 to 1. */
	readonly failing: number;
	/** Undefined before the first response. */
	readonly responseTime: ResponseTime | undefined;
};

/** Maximum age of a load report, in milliseconds: about the time of a few responses. */
const reportMaxAgeMs = 250;
/** Cost of a server in another data centre, relative to a full server: it is chosen only when the local ones are busy. */
const remoteCost = 0.25;
/** Cost of a server that fails every call, relative to a full server. */
const failureCost = 4;

/**
 * Requests at a server now: those of this instance, or as many as a fresh report says.
 *
 * @example
 * requestsAt(server, clock.now()) / server.slots;
 */
export const requestsAt = ({inFlight, reportedLoad}: ServerLoad, now: Instant): number => Math.max(inFlight, reportedLoad !== undefined && now - reportedLoad.at <= reportMaxAgeMs ? reportedLoad.requests : 0);

/** Servers share their machines with others, so that their speed changes many times a second. */
const slowdownOf = ({slowdown}: ServerLoad, now: Instant): number => slowdown !== undefined && now - slowdown.at <= reportMaxAgeMs ? slowdown.factor : 1;

/** Cost of sending one more call to a server; lower is better. */
const costOf = (server: ServerLoad, dataCentre: DataCentreId, fastestMs: number, now: Instant): number => {
	const load = (requestsAt(server, now) + 1) / Math.max(1, server.slots);
	const meanMs = knownMeanMs(server.responseTime, now);
	const slowness = Math.max(1, (meanMs ?? 0) / fastestMs, slowdownOf(server, now));
	return (load * slowness) + (slowness > 2 ? slowness / 4 : 0) + (server.dataCentre === dataCentre ? 0 : remoteCost) + (server.failing * failureCost);
};

/**
 * The server with the lowest expected cost, by own and reported requests, failures, slowness and distance.
 * Handles bursts of calls on few servers, servers that fail or slow down while their health check passes, and servers whose machine is
 * busy with other work at this moment.
 *
 * @example
 * chooseServer(servers, self.dataCentre, new Set(), now, random.next());
 */
export const chooseServer = (servers: readonly ServerLoad[], dataCentre: DataCentreId, excluded: ReadonlySet<BackendId>, now: Instant, draw: number): ServerLoad | undefined => {
	const usable = servers.filter(({id}) => !excluded.has(id));
	const knownLatencies = usable.map(({responseTime}) => knownMeanMs(responseTime, now)).filter(ms => ms !== undefined);
	const fastestMs = Math.max(1, knownLatencies.length === 0 ? 1 : Math.min(...knownLatencies));
	const costs = usable.map(server => costOf(server, dataCentre, fastestMs, now));
	const least = Math.min(...costs);
	const best = usable.filter((_, index) => costs[index]! <= least + 1e-9);
	return best[Math.floor(draw * best.length)];
};
