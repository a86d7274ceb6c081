/** A replica's log in memory: a base snapshot and the entries after it. */
import type {LogIndex, LogTime} from '../control/control-command.js';
import {toId} from '../ids.js';
import {invariant} from '../invariant.js';
import type {
	LogEntry, ReplicaMembership, Snapshot, Term,
} from './types.js';

/** The base snapshot of a replica with an empty log. */
export const emptySnapshot: Snapshot = {
	index: toId<LogIndex>(0), term: toId<Term>(0), at: toId<LogTime>(0), membership: {voters: [], learners: []}, state: undefined,
};

/** Entries by index, with the membership resulting from them. */
export class InMemoryLog {
	#base: Snapshot;
	#entries: LogEntry[];
	#membership: ReplicaMembership;

	constructor(base: Snapshot, entries: readonly LogEntry[]) {
		this.#base = base;
		this.#entries = [...entries];
		this.#membership = this.#findMembership();
	}

	/** The snapshot that the entries follow. */
	get base(): Snapshot {
		return this.#base;
	}

	/** Index of the last entry. */
	get lastIndex(): LogIndex {
		return (this.#base.index + this.#entries.length) as LogIndex;
	}

	/** Term of the last entry. */
	get lastTerm(): Term {
		return this.#entries.at(-1)?.term ?? this.#base.term;
	}

	/** Time of the last entry. */
	get lastTime(): LogTime {
		return this.#entries.at(-1)?.at ?? this.#base.at;
	}

	/** The latest membership in the log, committed or not. */
	get membership(): ReplicaMembership {
		return this.#membership;
	}

	/** Term of an entry; undefined when the log does not contain it. */
	termAt(index: LogIndex): Term | undefined {
		return index === this.#base.index ? this.#base.term : this.entryAt(index)?.term;
	}

	/** The entry at an index. */
	entryAt(index: LogIndex): LogEntry | undefined {
		return this.#entries[index - this.#base.index - 1];
	}

	/** Entries from an index on, at most `count`. */
	slice(from: LogIndex, count = Number.POSITIVE_INFINITY): readonly LogEntry[] {
		const start = from - this.#base.index - 1;
		invariant(start >= 0, 'LOG_GONE', `entry ${from} is behind the snapshot at ${this.#base.index}`);
		return this.#entries.slice(start, start + count);
	}

	/** Replaces everything from the first entry's index on. */
	replaceFrom(entries: readonly LogEntry[]): void {
		const start = entries[0]!.index - this.#base.index - 1;
		invariant(start >= 0 && start <= this.#entries.length, 'LOG_GAP', `entry ${entries[0]!.index} does not follow ${this.lastIndex}`);
		const isTruncated = start < this.#entries.length;
		this.#entries.length = start;
		for (const entry of entries) {
			this.#entries.push(entry);
			if (entry.payload.kind === 'membership') {
				this.#membership = entry.payload.membership;
			}
		}

		if (isTruncated) {
			this.#membership = this.#findMembership();
		}
	}

	/** Replaces the entries up to a snapshot, or the whole log, by the snapshot. */
	rebase(snapshot: Snapshot, keepsTail: boolean): void {
		this.#entries = keepsTail ? this.#entries.slice(snapshot.index - this.#base.index) : [];
		this.#base = snapshot;
		this.#membership = this.#findMembership();
	}

	/** The membership in force at an index of the log. */
	membershipAt(index: LogIndex): ReplicaMembership {
		return this.#findMembership(index);
	}

	/** First index of the contiguous entries with the same term as the entry at `index`. */
	firstIndexOfTerm(index: LogIndex): LogIndex {
		const term = this.termAt(index);
		let first = index;
		while (first > this.#base.index + 1 && this.termAt((first - 1) as LogIndex) === term) {
			first = (first - 1) as LogIndex;
		}

		return first;
	}

	/** Index of the last entry of a term at or before `from`; undefined when there is none. */
	lastIndexOfTerm(term: Term, from: LogIndex): LogIndex | undefined {
		for (let index = Math.min(from, this.lastIndex) as LogIndex; index > this.#base.index; index = (index - 1) as LogIndex) {
			if (this.termAt(index) === term) {
				return index;
			}
		}

		return undefined;
	}

	#findMembership(upTo: LogIndex = this.lastIndex): ReplicaMembership {
		for (let index = upTo; index > this.#base.index; index = (index - 1) as LogIndex) {
			const payload = this.entryAt(index)?.payload;
			if (payload?.kind === 'membership') {
				return payload.membership;
			}
		}

		return this.#base.membership;
	}
}
