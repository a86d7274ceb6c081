/** The limits of servers as an instance knows them that asks the leader for permits. */
import type {BackendId, InstanceId} from '../ids.js';
import {addMs} from '../time.js';
import type {Instant} from '../time.js';
import {isNewerRevision} from './types.js';
import type {
	LimitChange, LimitRevision, PermitClass, ServerRateLimit,
} from './types.js';

/** Time after which the limit of an unlisted server is forgotten, in milliseconds: a list that lacks it may be incomplete. */
const forgetAfterMs = 5000;
/** Maximum number of servers whose limits are remembered. */
const maxServers = 20_000;

type KnownLimit = {
	requestsPerSecond: number | undefined;
	/** What the leader has recorded; undefined while it has yet to hear of the limit. */
	revision: LimitRevision | undefined;
	namedTo: InstanceId;
	/** Until when urgent and other requests get no permit. */
	urgentDeniedUntil: Instant;
	deniedUntil: Instant;
	missingSince: Instant | undefined;
};

/**
 * Remembers which servers have a limit, and until when no permit is to be had.
 *
 * @example
 * const known = new KnownRateLimits(self);
 * known.name(server, 1, undefined, clock.now());
 * known.isLimited(server); // true: requests need permits
 */
export class KnownRateLimits {
	readonly #limits = new Map<BackendId, KnownLimit>();

	constructor(private readonly self: InstanceId) {}

	/** Number of servers with a limit in force. */
	get size(): number {
		return this.#inForce.length;
	}

	/** The limits in force, in requests a second. */
	get inForce(): ReadonlyArray<{readonly server: BackendId; readonly value: number}> {
		return this.#inForce.map(([server, {requestsPerSecond}]) => ({server, value: requestsPerSecond!}));
	}

	/** The servers that have a limit of which no permit is to be had now, for no request. */
	exhausted(now: Instant): readonly BackendId[] {
		return this.#inForce.filter(([, {urgentDeniedUntil}]) => now < urgentDeniedUntil).map(([server]) => server);
	}

	/** The limits that a leader has recorded, for one that has yet to hear of them. */
	get recorded(): readonly ServerRateLimit[] {
		return [...this.#limits].flatMap(([server, {requestsPerSecond, revision, namedTo}]) => revision === undefined
			? []
			: [{
				server, requestsPerSecond, revision, namedTo,
			}]);
	}

	/** Whether requests to a server need permits. */
	isLimited(server: BackendId): boolean {
		return this.#limits.get(server)?.requestsPerSecond !== undefined;
	}

	/** The limit in force, in requests a second; undefined when there is none. */
	requestsPerSecond(server: BackendId): number | undefined {
		return this.#limits.get(server)?.requestsPerSecond;
	}

	/** What is recorded of a server's limit now; a request that is sent now is sent with that knowledge. */
	revisionOf(server: BackendId): LimitRevision | undefined {
		return this.#limits.get(server)?.revision;
	}

	/**
	 * Puts a limit in force that a response names, before the leader has recorded it; returns whether it is new. A request that was
	 * sent before the end of a former limit was known begins none.
	 */
	name(server: BackendId, requestsPerSecond: number, sentWith: LimitRevision | undefined, now: Instant): boolean {
		const known = this.#limits.get(server);
		if (known?.requestsPerSecond !== undefined || (known !== undefined && !isSame(known.revision, sentWith))) {
			return false;
		}

		this.#set(server, {
			requestsPerSecond, revision: known?.revision, namedTo: this.self, urgentDeniedUntil: now, deniedUntil: now, missingSince: known?.missingSince,
		});
		return true;
	}

	/** Applies what the leader has recorded; returns what changed. */
	apply(limits: readonly ServerRateLimit[], now: Instant): readonly LimitChange[] {
		return limits.flatMap(({server, requestsPerSecond, revision, namedTo}) => {
			const known = this.#limits.get(server);
			if (!isNewerRevision(revision, known?.revision)) {
				return [];
			}

			this.#set(server, {
				urgentDeniedUntil: now, deniedUntil: now, missingSince: undefined, ...known, requestsPerSecond, revision, namedTo,
			});
			return known?.requestsPerSecond === requestsPerSecond ? [] : [{server, before: known?.requestsPerSecond, requestsPerSecond}];
		});
	}

	/** Takes note that a request got no permit; later ones of its class, and less urgent ones, are not worth a question until then. */
	recordDenial(server: BackendId, permitClass: PermitClass, availableInMs: number, now: Instant): void {
		const known = this.#limits.get(server);
		if (known === undefined || permitClass === 'upkeep') {
			return;
		}

		const until = addMs(now, availableInMs);
		known.deniedUntil = Math.max(known.deniedUntil, until) as Instant;
		if (permitClass === 'urgent') {
			known.urgentDeniedUntil = until;
		}
	}

	/** Time until a permit may be had, in milliseconds; 0 when a question is worth it now. */
	availableInMs(server: BackendId, isUrgent: boolean, now: Instant): number {
		const known = this.#limits.get(server);
		return known?.requestsPerSecond === undefined ? 0 : Math.max(0, (isUrgent ? known.urgentDeniedUntil : known.deniedUntil) - now);
	}

	/** When the next time without permits ends; undefined when none is in force. */
	nextEnd(now: Instant): Instant | undefined {
		const ends = this.#inForce.flatMap(([, {urgentDeniedUntil, deniedUntil}]) => [urgentDeniedUntil, deniedUntil]).filter(end => end > now);
		return ends.length === 0 ? undefined : Math.min(...ends) as Instant;
	}

	/** Takes note of the servers that are listed; forgets those that are gone. */
	retain(listed: ReadonlySet<BackendId>, now: Instant): void {
		for (const [server, known] of this.#limits) {
			if (listed.has(server)) {
				known.missingSince = undefined;
			} else if (now - (known.missingSince ??= now) >= forgetAfterMs) {
				this.#limits.delete(server);
			}
		}
	}

	get #inForce(): ReadonlyArray<readonly [BackendId, KnownLimit]> {
		return this.#limits.size === 0 ? [] : [...this.#limits].filter(([, {requestsPerSecond}]) => requestsPerSecond !== undefined);
	}

	#set(server: BackendId, known: KnownLimit): void {
		if (!this.#limits.has(server) && this.#limits.size >= maxServers) {
			this.#limits.delete(this.#limits.keys().next().value!);
		}

		this.#limits.set(server, known);
	}
}

const isSame = (a: LimitRevision | undefined, b: LimitRevision | undefined): boolean => a?.term === b?.term && a?.count === b?.count;
