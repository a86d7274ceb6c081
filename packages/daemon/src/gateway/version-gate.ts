/** Delays calls of other instances until the routing configuration of their sender is in force here. */
import type {RoutingVersion} from '@baobabpier/core';
import {startPolledTimeout} from '../polled-timeout.js';

/** Longest delay, in milliseconds: a change reaches the instances that are in touch with the control instances within some tenths of a second. */
const maxDelayMs = 300;
/** Maximum fraction of the time left that the delay may use. */
const maxDelayFraction = 0.5;

/**
 * Knows the version in force. An instance may have a new configuration some time before its partners.
 *
 * @example
 * const gate = new VersionGate();
 * gate.setVersion(toId<RoutingVersion>(7));
 * await gate.reach(8, 2000); // False after 300 ms, unless version 8 comes into force before
 */
export class VersionGate {
	#version: RoutingVersion | undefined;
	#isClosed = false;
	readonly #waiters = new Set<() => void>();

	/** Records the version in force, and lets the calls through that wait for it. */
	setVersion(version: RoutingVersion): void {
		this.#version = version;
		for (const check of this.#waiters) {
			check();
		}
	}

	/** Ends all delays, and delays no further call. */
	close(): void {
		this.#isClosed = true;
		for (const check of this.#waiters) {
			check();
		}
	}

	/** Resolves with whether `version` or a newer one is in force, as soon as it is or when the delay is over. */
	async reach(version: number, remainingMs: number): Promise<boolean> {
		if (this.#isClosed || this.#hasReached(version)) {
			return this.#hasReached(version);
		}

		return new Promise(resolve => {
			const settle = (): void => {
				timeout.clear();
				this.#waiters.delete(check);
				resolve(this.#hasReached(version));
			};

			const check = (): void => {
				if (this.#isClosed || this.#hasReached(version)) {
					settle();
				}
			};

			const timeout = startPolledTimeout(Math.min(maxDelayMs, remainingMs * maxDelayFraction), settle);
			this.#waiters.add(check);
		});
	}

	#hasReached(version: number): boolean {
		return this.#version !== undefined && this.#version >= version;
	}
}
