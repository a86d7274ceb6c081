/** Cancellation scope of one call: aborts its work when the caller disconnects, the deadline passes or the instance stops. */
import type {Clock, Instant} from '@baobabpier/core';
import {startPolledTimeout} from '../polled-timeout.js';
import type {PolledTimeout} from '../polled-timeout.js';

/** Why a call, or a part of its work, ended early: `superseded` ends only a part, whose result is not needed any more. */
export type EndReason = 'callerGone' | 'deadline' | 'quarantined' | 'superseded';

/**
 * Carries the signal that aborts all work done for a call.
 *
 * @example
 * const scope = new CallScope(clock, call.deadlineAt);
 * scope.remainingMs(); // Time until the deadline
 * scope.end('callerGone');
 */
export class CallScope {
	readonly #abortController = new AbortController();
	#timeout: PolledTimeout | undefined;
	#reason: EndReason | undefined;
	#isLimited = false;
	#detach: (() => void) | undefined;

	constructor(private readonly clock: Clock, private deadlineAt: Instant, private readonly parent?: CallScope) {
		this.#timeout = parent === undefined ? this.#startTimeout() : undefined;
	}

	/** Why the call ended early; undefined when it has not. */
	get reason(): EndReason | undefined {
		return this.#reason;
	}

	/** Whether the call ended at a deadline that `limitTo` had brought forward. */
	get isCutShort(): boolean {
		return this.#isLimited && this.#reason === 'deadline';
	}

	get signal(): AbortSignal {
		return this.#abortController.signal;
	}

	/** Milliseconds until the deadline. */
	remainingMs(): number {
		return this.parent?.remainingMs() ?? Math.max(0, this.deadlineAt - this.clock.now());
	}

	/** Creates a scope for a part of the call's work; it ends with the call, or earlier by itself. */
	createPart(): CallScope {
		const part = new CallScope(this.clock, this.deadlineAt, this);
		const endWithCall = (): void => {
			part.end(this.#reason!);
		};

		if (this.#reason === undefined) {
			this.signal.addEventListener('abort', endWithCall, {once: true});
			part.#detach = () => {
				this.signal.removeEventListener('abort', endWithCall);
			};
		} else {
			endWithCall();
		}

		return part;
	}

	/** Brings the deadline forward; a later one has no effect. */
	limitTo(deadlineAt: Instant): void {
		if (deadlineAt < this.deadlineAt && this.#reason === undefined) {
			this.deadlineAt = deadlineAt;
			this.#isLimited = true;
			this.#timeout?.clear();
			this.#timeout = this.#startTimeout();
		}
	}

	/** Ends the call early; only the first reason is recorded. */
	end(reason: EndReason): void {
		if (this.#reason === undefined) {
			this.#reason = reason;
			this.#timeout?.clear();
			this.#abortController.abort(new Error(`the call ended: ${reason}`));
		}
	}

	/** Clears the deadline timer once the call has its response, or the part nothing left to abort. */
	close(): void {
		this.#timeout?.clear();
		this.#detach?.();
	}

	/** Creates a signal that aborts with the call, or after `ms` milliseconds; `extend` restarts the timer, and `release` clears it. */
	createTimeout(ms: number): {readonly signal: AbortSignal; readonly hasExpired: () => boolean; readonly extend: (ms: number) => void; readonly release: () => void} {
		const abortController = new AbortController();
		let hasExpired = false;
		const expire = (): void => {
			hasExpired = true;
			abortController.abort(new Error('the server did not respond in time'));
		};

		let timeout = startPolledTimeout(ms, expire);
		const abortWithCall = (): void => {
			abortController.abort(this.#abortController.signal.reason);
		};

		if (this.#abortController.signal.aborted) {
			abortWithCall();
		}

		this.#abortController.signal.addEventListener('abort', abortWithCall, {once: true});
		return {
			signal: abortController.signal,
			hasExpired: () => hasExpired,
			extend(extensionMs) {
				timeout.clear();
				timeout = startPolledTimeout(extensionMs, expire);
			},
			release: () => {
				timeout.clear();
				this.#abortController.signal.removeEventListener('abort', abortWithCall);
			},
		};
	}

	#startTimeout(): PolledTimeout {
		return startPolledTimeout(this.remainingMs(), () => {
			this.end('deadline');
		});
	}
}
