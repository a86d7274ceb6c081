/** Holds the first calls of an instance that has just started until it knows enough to serve them. */
import type {Clock, Instant} from '@baobabpier/core';

/** How long after a start calls are held, in milliseconds: a control log that starts at the same time elects a leader in 1.5 s. */
const startMs = 2500;
/** Part of a caller's time that the wait may take: the rest serves the call. */
const waitPart = 0.6;

/**
 * Open once the instance can serve. Answers the loss of all machines at once: callers that are refused while the control
 * log elects its leader use up their one return on a refusal.
 *
 * @example
 * const gate = new StartGate(clock);
 * await gate.wait(1000); // At the latest after 600 ms
 * gate.open();
 */
export class StartupGate {
	readonly #startedAt: Instant;
	readonly #waiting = new Set<() => void>();
	#isOpen = false;

	constructor(private readonly clock: Clock) {
		this.#startedAt = clock.now();
	}

	/** Lets all calls pass. */
	open(): void {
		this.#isOpen = true;
		for (const pass of this.#waiting) {
			pass();
		}
	}

	/** Resolves once the gate is open, or the wait takes too long for the caller or since the start. */
	async wait(patienceMs: number): Promise<void> {
		const waitMs = Math.min(this.#startedAt + startMs - this.clock.now(), patienceMs * waitPart);
		if (this.#isOpen || waitMs <= 0) {
			return;
		}

		await new Promise<void>(resolve => {
			const pass = (): void => {
				clearTimeout(timer);
				this.#waiting.delete(pass);
				resolve();
			};

			const timer = setTimeout(pass, waitMs);
			this.#waiting.add(pass);
		});
	}
}
