/** This instance's copy of the control state, with the latest entries for the instances that follow it. */
import {ControlState, toId} from '@baobabpier/core';
import type {
	AppliedListener,
	ControlStateSnapshot,
	ControlCommandKind,
	ControlCommandResults,
	ControlUpdate,
	LogEntry,
	LogIndex,
} from '@baobabpier/core';
import {createLog} from '../log.js';

const log = createLog('control');
const retentionMs = 24 * 60 * 60 * 1000;
const maxRecords = 100_000;
const keptEntries = 2000;
/** Bound of the content of the entries that are kept, in characters: some of the largest configurations. */
const keptContent = 8 * 1024 * 1024;
const maxEntriesPerUpdate = 500;

type Waiter = {
	readonly index: number;
	readonly resolve: () => void;
};

/** Called for each applied entry with its result. */
export type ResultListener = (entry: LogEntry, result: ControlCommandResults[ControlCommandKind] | undefined) => void;

/** Applies entries and snapshots, and notifies those that wait for them. */
export class AppliedLog {
	readonly state = new ControlState({retentionMs, maxRecords});
	readonly #listeners = new Set<AppliedListener>();
	#entries: LogEntry[] = [];
	/** Content of these entries, in characters. */
	#content = 0;
	#waiters: Waiter[] = [];
	#isOpen = false;

	/** Starts to notify listeners of changes, and notifies them of the present state. */
	open(): void {
		if (!this.#isOpen) {
			this.#isOpen = true;
			this.#notifyReplaced();
		}
	}

	/** Registers a listener; returns the teardown. */
	registerListener(listener: AppliedListener): () => void {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	/** Applies the entries that follow the last applied one; ignores others. */
	apply(entries: readonly LogEntry[], onResult?: ResultListener): void {
		for (const entry of entries) {
			if (entry.index === this.state.index + 1) {
				this.#applyOne(entry, onResult);
			}
		}

		this.#wake();
	}

	/** Replaces the state with a newer one. */
	restore(capture: ControlStateSnapshot): void {
		if (capture.index <= this.state.index) {
			return;
		}

		this.state.restore(capture);
		this.#entries = [];
		this.#content = 0;
		this.#notifyReplaced();
		this.#wake();
	}

	/** Returns what a follower that has everything up to `after` lacks. */
	updateAfter(after: LogIndex): ControlUpdate {
		const first = this.#entries[0]?.index ?? this.state.index + 1;
		if (after < this.state.index && (after === 0 || after + 1 < first)) {
			return {kind: 'capture', capture: this.state.takeSnapshot()};
		}

		const start = Math.max(0, after + 1 - first);
		return {kind: 'entries', entries: this.#entries.slice(start, start + maxEntriesPerUpdate)};
	}

	/** Resolves once `index` is applied; rejects with the signal's reason. */
	async waitFor(index: number, signal: AbortSignal): Promise<void> {
		signal.throwIfAborted();
		if (index <= this.state.index) {
			return;
		}

		await new Promise<void>((resolve, reject) => {
			const waiter = {index, resolve};
			this.#waiters.push(waiter);
			signal.addEventListener('abort', () => {
				this.#waiters = this.#waiters.filter(item => item !== waiter);
				reject(signal.reason as Error);
			}, {once: true});
		});
	}

	#applyOne(entry: LogEntry, onResult?: ResultListener): void {
		const result = this.state.applyEntry(entry);
		this.#entries.push(entry);
		this.#content += contentOf(entry);
		if (this.#entries.length > keptEntries * 2 || this.#content > keptContent) {
			this.#dropOldest();
		}

		onResult?.(entry, result);
		if (this.#isOpen && entry.payload.kind === 'command') {
			this.#notify({index: entry.index, at: entry.at, command: entry.payload.command});
		}
	}

	/** Keeps the newest entries within half of both bounds, and the last one in any case; followers that lack the others get the whole state. */
	#dropOldest(): void {
		let first = this.#entries.length - 1;
		let content = contentOf(this.#entries[first]!);
		while (first > 0 && this.#entries.length - first < keptEntries) {
			const next = content + contentOf(this.#entries[first - 1]!);
			if (next > keptContent / 2) {
				break;
			}

			content = next;
			first -= 1;
		}

		this.#entries = this.#entries.slice(first);
		this.#content = content;
	}

	#notifyReplaced(): void {
		if (this.#isOpen) {
			this.#notify(undefined);
		}
	}

	/** A listener that fails keeps neither the others nor the entries that follow from taking effect. */
	#notify(entry: Parameters<AppliedListener>[0]): void {
		for (const listener of this.#listeners) {
			try {
				listener(entry);
			} catch (error) {
				log('A listener of the control state failed.', {index: this.state.index, command: entry?.command.kind, error: (error as Error).stack});
			}
		}
	}

	#wake(): void {
		const ready = this.#waiters.filter(({index}) => index <= this.state.index);
		this.#waiters = this.#waiters.filter(({index}) => index > this.state.index);
		for (const {resolve} of ready) {
			resolve();
		}
	}
}

/** Length of all texts and buffers within an entry. */
const contentOf = (value: unknown): number => {
	if (typeof value === 'string' || value instanceof Uint8Array) {
		return value.length;
	}

	return typeof value === 'object' && value !== null ? Object.values(value).reduce<number>((sum, part) => sum + contentOf(part), 0) : 0;
};

/** The index before the first entry. */
export const noIndex = toId<LogIndex>(0);
