/** The quarantined segment sets: part of the replicated control state. */
import type {EngineId, RequestId} from '../ids.js';
import {includesSegments, segmentSetKey} from './types.js';
import type {SegmentSet} from './types.js';

/** Time after which a quarantine ends, in milliseconds. */
export const quarantineTtlMs = 3_600_000;
/** Maximum number of quarantined sets; the oldest gives way. */
const maxEntries = 64;

/** A crash behind a quarantine. */
export type RecordedCrash = {
	readonly engine: EngineId;
	/** Milliseconds since the epoch. */
	readonly at: number;
	readonly requestIds: readonly RequestId[];
};

/** A segment set whose requests are refused. */
export type QuarantineEntry = {
	readonly segments: SegmentSet;
	/** The instance or operator who decided. */
	readonly decidedBy: string;
	readonly reason: string;
	readonly crashes: readonly RecordedCrash[];
};

/** An entry in force. */
export type ActiveQuarantine = QuarantineEntry & {
	/** Milliseconds since the epoch. */
	readonly since: number;
};

/** The table as JSON values. */
export type QuarantineSnapshot = {
	readonly revision: number;
	readonly entries: readonly ActiveQuarantine[];
};

/**
 * Keeps the quarantined sets. A set that contains a quarantined one adds nothing; a new set replaces those that contain it.
 *
 * @example
 * const table = new QuarantineTable();
 * table.add({segments, decidedBy: 'operator', reason: 'reported by hand', crashes: []}, at).added; // true
 */
export class QuarantineTable {
	#revision = 0;
	#entries: readonly ActiveQuarantine[] = [];

	/** Increases with each change. */
	get revision(): number {
		return this.#revision;
	}

	get entries(): readonly ActiveQuarantine[] {
		return this.#entries;
	}

	/** Adds a set; `at` is in milliseconds since the epoch. */
	add(entry: QuarantineEntry, at: number): {readonly added: boolean} {
		if (entry.segments.length === 0 || this.#entries.some(({segments}) => includesSegments(entry.segments, segments))) {
			return {added: false};
		}

		const others = this.#entries.filter(({segments}) => !includesSegments(segments, entry.segments));
		this.#entries = [...others, {...entry, since: at}].slice(-maxEntries);
		this.#revision += 1;
		return {added: true};
	}

	/** Removes a set. */
	lift(set: SegmentSet): {readonly lifted: boolean} {
		const others = this.#entries.filter(({segments}) => segmentSetKey(segments) !== segmentSetKey(set));
		const lifted = others.length < this.#entries.length;
		if (lifted) {
			this.#entries = others;
			this.#revision += 1;
		}

		return {lifted};
	}

	takeSnapshot(): QuarantineSnapshot {
		return {revision: this.#revision, entries: this.#entries};
	}

	/** Replaces the table with the one in a snapshot; without one, empties it. */
	restore(snapshot: QuarantineSnapshot | undefined): void {
		this.#revision = snapshot?.revision ?? 0;
		this.#entries = snapshot?.entries ?? [];
	}
}
