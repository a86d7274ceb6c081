/** Leases of memory on decode engines, for streams without a placement of the pool's owner. */
import {Buffer} from 'node:buffer';
import {toId} from '@baobabpier/core';
import type {
	BackendId, EngineAddress, EngineId, ListedServer, ServiceName,
} from '@baobabpier/core';
import {createLog} from '../log.js';
import type {ServerTransport} from '../transport/server-transport.js';
import type {FleetView} from './fleet-view.js';
import {isUrgent} from './plain-route.js';
import type {ReservedEngine, StreamProgress} from './stream-progress.js';
import type {Call, KvSource, ServerDialect} from './types.js';

const log = createLog('rooms');
/** Duration of a lease on an engine's memory, in milliseconds: covers a prefill and the network time of the request. */
const leaseDurationMs = 1500;
/** Timeout of the call that drops an unused lease, in milliseconds. */
const dropTimeoutMs = 1000;
/** Maximum number of engines that are tried for a lease, in sequence. */
const maxLeaseAttempts = 3;
/** Timeout of a lease call, in milliseconds. */
const leaseTimeoutMs = 250;

/** Dependencies of the engine leases. */
export type EngineLeasesParts = {
	readonly fleet: FleetView;
	readonly transport: ServerTransport;
	readonly dialect: ServerDialect;
	/** Returns the tokens that a stream of a service is expected to hold while it runs. */
	readonly expectedTokens: (service: ServiceName, call: Pick<Call, 'promptTokens' | 'maxTokens'>) => number;
};

/** Selects engines by this instance's local state and reserves memory on them with leases. */
export class EngineLeases {
	constructor(private readonly parts: EngineLeasesParts) {}

	/** Returns the engine's entry in the server list; undefined when it is not listed, is leaving, asked for time, or may not serve the stream. */
	findListed({binding}: StreamProgress, {id}: EngineAddress): ListedServer | undefined {
		const server = this.parts.fleet.findUsable(toId<BackendId>(id));
		return server !== undefined && binding.admits(server) ? server : undefined;
	}

	/** Returns the decode engine with the fewest requests of this instance among those that may serve the stream, from memory that another engine wrote where `source` is given. */
	leastLoaded({service, excluded, rejectedBy, binding}: StreamProgress, source?: KvSource): ListedServer | undefined {
		const {fleet} = this.parts;
		const mayServe = (server: ListedServer | undefined): boolean => server?.role === 'decode' && binding.admits(server, source);
		const loads = fleet.loads(service).filter(({id}) => mayServe(fleet.get(id)) && !excluded.has(toId<EngineId>(id)) && !rejectedBy.includes(toId<EngineId>(id)));
		const [least] = loads.toSorted((a, b) => a.inFlight + a.failing - b.inFlight - b.failing);
		return least === undefined ? undefined : fleet.get(least.id);
	}

	/** Acquires a lease on one of the least loaded decode engines; undefined when none of those tried grants one. */
	async acquireLeastLoaded(progress: StreamProgress, source?: KvSource): Promise<ReservedEngine | undefined> {
		for (let attempts = 0; attempts < maxLeaseAttempts && progress.scope.reason === undefined; attempts++) {
			const server = this.leastLoaded(progress, source);
			// Engines are tried in sequence
			// eslint-disable-next-line no-await-in-loop
			const lease = server === undefined ? undefined : await this.acquire(progress, server);
			if (server === undefined || lease !== undefined) {
				return server === undefined ? undefined : {server, lease};
			}
		}

		return undefined;
	}

	/**
	 * Acquires a lease on an engine, whose load from other instances is unknown here; undefined when the engine grants none.
	 * The engine keeps the leased memory for the stream as long as it runs, so a lease covers what the stream is expected to hold
	 * and not the maximum output, which few streams reach.
	 */
	async acquire({call, service, scope, excluded, rejectedBy}: StreamProgress, server: ListedServer): Promise<string | undefined> {
		const {transport, dialect, fleet} = this.parts;
		const limit = scope.createTimeout(Math.min(leaseTimeoutMs, scope.remainingMs()));
		const endCall = fleet.begin(server.id);
		const response = await transport.sendRequest({
			kind: 'lease', binding: {kind: 'ownConnection'}, server: server.id, address: server.address, ...dialect.leaseCall(this.parts.expectedTokens(service, call), leaseDurationMs), signal: limit.signal, isUrgent: isUrgent(call),
		});
		const body = response.kind === 'head' ? await transport.readBody(response) : response;
		limit.release();
		const lease = response.kind === 'head' && Buffer.isBuffer(body) ? dialect.readLease(response.status, body) : undefined;
		endCall(response.kind === 'unsent' && response.isUnreachable === true ? 'unreachable' : 'none');
		if (lease === undefined) {
			log('An engine leases no room.', {
				requestId: call.requestId, engine: server.id, status: response.kind === 'head' ? response.status : undefined, detail: 'detail' in response ? response.detail : undefined,
			});
			// A full engine has memory again when one of its streams ends
			if (response.kind === 'head') {
				rejectedBy.push(toId<EngineId>(server.id));
			} else {
				excluded.add(toId<EngineId>(server.id));
			}
		}

		return lease;
	}

	/** Drops a lease that no stream used, so that its memory is free before the lease expires. */
	async drop({server, lease}: ReservedEngine): Promise<void> {
		if (lease === undefined) {
			return;
		}

		const {transport, dialect} = this.parts;
		const response = await transport.sendRequest({
			kind: 'release', binding: {kind: 'ownConnection'}, server: server.id, address: server.address, method: 'DELETE', target: dialect.dropLeasePath(lease), headers: [], body: undefined, signal: AbortSignal.timeout(dropTimeoutMs),
		});
		if (response.kind === 'head') {
			response.body.resume();
			return;
		}

		log('An unused lease could not be dropped; it will expire on the engine.', {engine: server.id, detail: response.detail});
	}
}
