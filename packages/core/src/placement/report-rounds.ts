/** Decides when an owner asks the engines of its pools for their reports. */

/** Bounds of the time between two reports of an engine, in milliseconds: an engine that does not answer gets work again after 1500 ms without a report. */
const intervalBoundsMs = {min: 500, max: 1200} as const;
/** Time between two reports of an engine for each engine of its owner, in milliseconds. */
const intervalPerEngineMs = 8;

/**
 * Returns the interval at which an owner asks each of its engines for its report, in milliseconds.
 *
 * @example
 * reportIntervalMs(62); // 500
 * reportIntervalMs(140); // 1120
 */
export const reportIntervalMs = (engineCount: number): number => Math.min(intervalBoundsMs.max, Math.max(intervalBoundsMs.min, engineCount * intervalPerEngineMs));

/**
 * Asks the engines of one pool in turn, some at a time, since placement calls wait behind the reports of all engines at once. Turns that an owner misses
 * while it is behind are not made up for.
 *
 * @example
 * const rounds = new ReportRounds<EngineEntry>();
 * rounds.next(engines, 50, reportIntervalMs(engines.length)); // a tenth of them at an interval of 500 ms
 */
export class ReportRounds<Engine> {
	#next = 0;
	/** Engines that are due, with the fraction of the next one. */
	#due = 0;

	/** Returns the engines to ask in a turn, `turnMs` after the turn before it, so that each engine is asked once in `intervalMs`. */
	next(engines: readonly Engine[], turnMs: number, intervalMs: number): readonly Engine[] {
		this.#due = Math.min(engines.length, this.#due + (engines.length * turnMs / intervalMs));
		const count = Math.floor(this.#due);
		const from = this.#next < engines.length ? this.#next : 0;
		this.#due -= count;
		this.#next = from + count < engines.length ? from + count : from + count - engines.length;
		return [...engines.slice(from, from + count), ...engines.slice(0, Math.max(0, from + count - engines.length))];
	}
}
