/** Remembers where streams began, for as long as their callers may take them up again. */
import type {RequestId, ServiceName, SoftwareVersion} from '../ids.js';
import {addMs} from '../time.js';
import type {Instant} from '../time.js';

/** Where a stream began: at an engine of a service, of one software version. */
export type StreamOrigin = {
	readonly service: ServiceName;
	readonly softwareVersion: SoftwareVersion;
};

/** The record of a stream's origin. */
export type OriginRecord = StreamOrigin & {
	/** The request that brought the first event. */
	readonly requestId: RequestId;
	/** How long it has to be known, in milliseconds. */
	readonly ttlMs: number;
};

type StoredOrigin = {
	readonly origin: StreamOrigin;
	readonly until: Instant;
};

/** Expired origins that are removed for each new one: more than one, so that their number falls again. */
const removedPerRecord = 2;

/**
 * A table of origins with a maximum size. Beyond it the oldest ones are forgotten.
 *
 * @example
 * const origins = new StreamOrigins(100_000);
 * origins.record({requestId, service, softwareVersion, ttlMs: 20_000}, clock.now());
 * origins.lookup(requestId, clock.now()); // {service, softwareVersion}, or undefined
 */
export class StreamOrigins {
	readonly #origins = new Map<RequestId, StoredOrigin>();

	constructor(private readonly maxOrigins: number) {}

	get size(): number {
		return this.#origins.size;
	}

	record({requestId, ttlMs, service, softwareVersion}: OriginRecord, now: Instant): void {
		this.#removeExpired(now);
		this.#origins.set(requestId, {origin: {service, softwareVersion}, until: addMs(now, ttlMs)});
		if (this.#origins.size > this.maxOrigins) {
			this.#origins.delete(this.#origins.keys().next().value!);
		}
	}

	/** Returns where a stream began; undefined where that is not known. */
	lookup(requestId: RequestId, now: Instant): StreamOrigin | undefined {
		const stored = this.#origins.get(requestId);
		return stored !== undefined && stored.until > now ? stored.origin : undefined;
	}

	/** Returns the origins that have not expired. */
	list(now: Instant): readonly OriginRecord[] {
		return [...this.#origins].filter(([, {until}]) => until > now).map(([requestId, {origin, until}]) => ({...origin, requestId, ttlMs: until - now}));
	}

	/** Origins of about the same lifetime expire in the order in which they were recorded. */
	#removeExpired(now: Instant): void {
		let removed = 0;
		for (const [requestId, {until}] of this.#origins) {
			if (until > now || removed >= removedPerRecord) {
				return;
			}

			this.#origins.delete(requestId);
			removed += 1;
		}
	}
}
