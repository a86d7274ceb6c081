/** Room on decode engines, where the pool's owner gave no place. */
import {Buffer} from 'node:buffer';
import {toId} from '@baobabpier/core';
import type {
	BackendId, EngineAddress, EngineId, ListedServer,
} from '@baobabpier/core';
import {createLog} from '../log.js';
import type {FleetView} from './fleet-view.js';
import type {ServerTransport} from './server-transport.js';
import type {EngineRoom, Progress} from './stream-progress.js';
import type {ServerDialect} from './types.js';

const log = createLog('rooms');
/** How long a lease on an engine's room lasts, in milliseconds: a prefill and the way of the request. */
const leaseMs = 1500;
/** Engines that are asked for room one after the other, at most. */
const maxLeaseAsks = 3;
/** Longest time for an engine to answer a lease call, in milliseconds. */
const leaseAnswerMs = 250;

/** What the rooms work with. */
export type EngineRoomsParts = {
	readonly fleet: FleetView;
	readonly transport: ServerTransport;
	readonly dialect: ServerDialect;
};

/** Finds engines by own knowledge and reserves room on them by their leases. */
export class EngineRooms {
	constructor(private readonly parts: EngineRoomsParts) {}

	/** The engine as it is listed; undefined when it is gone or leaving. */
	listed({id}: EngineAddress): ListedServer | undefined {
		const server = this.parts.fleet.get(toId<BackendId>(id));
		return server?.leaving === false ? server : undefined;
	}

	/** The decode engine with the fewest own requests. */
	leastLoaded({service, excluded}: Progress): ListedServer | undefined {
		const {fleet} = this.parts;
		const loads = fleet.loads(service).filter(({id}) => fleet.get(id)?.role === 'decode' && !excluded.has(toId<EngineId>(id)));
		const [least] = loads.toSorted((a, b) => a.inFlight + a.failing - b.inFlight - b.failing);
		return least === undefined ? undefined : fleet.get(least.id);
	}

	/** Reserves room at one of the least loaded decode engines, where no place was given for the request. */
	async find(progress: Progress): Promise<EngineRoom | undefined> {
		for (let asked = 0; asked < maxLeaseAsks && progress.scope.reason === undefined; asked++) {
			const server = this.leastLoaded(progress);
			// One engine after the other
			// eslint-disable-next-line no-await-in-loop
			const lease = server === undefined ? undefined : await this.takeLease(progress, server);
			if (server === undefined || lease !== undefined) {
				return server === undefined ? undefined : {server, lease};
			}
		}

		return undefined;
	}

	/** Reserves room at an engine whose other load this instance does not know; undefined when it has none. */
	async takeLease({call, scope, excluded}: Progress, server: ListedServer): Promise<string | undefined> {
		const {transport, dialect, fleet} = this.parts;
		const limit = scope.createTimeout(Math.min(leaseAnswerMs, scope.remainingMs()));
		const end = fleet.begin(server.id);
		const answer = await transport.sendRequest({address: server.address, ...dialect.leaseCall(call.promptTokens + call.maxTokens, leaseMs), signal: limit.signal});
		const body = answer.kind === 'head' ? await transport.readBody(answer) : answer;
		limit.release();
		const lease = answer.kind === 'head' && Buffer.isBuffer(body) ? dialect.readLease(answer.status, body) : undefined;
		end(answer.kind === 'unsent' ? 'unreachable' : 'none');
		if (lease === undefined) {
			log('An engine leases no room.', {
				requestId: call.requestId, engine: server.id, status: answer.kind === 'head' ? answer.status : undefined, detail: 'detail' in answer ? answer.detail : undefined,
			});
			excluded.add(toId<EngineId>(server.id));
		}

		return lease;
	}
}
