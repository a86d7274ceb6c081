/** The newest row of each instance, exchanged by gossip: heartbeats and the platform's list as the instance read it. */
import type {DataCentreId, InstanceId} from '../ids.js';
import type {Instant} from '../time.js';
import type {ServerListEntry, ServerListView} from './leaving-servers.js';

/** State that one instance publishes; peers forward it unchanged. */
export type MemberRow = {
	readonly id: InstanceId;
	readonly dataCentre: DataCentreId;
	/** Increases with every start of the instance. */
	readonly incarnation: number;
	/** Heartbeat counter; increases with every change of the row. */
	readonly beat: number;
	/** Whether the instance read the platform's list within the suspect timeout. */
	readonly listFresh: boolean;
	readonly marks: readonly ServerListEntry[];
};

/** Liveness of an instance. */
export type MemberState = 'alive' | 'suspect' | 'dead';

/** Timings of the membership, in milliseconds. */
export type MemberTimings = {
	/** Time without a newer row after which an instance is suspect. */
	readonly suspectTimeoutMs: number;
	/** Time without a newer row after which an instance is dead. */
	readonly deadTimeoutMs: number;
	/** Grace period during which a stale view of the list counts beside fresh ones. */
	readonly staleGraceMs: number;
};

type TrackedMember = {
	row: MemberRow;
	updatedAt: Instant;
	listFreshAt: Instant;
};

const isNewer = (row: MemberRow, known: MemberRow): boolean => row.incarnation > known.incarnation
	|| (row.incarnation === known.incarnation && row.beat > known.beat);

/**
 * Keeps the newest row of each instance and when it changed on this instance's clock.
 *
 * @see van Renesse, Minsky and Hayden, "A Gossip-Style Failure Detection Service", 1998.
 * @example
 * const table = new MemberTable(timings);
 * table.merge(rows, clock.now());
 * table.stateOf(id, clock.now()); // 'alive'
 */
export class MemberTable {
	readonly #rows = new Map<InstanceId, TrackedMember>();

	constructor(private readonly timings: MemberTimings) {}

	/** The newest rows. */
	get rows(): readonly MemberRow[] {
		return [...this.#rows.values()].map(({row}) => row);
	}

	/** Merges rows; those not newer than the known ones are ignored. */
	merge(rows: readonly MemberRow[], now: Instant): void {
		for (const row of rows) {
			const known = this.#rows.get(row.id);
			if (known === undefined || isNewer(row, known.row)) {
				this.#rows.set(row.id, {row, updatedAt: now, listFreshAt: row.listFresh ? now : known?.listFreshAt ?? now});
			}
		}
	}

	/** Liveness of an instance; an unknown one is dead. */
	stateOf(id: InstanceId, now: Instant): MemberState {
		const tracked = this.#rows.get(id);
		const sinceUpdateMs = tracked === undefined ? Number.POSITIVE_INFINITY : now - tracked.updatedAt;
		if (sinceUpdateMs <= this.timings.suspectTimeoutMs) {
			return 'alive';
		}

		return sinceUpdateMs <= this.timings.deadTimeoutMs ? 'suspect' : 'dead';
	}

	/** The newest row of an instance. */
	newestOf(id: InstanceId): MemberRow | undefined {
		return this.#rows.get(id)?.row;
	}

	/** Every instance's view of the platform's list. */
	views(now: Instant): readonly ServerListView[] {
		return [...this.#rows.values()].map(({row, updatedAt, listFreshAt}) => {
			const isFresh = row.listFresh && now - updatedAt <= this.timings.suspectTimeoutMs;
			return {marks: row.marks, staleMs: isFresh ? 0 : Math.max(1, now - listFreshAt)};
		});
	}
}
