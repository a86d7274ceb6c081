/** Decides when a call that may be repeated is sent to a second server, because the first one is slow to answer (a hedged attempt). */
import type {RandomSource} from '../random.js';

/** How much extra work the operator accepts for shorter tails. */
export type HedgingLimits = {
	/** Hedged attempts per call that may be repeated, over all instances. */
	readonly maxFraction: number;
	/** Deviations above the mean response time after which a hedged attempt begins. */
	readonly deviations: number;
};

/** Weight of the newest response in the mean and the deviation; those of a retransmission timer (RFC 6298). */
const meanWeight = 1 / 8;
const deviationWeight = 1 / 4;
/** Number of responses before which no hedged attempt begins. */
const minSamples = 8;
/** Servers that are busier than this, as a fraction of their slots, get no hedged attempts: they would make the tail longer. */
const maxLoad = 0.7;
/** Most hedged attempts that an instance saves up. */
const maxCredit = 2;

type ServiceTimes = {
	samples: number;
	meanMs: number;
	deviationMs: number;
};

/**
 * Learns the response times of services, and spends the limit that the operator sets.
 *
 * @see Dean and Barroso, "The Tail at Scale", 2013.
 * @example
 * const hedging = new HedgingPolicy({maxFraction: 0.05, deviations: 3}, random);
 * hedging.recordCall();
 * const delayMs = hedging.delayMs('desk'); // Undefined until enough responses were seen
 * if (hedging.tryBegin(0.4)) send();
 */
export class HedgingPolicy {
	readonly #times = new Map<string, ServiceTimes>();
	#credit: number;
	#begun = 0;

	/** Each instance starts with a part of an attempt that it draws at random, so that many instances don't all begin with one. */
	constructor(private readonly limits: HedgingLimits, random: RandomSource) {
		this.#credit = random.next();
	}

	/** Hedged attempts begun so far. */
	get begun(): number {
		return this.#begun;
	}

	/** Counts a call that may be repeated. */
	recordCall(): void {
		this.#credit = Math.min(maxCredit, this.#credit + this.limits.maxFraction);
	}

	/** Learns from the response time of a call to a service. */
	recordResponse(service: string, ms: number): void {
		const times = this.#times.get(service);
		if (times === undefined) {
			this.#times.set(service, {samples: 1, meanMs: ms, deviationMs: ms / 2});
			return;
		}

		times.samples += 1;
		times.deviationMs += deviationWeight * (Math.abs(ms - times.meanMs) - times.deviationMs);
		times.meanMs += meanWeight * (ms - times.meanMs);
	}

	/** Time without a response after which a hedged attempt begins, in milliseconds; undefined where too little is known. */
	delayMs(service: string): number | undefined {
		const times = this.#times.get(service);
		return times === undefined || times.samples < minSamples ? undefined : times.meanMs + (this.limits.deviations * times.deviationMs);
	}

	/** Begins a hedged attempt at a server with this load, unless the limit is used up; `load` is the requests there over its slots. */
	tryBegin(load: number): boolean {
		if (load > maxLoad || this.#credit < 1) {
			return false;
		}

		this.#credit -= 1;
		this.#begun += 1;
		return true;
	}

	/** Returns an attempt that was not sent. */
	refund(): void {
		this.#credit += 1;
		this.#begun -= 1;
	}
}
