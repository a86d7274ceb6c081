/** The life of one call: its end when the caller leaves or the time is over, and what must be undone then. */
import type {Clock, Instant} from '@baobabpier/core';

/** Why a call ended early. */
export type EndReason = 'callerGone' | 'deadline' | 'stopping';

/**
 * Carries the signal that ends everything done for a call.
 *
 * @example
 * const scope = new CallScope(clock, call.deadlineAt);
 * scope.remainingMs(); // Time left
 * scope.end('callerGone');
 */
export class CallScope {
	readonly #abort = new AbortController();
	readonly #timer: NodeJS.Timeout;
	#reason: EndReason | undefined;

	constructor(private readonly clock: Clock, private readonly deadlineAt: Instant) {
		this.#timer = setTimeout(() => {
			this.end('deadline');
		}, Math.max(0, deadlineAt - clock.now()));
	}

	/** Why the call ended early; undefined while it goes on. */
	get reason(): EndReason | undefined {
		return this.#reason;
	}

	get signal(): AbortSignal {
		return this.#abort.signal;
	}

	/** Milliseconds until the deadline. */
	remainingMs(): number {
		return Math.max(0, this.deadlineAt - this.clock.now());
	}

	/** Ends the call early; the first reason stays. */
	end(reason: EndReason): void {
		if (this.#reason === undefined) {
			this.#reason = reason;
			clearTimeout(this.#timer);
			this.#abort.abort(new Error(`the call ended: ${reason}`));
		}
	}

	/** Lets go of the timer once the call is answered. */
	close(): void {
		clearTimeout(this.#timer);
	}

	/** A signal that ends with the call, or after `ms` milliseconds; `release` lets go of its timer. */
	createTimeout(ms: number): {readonly signal: AbortSignal; readonly hasExpired: () => boolean; readonly extend: (ms: number) => void; readonly release: () => void} {
		const abort = new AbortController();
		let isOver = false;
		const expire = (): void => {
			isOver = true;
			abort.abort(new Error('no answer in time'));
		};

		let timer = setTimeout(expire, ms);
		const follow = (): void => {
			abort.abort(this.#abort.signal.reason);
		};

		if (this.#abort.signal.aborted) {
			follow();
		}

		this.#abort.signal.addEventListener('abort', follow, {once: true});
		return {
			signal: abort.signal,
			hasExpired: () => isOver,
			extend(next) {
				clearTimeout(timer);
				timer = setTimeout(expire, next);
			},
			release: () => {
				clearTimeout(timer);
				this.#abort.signal.removeEventListener('abort', follow);
			},
		};
	}
}
