/** A replica's log and hard state, with the synced and applied indexes. */
import type {ControlCommand, LogIndex, LogTime} from '../control/control-command.js';
import {InMemoryLog} from './in-memory-log.js';
import {EffectQueue} from './effect-queue.js';
import type {
	EntryPayload,
	HardState,
	LogEntry,
	Snapshot,
} from './types.js';

/** Log and hard state recovered from disk. */
export type RecoveredLog = {
	readonly hard: HardState;
	readonly snapshot: Snapshot;
	readonly entries: readonly LogEntry[];
};

/** Changes the log and the hard state, and requests that each change be made durable. */
export class ReplicaStore {
	readonly log: InMemoryLog;
	readonly effects = new EffectQueue();
	readonly #requiresDurableCommit: (command: ControlCommand) => boolean;
	#hardState: HardState;
	#syncedIndex: LogIndex;
	#appliedIndex: LogIndex;
	#unsynced: Array<{readonly sequence: number; readonly last: LogIndex}> = [];

	constructor(recovered: RecoveredLog, requiresDurableCommit: (command: ControlCommand) => boolean) {
		this.log = new InMemoryLog(recovered.snapshot, recovered.entries);
		this.#requiresDurableCommit = requiresDurableCommit;
		this.#hardState = recovered.hard;
		this.#syncedIndex = this.log.lastIndex;
		this.#appliedIndex = recovered.snapshot.index;
	}

	/** The latest hard state, including changes not yet synced. */
	get hardState(): HardState {
		return this.#hardState;
	}

	/** Last index that is synced on this replica. */
	get syncedIndex(): LogIndex {
		return this.#syncedIndex;
	}

	/** Applies the entries that were known to be committed before the restart. */
	replayCommitted(): void {
		if (this.log.base.index > 0) {
			this.effects.push({kind: 'restore', snapshot: this.log.base});
		}

		if (this.#hardState.commit > this.#appliedIndex) {
			this.effects.push({kind: 'apply', entries: this.#takeCommitted()});
		}
	}

	/** Joins the log of a cluster; durable with the next persist. */
	adoptCluster(cluster: string): void {
		this.#hardState = {...this.#hardState, cluster};
	}

	/** Changes the hard state; returns the sequence number of the persist. */
	persistHardState(change: Partial<HardState>): number {
		this.#hardState = {...this.#hardState, ...change};
		return this.effects.persist({hard: this.#hardState, entries: [], snapshot: undefined});
	}

	/** Appends entries created by this leader; entry times never decrease. */
	append(payloads: readonly EntryPayload[], at: LogTime): void {
		const time = Math.max(at, this.log.lastTime) as LogTime;
		const first = this.log.lastIndex + 1;
		this.storeEntries(payloads.map((payload, offset) => ({
			index: (first + offset) as LogIndex, term: this.#hardState.term, at: time, payload,
		})));
	}

	/** Stores entries, replacing the log from the first entry's index on. */
	storeEntries(entries: readonly LogEntry[]): void {
		this.log.replaceFrom(entries);
		this.#trackUnsynced(this.effects.persist({hard: this.#hardState, entries, snapshot: undefined}));
	}

	/** Advances the commit index; returns whether a command that requires a durable commit was committed. */
	commitTo(index: LogIndex): boolean {
		if (index <= this.#hardState.commit) {
			return false;
		}

		this.#hardState = {...this.#hardState, commit: index};
		const entries = this.#takeCommitted();
		const hasDurableCommand = entries.some(({payload}) => payload.kind === 'command' && this.#requiresDurableCommit(payload.command));
		if (hasDurableCommand) {
			this.persistHardState({});
		}

		this.effects.pushApply({kind: 'apply', entries}, hasDurableCommand);
		return hasDurableCommand;
	}

	/** Replaces the local state by a leader's snapshot. */
	installSnapshot(snapshot: Snapshot): void {
		const keepsTail = this.log.termAt(snapshot.index) === snapshot.term;
		this.log.rebase(snapshot, keepsTail);
		this.#hardState = {...this.#hardState, commit: snapshot.index};
		this.#trackUnsynced(this.effects.persist({hard: this.#hardState, entries: [], snapshot: {snapshot, keepsTail}}));
		this.#appliedIndex = snapshot.index;
		this.effects.pushApply({kind: 'restore', snapshot}, true);
	}

	/** Replaces the committed entries up to an index by a snapshot of the state. */
	compact(index: LogIndex, state: unknown): void {
		const entry = this.log.entryAt(index);
		if (entry === undefined || index > this.#hardState.commit) {
			return;
		}

		const snapshot: Snapshot = {
			index, term: entry.term, at: entry.at, membership: this.log.membershipAt(index), state,
		};
		this.log.rebase(snapshot, true);
		this.effects.persist({hard: this.#hardState, entries: [], snapshot: {snapshot, keepsTail: true}});
	}

	/** Records that every persist up to `sequence` is synced. */
	handleSynced(sequence: number): void {
		this.effects.releaseSynced(sequence);
		this.#syncedIndex = this.#unsynced.findLast(item => item.sequence <= sequence)?.last ?? this.#syncedIndex;
		this.#unsynced = this.#unsynced.filter(item => item.sequence > sequence);
	}

	#takeCommitted(): readonly LogEntry[] {
		const entries = this.log.slice((this.#appliedIndex + 1) as LogIndex, this.#hardState.commit - this.#appliedIndex);
		this.#appliedIndex = this.#hardState.commit;
		return entries;
	}

	#trackUnsynced(sequence: number): void {
		this.#syncedIndex = Math.min(this.#syncedIndex, this.log.lastIndex) as LogIndex;
		this.#unsynced.push({sequence, last: this.log.lastIndex});
	}
}
