/** Effects of a replica: those that rest on unsynced bytes wait for the sync. */
import type {ConsensusEffect, PersistEffect} from './types.js';

type DeferredEffect = {
	readonly sequence: number;
	readonly effect: ConsensusEffect;
};

/** Collects the effects of one step, and keeps back those that must wait. */
export class EffectQueue {
	#effects: ConsensusEffect[] = [];
	#deferred: DeferredEffect[] = [];
	#sequence = 0;
	#syncedSequence = 0;
	#applySequence = 0;

	/** Number of the last persist asked for. */
	get sequence(): number {
		return this.#sequence;
	}

	/** Lets an effect out at once. */
	push(effect: ConsensusEffect): void {
		this.#effects.push(effect);
	}

	/** Asks for bytes to be made durable; returns the number under which that is confirmed. */
	persist(bytes: Omit<PersistEffect, 'kind' | 'sequence'>): number {
		this.#sequence += 1;
		this.#effects.push({kind: 'persist', sequence: this.#sequence, ...bytes});
		return this.#sequence;
	}

	/** Lets an effect out once everything asked for so far is synced. */
	pushAfterSync(effect: ConsensusEffect): void {
		this.#pushWhenSynced(this.#sequence, effect);
	}

	/** Lets a change of the applied state out after earlier ones, and after a sync if asked. */
	pushApply(effect: ConsensusEffect, afterSync: boolean): void {
		this.#applySequence = afterSync ? this.#sequence : this.#applySequence;
		this.#pushWhenSynced(this.#applySequence, effect);
	}

	/** Notes a sync and lets out what waited for it. */
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

	/** Takes the effects of the step. */
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
