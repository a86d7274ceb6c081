/** A port that closes without cutting off a request. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {ServerConnections} from '../server-connections.js';

const pollMs = 20;
const quietMs = 200;
const defaultStallMs = 10_000;

/** Counts the requests of a port, and closes it once they are over. */
export class DrainablePort {
	/** While the port closes, a caller that takes no byte of its answer for `stallMs` milliseconds counts as gone. */
	constructor(private readonly connections: ServerConnections, private readonly stallMs = defaultStallMs) {}

	/** Requests whose answer is not yet out whole. */
	get active(): number {
		return this.connections.active;
	}

	/** Whether answers ask their callers to close the connection. */
	setClosing(closing: boolean): void {
		this.connections.setClosing(closing);
		this.connections.setStallTimeout(closing ? this.stallMs : undefined);
	}

	/** Waits for the requests in progress, answers what still arrives until none does for a while, and closes what is left. */
	async close(): Promise<void> {
		await this.#waitUntilQuiet();
		await this.connections.close(this.stallMs);
	}

	async #waitUntilQuiet(): Promise<void> {
		let quiet = 0;
		while (quiet < quietMs) {
			// eslint-disable-next-line no-await-in-loop
			await sleep(pollMs);
			quiet = this.active === 0 ? quiet + pollMs : 0;
		}
	}
}
