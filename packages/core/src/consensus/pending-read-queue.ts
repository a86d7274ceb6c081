/** Reads that wait until a round of heartbeats shows that the leader still leads (thesis, section 6.4). */
import type {LogIndex} from '../control/control-command.js';

/** A read on its way. */
type PendingRead = {
	readonly id: number;
	readonly index: LogIndex;
	readonly round: number;
};

/** The waiting reads, oldest first. */
export class PendingReadQueue {
	#reads: PendingRead[] = [];

	/** Adds a read that sees `index` once a majority answered `round`. */
	add(read: PendingRead): void {
		this.#reads.push(read);
	}

	/** Takes the reads whose round a majority answered. */
	takeConfirmed(round: number): readonly PendingRead[] {
		const confirmed = this.#reads.filter(read => read.round <= round);
		this.#reads = this.#reads.filter(read => read.round > round);
		return confirmed;
	}

	/** Takes every read, when the leader stops leading. */
	takeAll(): readonly PendingRead[] {
		return this.takeConfirmed(Number.POSITIVE_INFINITY);
	}

	/** Whether a read waits. */
	get isEmpty(): boolean {
		return this.#reads.length === 0;
	}
}
