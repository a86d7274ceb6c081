/** Reads pending until a heartbeat round confirms the leadership (thesis, section 6.4). */
import type {LogIndex} from '../control/control-command.js';

/** A read that is not confirmed yet. */
type PendingRead = {
	readonly id: number;
	readonly index: LogIndex;
	readonly round: number;
};

/** The pending reads, oldest first. */
export class PendingReadQueue {
	#reads: PendingRead[] = [];

	/** Adds a read at `index`, to confirm once a majority replied to `round`. */
	add(read: PendingRead): void {
		this.#reads.push(read);
	}

	/** Removes and returns the reads whose round a majority replied to. */
	takeConfirmed(round: number): readonly PendingRead[] {
		const confirmed = this.#reads.filter(read => read.round <= round);
		this.#reads = this.#reads.filter(read => read.round > round);
		return confirmed;
	}

	/** Removes and returns every read, when the leader steps down. */
	takeAll(): readonly PendingRead[] {
		return this.takeConfirmed(Number.POSITIVE_INFINITY);
	}

	/** Whether no read is pending. */
	get isEmpty(): boolean {
		return this.#reads.length === 0;
	}
}
