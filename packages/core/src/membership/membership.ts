/** Gossip membership of one instance: its own row, its peers' rows, and the states derived from them. */
import type {DataCentreId, InstanceId} from '../ids.js';
import type {Instant} from '../time.js';
import {mergeLeavingServers} from './leaving-servers.js';
import type {ServerListEntry} from './leaving-servers.js';
import {MemberTable} from './member-table.js';
import type {MemberRow, MemberState, MemberTimings} from './member-table.js';

/** Input of the membership. */
export type MembershipEvent =
	/** The platform's list was read. */
	| {readonly kind: 'list'; readonly entries: readonly ServerListEntry[]}
	/** Reading the platform's list failed or timed out. */
	| {readonly kind: 'listFailed'}
	/** A peer sent rows. */
	| {readonly kind: 'rows'; readonly rows: readonly MemberRow[]}
	/** The heartbeat interval elapsed. */
	| {readonly kind: 'tick'};

/** Output of the membership. */
export type MembershipEffect =
	/** The set of leaving servers changed. */
	| {readonly kind: 'leavingChanged'; readonly leaving: ReadonlySet<string>}
	/** The rows changed and must be sent to peers without waiting for the next heartbeat. */
	| {readonly kind: 'push'}
	| {readonly kind: 'memberChanged'; readonly id: InstanceId; readonly state: MemberState};

/** The instance that a membership belongs to. */
export type LocalMember = {
	readonly id: InstanceId;
	readonly dataCentre: DataCentreId;
	/** Increases with every start; advances past a higher incarnation of this instance in a peer's rows. */
	readonly incarnation: number;
};

const isSameSet = (a: ReadonlySet<string>, b: ReadonlySet<string>): boolean => a.size === b.size && [...a].every(id => b.has(id));

/**
 * Detects failed instances and leaving servers from exchanged rows.
 *
 * @example
 * const membership = new Membership(self, timings, clock.now());
 * const effects = membership.step({kind: 'list', entries}, clock.now());
 */
export class Membership {
	readonly #table: MemberTable;
	readonly #states = new Map<InstanceId, MemberState>();
	#ownRow: MemberRow;
	#leaving: ReadonlySet<string> = new Set();
	#listReadAt: Instant | undefined;

	constructor(self: LocalMember, private readonly timings: MemberTimings, now: Instant) {
		this.#ownRow = {
			...self, beat: 0, listFresh: false, marks: [],
		};
		this.#table = new MemberTable(timings);
		this.#table.merge([this.#ownRow], now);
	}

	/** Servers that accept no new requests. */
	get leaving(): ReadonlySet<string> {
		return this.#leaving;
	}

	/** The rows to send to peers, including this instance's own. */
	get rows(): readonly MemberRow[] {
		return this.#table.rows;
	}

	/** Liveness of an instance. */
	stateOf(id: InstanceId, now: Instant): MemberState {
		return this.#table.stateOf(id, now);
	}

	/** The incarnation of an instance's newest row. */
	incarnationOf(id: InstanceId): number | undefined {
		return this.#table.newestOf(id)?.incarnation;
	}

	/** Handles an event and returns the effects to perform, in order. */
	step(event: MembershipEvent, now: Instant): MembershipEffect[] {
		switch (event.kind) {
			case 'list': {
				this.#listReadAt = now;
				return this.#updateOwnRow(this.#selectRelevantEntries(event.entries), now);
			}

			case 'listFailed': {
				return this.#updateOwnRow(this.#ownRow.marks, now);
			}

			case 'tick': {
				return [...this.#updateOwnRow(this.#ownRow.marks, now), ...this.#updateStates(now)];
			}

			case 'rows': {
				this.#advanceIncarnation(event.rows);
				this.#table.merge(event.rows.filter(row => row.id !== this.#ownRow.id), now);
				return [...this.#updateLeaving(now), ...this.#updateStates(now)];
			}
		}
	}

	/** Selects the entries to publish: leaving servers, and live ones that appear in the rows of some instance. */
	#selectRelevantEntries(entries: readonly ServerListEntry[]): readonly ServerListEntry[] {
		const contested = new Set(this.#table.rows.flatMap(row => row.marks).map(({id}) => id));
		return entries.filter(({id, state}) => state === 'leaving' || contested.has(id));
	}

	#updateOwnRow(marks: readonly ServerListEntry[], now: Instant): MembershipEffect[] {
		const hasChanged = JSON.stringify(marks) !== JSON.stringify(this.#ownRow.marks);
		const listFresh = this.#listReadAt !== undefined && now - this.#listReadAt <= this.timings.suspectTimeoutMs;
		this.#ownRow = {
			...this.#ownRow, beat: this.#ownRow.beat + 1, listFresh, marks,
		};
		this.#table.merge([this.#ownRow], now);
		const effects = this.#updateLeaving(now);
		return hasChanged ? [...effects, {kind: 'push'}] : effects;
	}

	/** Advances the incarnation past that of an earlier run of this instance that a peer still reports. */
	#advanceIncarnation(rows: readonly MemberRow[]): void {
		const conflicting = rows.find(row => row.id === this.#ownRow.id && row.incarnation > this.#ownRow.incarnation);
		if (conflicting !== undefined) {
			this.#ownRow = {...this.#ownRow, incarnation: conflicting.incarnation + 1};
		}
	}

	#updateLeaving(now: Instant): MembershipEffect[] {
		const leaving = mergeLeavingServers(this.#table.views(now), this.timings.staleGraceMs);
		if (isSameSet(leaving, this.#leaving)) {
			return [];
		}

		this.#leaving = leaving;
		return [{kind: 'leavingChanged', leaving}];
	}

	#updateStates(now: Instant): MembershipEffect[] {
		const effects: MembershipEffect[] = [];
		for (const {id} of this.#table.rows) {
			const state = this.#table.stateOf(id, now);
			if (state !== this.#states.get(id)) {
				this.#states.set(id, state);
				effects.push({kind: 'memberChanged', id, state});
			}
		}

		return effects;
	}
}
