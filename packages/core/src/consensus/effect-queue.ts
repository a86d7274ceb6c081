/** Effects of a replica; those that depend on unsynced bytes are deferred until the sync. */
import type {ConsensusEffect, PersistEffect} from './types.js';

type DeferredEffect = {
	readonly sequence: number;
	readonly effect: ConsensusEffect;
};

/** Collects the effects of one step and defers those that require a sync. */
export class EffectQueue {
	#effects: ConsensusEffect[] = [];
	#deferred: DeferredEffect[] = [];
	#sequence = 0;
	#syncedSequence = 0;
	#applySequence = 0;

	/** Sequence number of the last requested persist. */
	get sequence(): number {
		return this.#sequence;
	}

	/** Emits an effect in the current step. */
	push(effect: ConsensusEffect): void {
		this.#effects.push(effect);
	}

	/** Requests that bytes be made durable; returns the sequence number that confirms it. */
	persist(bytes: Omit<PersistEffect, 'kind' | 'sequence'>): number {
		this.#sequence += 1;
		this.#effects.push({kind: 'persist', sequence: this.#sequence, ...bytes});
		return this.#sequence;
	}

	/** Emits an effect once every persist requested so far is synced. */
	pushAfterSync(effect: ConsensusEffect): void {
		this.#pushWhenSynced(this.#sequence, effect);
	}

	/** Emits a change of the applied state after earlier ones, and after the requested persists if `afterSync`. */
	pushApply(effect: ConsensusEffect, afterSync: boolean): void {
		this.#applySequence = afterSync ? this.#sequence : this.#applySequence;
		this.#pushWhenSynced(this.#applySequence, effect);
	}

	/** Records a sync and emits the effects deferred until it. */
	releaseSynced(sequence: number): void {
		this.#syncedSequence = Math.max(this.#syncedSequence, sequence);
		const remaining: DeferredEffect[] = [];
		for (const item of this.#deferred) {
			if (item.sequence <= this.#syncedSequence) {
				this.#effects.push(item.effect);
			} else {
				remaining.push(item);
			}
		}

		this.#deferred = remaining;
	}

	/** Removes and returns the emitted effects. */
	takeAll(): ConsensusEffect[] {
		const effects = this.#effects;
		this.#effects = [];
		return effects;
	}

	#pushWhenSynced(sequence: number, effect: ConsensusEffect): void {
		if (sequence <= this.#syncedSequence) {
			this.#effects.push(effect);
		} else {
			this.#deferred.push({sequence, effect});
		}
	}
}
