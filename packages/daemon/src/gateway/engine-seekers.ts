/** Streams of silent engines that look for another engine. */
import type {EngineId} from '@baobabpier/core';

/** Delay of the second stream of an engine, in milliseconds; it grows with the logarithm of their number. */
const seekerDelayMs = 100;

/**
 * Spreads the streams of one silent engine over time: the engine may go on at any moment, and should not have lost all of them by then.
 *
 * @example
 * const {delayMs, end} = seekers.begin(engine); // 0 for the first stream of an engine
 */
export class EngineSeekers {
	readonly #counts = new Map<EngineId, number>();

	/** Counts one more stream of an engine; returns how long it waits, and a function that ends its search. */
	begin(engine: EngineId): {readonly delayMs: number; readonly end: () => void} {
		const others = this.#counts.get(engine) ?? 0;
		this.#counts.set(engine, others + 1);
		return {
			delayMs: seekerDelayMs * Math.log2(1 + others),
			end: () => {
				const left = this.#counts.get(engine)! - 1;
				if (left === 0) {
					this.#counts.delete(engine);
				} else {
					this.#counts.set(engine, left);
				}
			},
		};
	}
}
