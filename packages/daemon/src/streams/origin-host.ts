/** Keeps the origins of streams that entry instances record, and answers those that ask for them. */
import {randomUUID} from 'node:crypto';
import {ORIGIN_FIND, ORIGIN_RECORD, StreamOrigins} from '@baobabpier/core';
import type {Clock} from '@baobabpier/core';
import type {RpcServer} from '../rpc/rpc-server.js';

/** Maximum number of origins: some 15 MB. */
const maxOrigins = 100_000;

/**
 * The origins at one instance, in memory only: other instances have copies.
 *
 * @example
 * const host = new OriginHost(clock);
 * host.start(rpc);
 */
export class OriginHost {
	readonly #origins = new StreamOrigins(maxOrigins);
	readonly #incarnation = randomUUID();

	constructor(private readonly clock: Clock) {}

	/** Number of origins. */
	get size(): number {
		return this.#origins.size;
	}

	start(server: RpcServer): void {
		server.registerMethod(ORIGIN_RECORD, ({origins}) => {
			const now = this.clock.now();
			for (const origin of origins) {
				this.#origins.record(origin, now);
			}

			return {incarnation: this.#incarnation};
		});
		server.registerMethod(ORIGIN_FIND, ({requestId}) => ({origin: this.#origins.lookup(requestId, this.clock.now())}));
	}
}
