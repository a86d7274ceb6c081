/** Engines in buckets by load, so that a decision examines only a few of them regardless of their number. */
import type {EngineRole} from '../catalogue/types.js';
import type {EngineId} from '../ids.js';
import {pickIndex} from '../random.js';
import type {RandomSource} from '../random.js';
import type {EngineIndex, EngineView} from './types.js';

const decodeLevelCount = 64;
const prefillLevelCount = 64;
/** Queued prefill tokens per load level. */
const prefillTokensPerLevel = 2048;

type IndexEntry = {
	view: EngineView;
	readonly level: number;
	/** Index in its level. */
	levelIndex: number;
	/** Index among all engines of its role. */
	memberIndex: number;
};

type RoleBuckets = {
	readonly levels: IndexEntry[][];
	readonly members: IndexEntry[];
};

const loadLevelOf = (view: EngineView): number => {
	if (view.role === 'prefill') {
		return Math.min(prefillLevelCount - 1, Math.floor(view.queuedTokens / prefillTokensPerLevel));
	}

	const memory = 1 - (view.freePieces / view.pieces);
	const streams = view.running / view.maxStreams;
	return Math.min(decodeLevelCount - 1, Math.floor(Math.max(memory, streams) * (decodeLevelCount - 1)));
};

/** Removes the element at `index` by moving the last element there; returns the moved element, or undefined when none moved. */
const swapRemove = (slots: IndexEntry[], index: number): IndexEntry | undefined => {
	const last = slots.pop()!;
	if (index === slots.length) {
		return undefined;
	}

	slots[index] = last;
	return last;
};

const createBuckets = (levels: number): RoleBuckets => ({levels: Array.from({length: levels}, () => []), members: []});

/**
 * Indexes engines by role and load. Updating an engine and finding the least loaded one take constant time in the number of engines.
 *
 * @example
 * const index = new BucketedEngineIndex();
 * index.set(view);
 * const [leastLoaded] = index.byLoad('decode');
 */
export class BucketedEngineIndex implements EngineIndex {
	readonly #entries = new Map<EngineId, IndexEntry>();
	readonly #roles: Readonly<Record<EngineRole, RoleBuckets>> = {prefill: createBuckets(prefillLevelCount), decode: createBuckets(decodeLevelCount)};
	#largestPieces = 0;
	#examined = 0;

	/** Number of views returned by `byLoad` and `sample` so far. */
	get examined(): number {
		return this.#examined;
	}

	get largestPieces(): number {
		return this.#largestPieces;
	}

	/** Adds or updates an engine; removes it when it is leaving or closed. */
	set(view: EngineView): void {
		const existing = this.#entries.get(view.id);
		const takesWork = !view.leaving && view.isClosed !== true;
		if (existing?.level === loadLevelOf(view) && existing.view.role === view.role && takesWork) {
			existing.view = view;
			return;
		}

		this.delete(view.id);
		if (!takesWork) {
			return;
		}

		const {levels, members} = this.#roles[view.role];
		const level = loadLevelOf(view);
		const slot: IndexEntry = {
			view, level, levelIndex: levels[level]!.length, memberIndex: members.length,
		};
		levels[level]!.push(slot);
		members.push(slot);
		this.#entries.set(view.id, slot);
		if (view.role === 'decode') {
			this.#largestPieces = Math.max(this.#largestPieces, view.pieces);
		}
	}

	delete(id: EngineId): void {
		const slot = this.#entries.get(id);
		if (slot === undefined) {
			return;
		}

		this.#entries.delete(id);
		const {levels, members} = this.#roles[slot.view.role];
		const movedInLevel = swapRemove(levels[slot.level]!, slot.levelIndex);
		if (movedInLevel !== undefined) {
			movedInLevel.levelIndex = slot.levelIndex;
		}

		const movedMember = swapRemove(members, slot.memberIndex);
		if (movedMember !== undefined) {
			movedMember.memberIndex = slot.memberIndex;
		}
	}

	/** Removes all engines. */
	clear(): void {
		this.#entries.clear();
		this.#largestPieces = 0;
		for (const {levels, members} of Object.values(this.#roles)) {
			members.length = 0;
			for (const level of levels) {
				level.length = 0;
			}
		}
	}

	get(id: EngineId): EngineView | undefined {
		return this.#entries.get(id)?.view;
	}

	* byLoad(role: EngineRole): Generator<EngineView> {
		for (const level of this.#roles[role].levels) {
			for (const slot of level) {
				this.#examined += 1;
				yield slot.view;
			}
		}
	}

	sample(role: EngineRole, random: RandomSource): EngineView | undefined {
		const {members} = this.#roles[role];
		if (members.length === 0) {
			return undefined;
		}

		this.#examined += 1;
		return members[pickIndex(random, members.length)]!.view;
	}
}
