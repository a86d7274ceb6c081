/** Log lines of events that clients can cause as often as they like. */
import type {Log, LogFields} from './log.js';

/** Interval in which an event is logged once if nothing else is given, in milliseconds. */
const defaultIntervalMs = 10_000;

/**
 * Counts an event, and logs it at most once in an interval, with its number since the start.
 *
 * @example
 * const displaced = new CountedLog(log, 'Connections are closed, as there are too many.');
 * displaced.add({connections: 339});
 */
export class CountedLog {
	#count = 0;
	#loggedAt = Number.NEGATIVE_INFINITY;

	constructor(private readonly log: Log, private readonly sentence: string, private readonly now: () => number = () => performance.now(), private readonly intervalMs: number = defaultIntervalMs) {}

	/** How often the event has happened. */
	get count(): number {
		return this.#count;
	}

	add(fields: LogFields = {}): void {
		this.#count += 1;
		if (this.now() - this.#loggedAt >= this.intervalMs) {
			this.#loggedAt = this.now();
			this.log(this.sentence, {...fields, count: this.#count});
		}
	}
}
