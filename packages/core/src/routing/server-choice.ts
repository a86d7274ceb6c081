/** Chooses a plain service's server for a call. */
import type {BackendId, DataCentreId} from '../ids.js';
import type {Instant} from '../time.js';

/** What an instance knows of one server. */
export type ServerLoad = {
	readonly id: BackendId;
	readonly dataCentre: DataCentreId;
	/** Requests that the server runs at once. */
	readonly slots: number;
	/** Own requests in progress there. */
	readonly inFlight: number;
	/** Requests running and waiting there by its own account; undefined without one. */
	readonly reportedLoad: {readonly requests: number; readonly at: Instant} | undefined;
	/** Share of the latest own calls that failed, from 0 to 1. */
	readonly failing: number;
	/** Usual time of an answer, in milliseconds; undefined before the first. */
	readonly usualMs: number | undefined;
};

/** How long a server's own account counts, in milliseconds: about the time of a few answers. */
const toldMs = 250;
/** What a server in another data centre costs, in parts of a full server: it wins only when the near ones are busy. */
const farCost = 0.25;
/** What a server costs that fails every call, in full servers. */
const failingCost = 4;

/** Cost of sending one more call to a server; lower is better. */
const costOf = (server: ServerLoad, dataCentre: DataCentreId, fastestMs: number, now: Instant): number => {
	const told = server.reportedLoad !== undefined && now - server.reportedLoad.at <= toldMs ? server.reportedLoad.requests : 0;
	const load = (Math.max(server.inFlight, told) + 1) / Math.max(1, server.slots);
	const slowness = server.usualMs === undefined ? 1 : Math.max(1, server.usualMs / fastestMs);
	return (load * slowness) + (slowness > 2 ? slowness / 4 : 0) + (server.dataCentre === dataCentre ? 0 : farCost) + (server.failing * failingCost);
};

/**
 * The server with the least expected cost: load by own and told requests, failures, slowness and distance.
 * Answers bursts of calls on few servers, and servers that fail or slow down while their health check is good.
 *
 * @example
 * chooseServer(servers, self.dataCentre, new Set(), now, random.next());
 */
export const chooseServer = (servers: readonly ServerLoad[], dataCentre: DataCentreId, excluded: ReadonlySet<BackendId>, now: Instant, draw: number): ServerLoad | undefined => {
	const usable = servers.filter(({id}) => !excluded.has(id));
	const known = usable.map(({usualMs}) => usualMs).filter(ms => ms !== undefined);
	const fastestMs = Math.max(1, known.length === 0 ? 1 : Math.min(...known));
	const costs = usable.map(server => costOf(server, dataCentre, fastestMs, now));
	const least = Math.min(...costs);
	const best = usable.filter((_, index) => costs[index]! <= least + 1e-9);
	return best[Math.floor(draw * best.length)];
};
