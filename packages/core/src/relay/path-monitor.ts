/** Tells whether an instance has lost its path to all servers, from its own connections. */
import type {BackendId} from '../ids.js';
import {addMs} from '../time.js';
import type {Instant} from '../time.js';

/** `doubtful`: something failed, and servers are probed; `cut`: no server of several can be reached by a new connection. */
export type PathState = 'open' | 'doubtful' | 'cut';

/** The result of connections that were opened for nothing but this. */
export type ProbeRound = {
	readonly tried: number;
	readonly reached: number;
};

/** Time without any server's response to what was sent after which the path is in doubt, in milliseconds: about as long as a read of a prompt takes. */
const overdueMs = 500;
/** Least time between two doubts that one server's failures raise, in milliseconds: a lost server raises one with each call. */
const doubtIntervalMs = 1000;
/** Least time between the first rounds of two doubts, in milliseconds: many servers may be lost at once. */
const roundIntervalMs = 100;
/** Delay of the second round of probes, in milliseconds: a short loss of packets is over by then. */
const secondRoundMs = 150;
/** Rounds in which no server is reached, after which the path counts as cut. */
const cutRounds = 2;
/** Interval of the probes of a cut path, in milliseconds. */
const cutIntervalMs = 400;
/** Rounds in which servers are reached, after which a cut path counts as open. */
const openRounds = 2;
/** Part of the probed servers that have to be reached for that; some may be down. */
const openFraction = 0.5;

/**
 * A path is in doubt when a connection fails, or when no server responds for longer than one may be silent. New connections to
 * several servers decide: a silent server still accepts them, and connections that live on say nothing of new ones.
 *
 * @example
 * const monitor = new PathMonitor();
 * monitor.recordFailure(server, now);
 * if (monitor.isProbeDue(now)) monitor.recordProbes({tried: 4, reached: 0}, later);
 */
export class PathMonitor {
	#state: PathState = 'open';
	#awaitingSince: Instant | undefined;
	#probeAt: Instant | undefined;
	#rounds = 0;
	#roundAt: Instant | undefined;
	/** When failures of each server last raised a doubt; undefined stands for the silence of all of them. */
	readonly #doubtedAt = new Map<BackendId | undefined, Instant>();

	get state(): PathState {
		return this.#state;
	}

	/** Records a request to any server. */
	recordSend(now: Instant): void {
		this.#awaitingSince ??= now;
	}

	/** Records the response of any server. */
	recordResponse(): void {
		this.#awaitingSince = undefined;
	}

	/** Records a connection to a server that could not be opened, that broke, or that is silent for longer than a sound server. */
	recordFailure(server: BackendId, now: Instant): void {
		this.#doubt(server, now);
	}

	/** Whether servers are to be probed now; the caller then records the result. */
	isProbeDue(now: Instant): boolean {
		if (this.#awaitingSince !== undefined && now - this.#awaitingSince >= overdueMs) {
			this.#doubt(undefined, now);
		}

		if (this.#probeAt === undefined || now < this.#probeAt) {
			return false;
		}

		this.#probeAt = undefined;
		this.#roundAt = now;
		return true;
	}

	recordProbes({tried, reached}: ProbeRound, now: Instant): void {
		if (this.#state === 'cut') {
			this.#rounds = tried > 0 && reached >= tried * openFraction ? this.#rounds + 1 : 0;
			this.#settle(this.#rounds < openRounds, addMs(now, cutIntervalMs));
		} else if (this.#state === 'doubtful') {
			const isLost = tried > 0 && reached === 0;
			this.#rounds += 1;
			if (isLost && this.#rounds < cutRounds) {
				this.#probeAt = addMs(now, secondRoundMs);
			} else {
				this.#settle(isLost, addMs(now, cutIntervalMs));
			}
		}
	}

	#doubt(server: BackendId | undefined, now: Instant): void {
		if (this.#state !== 'open') {
			return;
		}

		for (const [earlier, doubtedAt] of this.#doubtedAt) {
			if (now - doubtedAt >= doubtIntervalMs) {
				this.#doubtedAt.delete(earlier);
			}
		}

		if (this.#doubtedAt.has(server)) {
			return;
		}

		this.#doubtedAt.set(server, now);
		this.#state = 'doubtful';
		this.#rounds = 0;
		this.#probeAt = this.#roundAt === undefined ? now : later(now, addMs(this.#roundAt, roundIntervalMs));
	}

	#settle(isCut: boolean, nextProbeAt: Instant): void {
		const wasCut = this.#state === 'cut';
		this.#state = isCut ? 'cut' : 'open';
		this.#probeAt = isCut ? nextProbeAt : undefined;
		if (wasCut !== isCut) {
			this.#rounds = 0;
			this.#awaitingSince = undefined;
		}
	}
}

const later = (a: Instant, b: Instant): Instant => a > b ? a : b;
