/** Tells callers that come back from those that are new, by the time that they have left. */
import type {Instant} from '../time.js';
import type {RouteName} from './types.js';

/** How long the longest patience seen on a route counts, in milliseconds: a changed timeout of the callers shows after that. */
const memoryMs = 20_000;
/** Less time gone than this is a new connection's or a link's, in milliseconds. */
const toleranceMs = 150;

type Seen = {
	from: Instant;
	longestMs: number;
	/** The longest in the span before. */
	beforeMs: number;
};

/**
 * Keeps the longest patience of each route's callers. Answers bursts in which callers that were refused come back among
 * new ones: a caller with less time left has waited before, and its answer can't be in time any more.
 *
 * @example
 * const patience = new CallerPatience();
 * patience.elapsedMs(route.name, 14_000, now); // 0
 * patience.elapsedMs(route.name, 11_500, now); // 2500: it comes back
 */
export class CallerPatience {
	readonly #routes = new Map<RouteName, Seen>();

	/** Milliseconds that a caller spent before this call; 0 for a new one, and where callers say nothing. */
	elapsedMs(route: RouteName, patienceMs: number | undefined, now: Instant): number {
		if (patienceMs === undefined) {
			return 0;
		}

		const seen = this.#seen(route, now);
		seen.longestMs = Math.max(seen.longestMs, patienceMs);
		const elapsedMs = Math.max(seen.longestMs, seen.beforeMs) - patienceMs;
		return elapsedMs < toleranceMs ? 0 : elapsedMs;
	}

	#seen(route: RouteName, now: Instant): Seen {
		const seen = this.#routes.get(route) ?? {from: now, longestMs: 0, beforeMs: 0};
		this.#routes.set(route, seen);
		if (now - seen.from > memoryMs) {
			seen.beforeMs = seen.longestMs;
			seen.longestMs = 0;
			seen.from = now;
		}

		return seen;
	}
}
