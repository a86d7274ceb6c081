/** How many engines of a service prefill and how many decode, as the mix of prompts and outputs shifts. */
import type {EngineRole} from '../catalogue/types.js';
import type {EngineId} from '../ids.js';
import type {Instant} from '../time.js';

/** Time constant of the averages, in milliseconds: several times a stream's length. */
const averagingTimeConstantMs = 15_000;
/** Grants that must have been seen before the first change, where nothing is known beforehand. */
const minGrants = 25;
/** Grants after which the usual mix counts a third beside what was seen. */
const expectedMixDecayGrants = 50;
/** How far the wanted number must be from the present one, in engines: over a half, so that a change is not taken back. */
const minDeviationEngines = 0.7;
/** How long a change must be wanted, in milliseconds: longer than a passing burst. */
const stabilizationWindowMs = 10_000;
/** The same where a large part of the engines has the wrong role, in milliseconds. */
const urgentStabilizationWindowMs = 2000;
/** Part of the engines that counts as large. */
const urgentDeviationFraction = 0.125;
/** The same while no engine is in use, when a change costs no caller anything, in milliseconds. */
const idleStabilizationWindowMs = 1500;
/** Pause between changes, in milliseconds: an engine needs about half of it to change its role. */
const cooldownMs = 12_000;
/** Part of the decode memory that may be in use after an engine leaves it to prefill: the rest is for bursts of 1.7 times the load. */
const maxDecodeUtilization = 0.6;
/** One engine in so many may change at a time. */
const enginesPerConcurrentChange = 12;

/** An engine that may change its role. */
export type RoleCandidate = {
	readonly id: EngineId;
	readonly role: EngineRole;
	/** Requests on it, by which the least busy is chosen. */
	readonly running: number;
	readonly queuedTokens: number;
};

/** An engine and the role that it is to have. */
export type RoleChange = {
	readonly engine: EngineId;
	readonly role: EngineRole;
};

/** What one engine can do. */
export type EngineCapacity = {
	/** Memory pieces of a decode engine. */
	readonly pieces: number;
};

/** The usual mix of a deployment, until requests teach it. */
export type ExpectedMix = {
	/** Tokens of a prompt. */
	readonly promptTokens: number;
	/** Memory pieces of a stream. */
	readonly pieces: number;
	/** Time that a decode engine holds a stream, in milliseconds. */
	readonly decodeMs: number;
};

/**
 * Splits the engines so that prefill and decode engines are equally busy. Answers loads whose decode memory is full
 * while prefill engines idle, or the reverse; a passing burst changes nothing. An engine leaves decode only while
 * the others have room for a burst, since decode engines can read prompts, and prefill engines can't decode. Given the usual mix, it splits idle engines
 * before the first request comes, and all of them at once.
 *
 * @example
 * const planner = new RolePlanner({pieces: 3500});
 * planner.noteSpeed(45);
 * planner.noteGrant(5200, now);
 * planner.noteUse(9000, now); // Pieces in use on all decode engines
 * planner.plan(engines, now); // [] or the engines to change
 */
export class RolePlanner {
	#grantCount = 0;
	#tokensPerMs = 0;
	#prefillTokensPerMs = Number.NaN;
	#decayedPieces = 0;
	#lastSampleAt: Instant | undefined;
	#deviatingSince: Instant | undefined;
	#lastChangeAt: Instant | undefined;
	#engineCount = 0;
	/** Weight of the time before the first sample in the averages. */
	#unsampledWeight = 1;

	constructor(private readonly capacity: EngineCapacity, private readonly expectedMix?: ExpectedMix) {}

	/** Counts a prompt that was given to an engine. */
	recordGrant(promptTokens: number): void {
		this.#grantCount += 1;
		this.#tokensPerMs += promptTokens / averagingTimeConstantMs;
	}

	/** Takes the rate at which prefill engines read, in tokens per millisecond; nothing is planned before. */
	setPrefillRate(prefillTokensPerMs: number): void {
		this.#prefillTokensPerMs = prefillTokensPerMs;
	}

	/** Samples the memory in use on all decode engines; to be called at regular times. */
	recordMemoryUse(usedPieces: number, now: Instant): void {
		const elapsed = now - (this.#lastSampleAt ?? now);
		const decay = Math.exp(-elapsed / averagingTimeConstantMs);
		this.#unsampledWeight *= decay;
		this.#lastSampleAt = now;
		this.#tokensPerMs *= decay;
		this.#decayedPieces = (this.#decayedPieces * decay) + (usedPieces * (1 - decay));
	}

	/** Mean memory in use; the time before the first sample does not count. */
	get #meanUsedPieces(): number {
		return this.#unsampledWeight === 1 ? 0 : this.#decayedPieces / (1 - this.#unsampledWeight);
	}

	/** The part of the engines that should prefill, from 0 to 1; undefined while too little is known. */
	get prefillFraction(): number | undefined {
		if (Number.isNaN(this.#prefillTokensPerMs)) {
			return undefined;
		}

		const observedFraction = fractionOf(this.#tokensPerMs / this.#prefillTokensPerMs, this.#decayedPieces / this.capacity.pieces);
		if (this.expectedMix === undefined) {
			return this.#grantCount < minGrants ? undefined : observedFraction;
		}

		const {promptTokens, pieces, decodeMs} = this.expectedMix;
		const expectedFraction = fractionOf(promptTokens / this.#prefillTokensPerMs, decodeMs * pieces / this.capacity.pieces);
		const weight = Math.exp(-this.#grantCount / expectedMixDecayGrants);
		return observedFraction === undefined || expectedFraction === undefined ? expectedFraction : (expectedFraction * weight) + (observedFraction * (1 - weight));
	}

	/** The engines that should change their role now. */
	plan(engines: readonly RoleCandidate[], now: Instant): readonly RoleChange[] {
		const fraction = this.prefillFraction;
		const prefillCount = engines.filter(({role}) => role === 'prefill').length;
		const targetCount = fraction === undefined ? prefillCount : Math.min(engines.length - 1, Math.max(1, engines.length * fraction));
		if (engines.length !== this.#engineCount) {
			// A list that still grows says little of the split
			this.#engineCount = engines.length;
			this.#deviatingSince = undefined;
		}

		const overloadsDecode = targetCount > prefillCount && this.#meanUsedPieces > (engines.length - prefillCount - 1) * this.capacity.pieces * maxDecodeUtilization;
		if (engines.length < 2 || Math.abs(targetCount - prefillCount) < minDeviationEngines || overloadsDecode) {
			this.#deviatingSince = undefined;
			return [];
		}

		this.#deviatingSince ??= now;
		const isIdle = this.#grantCount === 0 && engines.every(({running}) => running === 0);
		const isUrgent = Math.abs(targetCount - prefillCount) >= engines.length * urgentDeviationFraction;
		if (now - this.#deviatingSince < (isIdle ? idleStabilizationWindowMs : (isUrgent ? urgentStabilizationWindowMs : stabilizationWindowMs)) || (this.#lastChangeAt !== undefined && now - this.#lastChangeAt < cooldownMs)) {
			return [];
		}

		this.#lastChangeAt = now;
		const maxChanges = isIdle ? engines.length : Math.max(1, Math.floor(engines.length / enginesPerConcurrentChange));
		const count = Math.min(Math.floor(Math.abs(targetCount - prefillCount) + 1 - minDeviationEngines), maxChanges);
		const from: EngineRole = targetCount < prefillCount ? 'prefill' : 'decode';
		return engines.filter(({role}) => role === from)
			.toSorted((a, b) => a.running - b.running || a.queuedTokens - b.queuedTokens)
			.slice(0, count)
			.map(({id}) => ({engine: id, role: from === 'prefill' ? 'decode' : 'prefill'}));
	}
}

/** The first of two loads as a part of both; undefined without any. */
const fractionOf = (first: number, second: number): number | undefined => first + second > 0 ? first / (first + second) : undefined;
