/** Remembers which software version began a stream, for as long as its caller may take it up again. */
import type {RequestId, SoftwareVersion} from '../ids.js';
import {addMs} from '../time.js';
import type {Instant} from '../time.js';

/** The software version that began a stream. */
export type StreamOrigin = {
	/** The request that brought the first event. */
	readonly requestId: RequestId;
	readonly softwareVersion: SoftwareVersion;
	/** How long it has to be known, in milliseconds. */
	readonly ttlMs: number;
};

type StoredOrigin = {
	readonly softwareVersion: SoftwareVersion;
	readonly until: Instant;
};

/** Expired origins that are removed for each new one: more than one, so that their number falls again. */
const removedPerRecord = 2;

/**
 * A table of origins with a maximum size. Beyond it the oldest ones are forgotten.
 *
 * @example
 * const origins = new StreamOrigins(100_000);
 * origins.record({requestId, softwareVersion, ttlMs: 20_000}, clock.now());
 * origins.lookup(requestId, clock.now()); // The version, or undefined
 */
export class StreamOrigins {
	readonly #origins = new Map<RequestId, StoredOrigin>();

	constructor(private readonly maxOrigins: number) {}

	get size(): number {
		return this.#origins.size;
	}

	record({requestId, softwareVersion, ttlMs}: StreamOrigin, now: Instant): void {
		this.#removeExpired(now);
		this.#origins.set(requestId, {softwareVersion, until: addMs(now, ttlMs)});
		if (this.#origins.size > this.maxOrigins) {
			this.#origins.delete(this.#origins.keys().next().value!);
		}
	}

	/** Returns the version that began a stream; undefined where it is not known. */
	lookup(requestId: RequestId, now: Instant): SoftwareVersion | undefined {
		const origin = this.#origins.get(requestId);
		return origin !== undefined && origin.until > now ? origin.softwareVersion : undefined;
	}

	/** Returns the origins that have not expired. */
	list(now: Instant): readonly StreamOrigin[] {
		return [...this.#origins].filter(([, {until}]) => until > now).map(([requestId, {softwareVersion, until}]) => ({requestId, softwareVersion, ttlMs: until - now}));
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
