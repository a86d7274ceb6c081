/** Tells an entry instance where a stream began, at whichever instance that was, and tells others of its own streams. */
import {ORIGIN_FIND, rankRendezvous, StreamOrigins} from '@baobabpier/core';
import type {
	Clock, InstanceId, OriginRecord, RequestId, StreamOrigin,
} from '@baobabpier/core';
import {createLog} from '../log.js';
import type {Peers} from '../rpc/peers.js';
import {OriginReporter} from './origin-reporter.js';

const log = createLog('origins');
/** Number of control instances that have a copy of an origin, chosen by the request's id. */
const copies = 3;
/** Maximum number of origins of an instance's own streams. */
const maxOwnOrigins = 20_000;
/** Maximum delay of a stream's first event until one of them has its origin, in milliseconds; without control instances the stream goes on all the same. */
const recordWaitMs = 150;
/** Maximum wait for the answer of a host that is asked, in milliseconds. */
const findTimeoutMs = 300;

/** Dependencies of an origin directory. */
export type OriginDirectoryParts = {
	readonly peers: Peers;
	readonly clock: Clock;
	/** The control instances. */
	readonly hosts: () => readonly InstanceId[];
};

/**
 * Finds the instances that know a stream's origin from the id of its request alone, as hashed quorum sets do for locations.
 *
 * @example
 * await origins.record({requestId, service, softwareVersion, ttlMs: 20_000});
 * await origins.lookup(requestId); // {service, softwareVersion}, at any instance
 */
export class OriginDirectory {
	readonly #own = new StreamOrigins(maxOwnOrigins);
	readonly #reporters = new Map<InstanceId, OriginReporter>();

	constructor(private readonly parts: OriginDirectoryParts) {}

	/** Number of origins of this instance's own streams. */
	get size(): number {
		return this.#own.size;
	}

	/** Resolves once another instance knows the origin, or after a short wait. */
	async record(origin: OriginRecord): Promise<void> {
		this.#own.record(origin, this.parts.clock.now());
		let timer: NodeJS.Timeout | undefined;
		const wait = new Promise<void>(resolve => {
			timer = setTimeout(resolve, recordWaitMs);
		});
		await Promise.race([wait, ...this.#hostsOf(origin.requestId).map(async host => this.#reporterOf(host).report(origin))]);
		clearTimeout(timer);
	}

	/** Returns where a stream began; undefined where no instance that answers knows it. */
	async lookup(requestId: RequestId): Promise<StreamOrigin | undefined> {
		const own = this.#own.lookup(requestId, this.parts.clock.now());
		if (own !== undefined) {
			return own;
		}

		try {
			return await Promise.any(this.#hostsOf(requestId).map(async host => this.#ask(host, requestId)));
		} catch (error) {
			log('The origin of a stream is not known.', {requestId, detail: (error as AggregateError).errors.map(cause => (cause as Error).message).join('; ')});
			return undefined;
		}
	}

	stop(): void {
		for (const reporter of this.#reporters.values()) {
			reporter.stop();
		}
	}

	async #ask(host: InstanceId, requestId: RequestId): Promise<StreamOrigin> {
		const {origin} = await this.parts.peers.get(host).call(ORIGIN_FIND, {requestId}, findTimeoutMs);
		if (origin === undefined) {
			throw new Error(`${host} does not know it`);
		}

		return origin;
	}

	#hostsOf(requestId: RequestId): readonly InstanceId[] {
		return rankRendezvous(requestId, this.parts.hosts(), copies);
	}

	#reporterOf(host: InstanceId): OriginReporter {
		let reporter = this.#reporters.get(host);
		if (reporter === undefined) {
			const {peers, clock} = this.parts;
			reporter = new OriginReporter({
				host, peers, clock, listAll: () => this.#own.list(clock.now()).filter(({requestId}) => this.#hostsOf(requestId).includes(host)),
			});
			this.#reporters.set(host, reporter);
		}

		return reporter;
	}
}
