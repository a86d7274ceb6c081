/** Delays the calls that reach a newly started instance until it has the state that it needs to serve them. */
import type {Clock, Instant} from '@baobabpier/core';

/** Calls are delayed for at most this long after the start, in milliseconds: a control log that starts at the same time elects a leader in 1.5 s. */
const startupTimeoutMs = 2500;
/** Maximum fraction of the caller's timeout that the delay may use: the rest is left for serving the call. */
const maxWaitFraction = 0.6;

/**
 * Open once the instance can serve calls. It is for the restart after the simultaneous loss of all machines: callers that
 * are refused while the control log elects its leader would use up their only retry.
 *
 * @example
 * const gate = new StartupGate(clock);
 * await gate.wait(1000); // Resolves after 600 ms at the latest
 * gate.open();
 */
export class StartupGate {
	readonly #startedAt: Instant;
	readonly #waiters = new Set<() => void>();
	#isOpen = false;

	constructor(private readonly clock: Clock) {
		this.#startedAt = clock.now();
	}

	/** Lets all calls through, those that wait included. */
	open(): void {
		this.#isOpen = true;
		for (const release of this.#waiters) {
			release();
		}
	}

	/** Resolves once the gate is open, the startup timeout has passed, or the wait has used its fraction of `callerTimeoutMs`. */
	async wait(callerTimeoutMs: number): Promise<void> {
		const waitMs = Math.min(this.#startedAt + startupTimeoutMs - this.clock.now(), callerTimeoutMs * maxWaitFraction);
		if (this.#isOpen || waitMs <= 0) {
			return;
		}

		await new Promise<void>(resolve => {
			const release = (): void => {
				clearTimeout(timer);
				this.#waiters.delete(release);
				resolve();
			};

			const timer = setTimeout(release, waitMs);
			this.#waiters.add(release);
		});
	}
}
