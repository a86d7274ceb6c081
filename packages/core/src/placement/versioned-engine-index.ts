/** Engines by software version: a request is placed on engines of one version. */
import type {EngineId, SoftwareVersion} from '../ids.js';
import {softwareVersionOf} from '../server-list.js';
import {BucketedEngineIndex} from './engine-index.js';
import type {EngineIndex, EngineView} from './types.js';

/**
 * One index for each software version.
 *
 * @example
 * const engines = new VersionedEngineIndex();
 * engines.set(view);
 * engines.of(version).byLoad('decode'); // Engines of that version only
 */
export class VersionedEngineIndex {
	readonly #indexes = new Map<SoftwareVersion, BucketedEngineIndex>();
	readonly #versions = new Map<EngineId, SoftwareVersion>();
	readonly #empty = new BucketedEngineIndex();

	/** The versions of which engines are indexed. */
	get versions(): readonly SoftwareVersion[] {
		return [...this.#indexes.keys()];
	}

	/** Number of views that decisions have examined so far. */
	get examined(): number {
		return [...this.#indexes.values()].reduce((sum, {examined}) => sum + examined, 0);
	}

	/** Memory pieces of the largest decode engine. */
	get largestPieces(): number {
		return Math.max(0, ...[...this.#indexes.values()].map(({largestPieces}) => largestPieces));
	}

	/** The engines of a version; none where it has no engines. */
	of(version: SoftwareVersion): EngineIndex {
		return this.#indexes.get(version) ?? this.#empty;
	}

	/** Adds or updates an engine. */
	set(view: EngineView): void {
		const version = softwareVersionOf(view);
		const before = this.#versions.get(view.id);
		if (before !== undefined && before !== version) {
			this.#indexes.get(before)?.delete(view.id);
		}

		this.#versions.set(view.id, version);
		const index = this.#indexes.get(version) ?? new BucketedEngineIndex();
		this.#indexes.set(version, index);
		index.set(view);
	}

	/** Removes all engines. */
	clear(): void {
		this.#indexes.clear();
		this.#versions.clear();
	}
}
