/** Decides when requests are handled while clients wait for their connections to be accepted. */
import {addMs} from '../time.js';
import type {Instant} from '../time.js';

/** Bounds of the time for which requests wait while connections are accepted, in milliseconds. */
const burstMs = {min: 2, max: 20} as const;

/**
 * An event loop accepts one connection of a port in each turn, so a turn that handles many requests keeps the next client waiting as long.
 * After a connection was accepted, requests wait until a turn has accepted none, so that all clients that wait get in by turns that do
 * little else. Accepting takes at most as long as the work since it last ended, but 2 ms at least and 20 ms at most: where that work takes 2 ms or
 * more, clients that keep connecting take about half of the time.
 *
 * @example
 * const schedule = new AcceptSchedule<Request>();
 * schedule.recordAccept(now);
 * schedule.defer(request); // true: `endTurn` returns it later
 */
export class AcceptSchedule<Request> {
	readonly #waiting: Request[] = [];
	#burst: {readonly until: Instant; hasAccepted: boolean} | undefined;
	#endedAt: Instant | undefined;

	/** Whether the end of this turn has to be reported to `endTurn`. */
	get isAccepting(): boolean {
		return this.#burst !== undefined;
	}

	/** Records that a connection was accepted in this turn. */
	recordAccept(now: Instant): void {
		if (this.#burst === undefined) {
			const workMs = this.#endedAt === undefined ? burstMs.max : now - this.#endedAt;
			this.#burst = {until: addMs(now, Math.min(burstMs.max, Math.max(burstMs.min, workMs))), hasAccepted: true};
		} else {
			this.#burst.hasAccepted = true;
		}
	}

	/** Keeps a request until connections have been accepted; returns false if it is to be handled at once. */
	defer(request: Request): boolean {
		if (this.#burst !== undefined) {
			this.#waiting.push(request);
		}

		return this.#burst !== undefined;
	}

	/** Ends a turn; returns the requests that are handled now, in the order of their arrival. */
	endTurn(now: Instant): readonly Request[] {
		if (this.#burst?.hasAccepted === true && now < this.#burst.until) {
			this.#burst.hasAccepted = false;
			return [];
		}

		this.#burst = undefined;
		this.#endedAt = now;
		return this.#waiting.splice(0);
	}
}
