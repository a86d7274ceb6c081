/** The limits of all servers at the instance that grants the permits. */
import type {BackendId, RequestId} from '../ids.js';
import type {Instant} from '../time.js';
import {PermitBucket} from './permit-bucket.js';
import {isNewerRevision} from './types.js';
import type {
	LimitChange, LimitObservation, PermitDecision, PermitRequest, ServerRateLimit, RateLimitsSnapshot,
} from './types.js';

/** Time after which the limit of an unlisted server is forgotten, in milliseconds: a list that lacks it may be incomplete. */
const forgetAfterMs = 5000;
/** Maximum number of servers whose limits are remembered. */
const maxServers = 20_000;

type LimitEntry = {
	limit: ServerRateLimit;
	/** Undefined once the limit is lifted. */
	bucket: PermitBucket | undefined;
	/** When the request was sent whose response said it. */
	asOf: Instant;
	/** When a list first lacked the server; undefined while it is listed. */
	missingSince: Instant | undefined;
};

/**
 * Keeps the limits that servers name and grants permits for their requests. There is one such table at a time, at the leader, so that
 * one bound holds for any number of instances. A new leader starts without permits.
 *
 * @example
 * const table = new RateLimitTable(term);
 * table.observe({server, requestsPerSecond: 1, sentAt, isPermitted: false, instance}, clock.now());
 * table.acquire({server, class: 'patient', requestId: undefined}, clock.now()).kind; // 'denied'
 */
export class RateLimitTable {
	readonly #entries = new Map<BackendId, LimitEntry>();
	#count = 0;
	#snapshot: RateLimitsSnapshot | undefined;

	constructor(private readonly term: number) {}

	/** Number of servers with a limit in force. */
	get size(): number {
		return [...this.#entries.values()].filter(({bucket}) => bucket !== undefined).length;
	}

	/** All limits, with those that were lifted lately. */
	get snapshot(): RateLimitsSnapshot {
		this.#snapshot ??= {term: this.term, version: `${this.term}/${this.#count}`, limits: [...this.#entries.values()].map(({limit}) => limit)};
		return this.#snapshot;
	}

	/** The limit of a server; undefined when none was ever named. */
	limitOf(server: BackendId): ServerRateLimit | undefined {
		return this.#entries.get(server)?.limit;
	}

	/** Takes over what an instance knows from a former leader. */
	adopt(limits: readonly ServerRateLimit[], now: Instant): void {
		for (const limit of limits) {
			const entry = this.#entries.get(limit.server);
			if (isNewerRevision(limit.revision, entry?.limit.revision)) {
				this.#count += 1;
				this.#set(limit, now, now);
			}
		}
	}

	/** Takes note of a response. One whose request was sent before that of the newest response changes nothing, and only a request that was sent with a permit can lift a limit. */
	observe(observation: LimitObservation, now: Instant): LimitChange | undefined {
		const {server, requestsPerSecond, sentAt, isPermitted} = observation;
		const entry = this.#entries.get(server);
		const before = entry?.limit.requestsPerSecond;
		const isOutdated = entry !== undefined && sentAt <= entry.asOf;
		if (Number.isNaN(requestsPerSecond) || isOutdated || (requestsPerSecond === undefined && (before === undefined || !isPermitted))) {
			return undefined;
		}

		if (entry !== undefined && requestsPerSecond === before) {
			entry.asOf = sentAt;
			return undefined;
		}

		this.#change(observation, now);
		return {server, before, requestsPerSecond};
	}

	/** Takes a permit for a request, or tells when to ask again. */
	acquire({server, class: permitClass, requestId}: PermitRequest, now: Instant): PermitDecision {
		return this.#entries.get(server)?.bucket?.acquire(permitClass, requestId, now) ?? {kind: 'granted'};
	}

	/** Whether a request may be placed on a server. */
	isOpen(server: BackendId, now: Instant): boolean {
		return this.#entries.get(server)?.bucket?.isOpen(now) ?? true;
	}

	/** Reserves a permit for a request that is placed on a server. */
	reserve(server: BackendId, requestId: RequestId, now: Instant): void {
		this.#entries.get(server)?.bucket?.reserve(requestId, now);
	}

	/** Returns the unused permits of a placed request. */
	release(requestId: RequestId): void {
		for (const {bucket} of this.#entries.values()) {
			bucket?.release(requestId);
		}
	}

	/** Takes note of the servers that are listed; forgets those that are gone. */
	retain(listed: ReadonlySet<BackendId>, now: Instant): void {
		for (const [server, entry] of this.#entries) {
			if (listed.has(server)) {
				entry.missingSince = undefined;
				continue;
			}

			entry.missingSince ??= now;
			if (now - entry.missingSince >= forgetAfterMs) {
				this.#entries.delete(server);
				this.#count += 1;
				this.#snapshot = undefined;
			}
		}
	}

	#change({server, requestsPerSecond, sentAt, instance}: LimitObservation, now: Instant): void {
		this.#count += 1;
		this.#set({
			server, requestsPerSecond, namedTo: instance, revision: {term: this.term, count: this.#count},
		}, sentAt, now);
	}

	#set(limit: ServerRateLimit, asOf: Instant, now: Instant): void {
		const {server, requestsPerSecond} = limit;
		const existing = this.#entries.get(server);
		if (existing === undefined && this.#entries.size >= maxServers) {
			this.#entries.delete(this.#entries.keys().next().value!);
		}

		const bucket = requestsPerSecond === undefined ? undefined : existing?.bucket ?? new PermitBucket(requestsPerSecond, now);
		if (requestsPerSecond !== undefined) {
			bucket?.setRate(requestsPerSecond, now);
		}

		this.#entries.set(server, {
			limit, bucket, asOf, missingSince: existing?.missingSince,
		});
		this.#snapshot = undefined;
	}
}
