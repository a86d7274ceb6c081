/** Accepts the connections that wait at the ports of this process before it handles more requests. */
import {AcceptSchedule} from '@baobabpier/core';
import {monotonicClock} from '../monotonic-clock.js';

/**
 * Runs the handlers of all ports of a process by one schedule, since they share its event loop.
 *
 * @example
 * server.on('connection', () => acceptTurns.recordAccept());
 * server.on('request', (req, res) => acceptTurns.run(() => handle(req, res)));
 */
export class AcceptTurns {
	readonly #schedule = new AcceptSchedule<() => void>();

	/** Records that a port accepted a connection. */
	recordAccept(): void {
		const isTurnDue = this.#schedule.isAccepting;
		this.#schedule.recordAccept(monotonicClock.now());
		if (!isTurnDue) {
			this.#endTurnSoon();
		}
	}

	/** Runs a handler, once no connection waits to be accepted. */
	run(handler: () => void): void {
		if (!this.#schedule.defer(handler)) {
			handler();
		}
	}

	#endTurnSoon(): void {
		// Immediates run after the poll phase, in which connections are accepted and read
		setImmediate(() => {
			const handlers = this.#schedule.endTurn(monotonicClock.now());
			if (this.#schedule.isAccepting) {
				this.#endTurnSoon();
			}

			for (const handler of handlers) {
				handler();
			}
		});
	}
}

/** The schedule of this process. */
export const acceptTurns = new AcceptTurns();
