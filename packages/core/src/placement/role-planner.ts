/** Plans how many engines of a service prefill and how many decode, as the mix of prompts and outputs shifts. */
import type {EngineRole} from '../catalogue/types.js';
import type {EngineId} from '../ids.js';
import type {Instant} from '../time.js';

/** Time constant of the exponential averages, in milliseconds: several times the duration of a stream. */
const averagingTimeConstantMs = 15_000;
/** Minimum number of grants before the first change when no expected mix is given. */
const minGrants = 25;
/** Number of grants after which the expected mix has a weight of about a third against the observed load. */
const expectedMixDecayGrants = 50;
/** Minimum deviation of the target from the current number of prefill engines, in engines: over a half, so that a change is not reverted. */
const minDeviationEngines = 0.7;
/** How long the deviation must last before a change, in milliseconds: longer than a short burst. */
const stabilizationWindowMs = 10_000;
/** The same window while a large fraction of the engines has the wrong role, in milliseconds. */
const urgentStabilizationWindowMs = 2000;
/** Fraction of the engines with the wrong role from which the urgent window applies. */
const urgentDeviationFraction = 0.125;
/** The same window while no engine is in use, when a change delays no caller, in milliseconds. */
const idleStabilizationWindowMs = 1500;
/** Minimum time between changes, in milliseconds: an engine needs about half of it to change its role. */
const cooldownMs = 12_000;
/** Maximum fraction of the decode memory in use after a decode engine changes to prefill: the rest absorbs bursts of 1.7 times the load. */
const maxDecodeUtilization = 0.6;
/** Number of engines per engine that may change its role at a time. */
const enginesPerConcurrentChange = 12;

/** An engine that may change its role. */
export type RoleCandidate = {
	readonly id: EngineId;
	readonly role: EngineRole;
	/** Requests running on the engine; the least busy engine changes first. */
	readonly running: number;
	readonly queuedTokens: number;
};

/** An engine and its new role. */
export type RoleChange = {
	readonly engine: EngineId;
	readonly role: EngineRole;
};

/** Capacity of one engine. */
export type EngineCapacity = {
	/** Memory pieces of a decode engine. */
	readonly pieces: number;
};

/** The request mix that a deployment expects, used until enough requests were observed. */
export type ExpectedMix = {
	/** Tokens of a prompt. */
	readonly promptTokens: number;
	/** Memory pieces of a stream. */
	readonly pieces: number;
	/** Time that a stream occupies a decode engine, in milliseconds. */
	readonly decodeMs: number;
};

/**
 * Splits the engines so that prefill and decode engines are equally busy. It corrects loads that fill the decode memory
 * while prefill engines are idle, or the reverse; a short burst changes nothing. A decode engine changes to prefill only while
 * the remaining decode engines have room for a burst, since decode engines can read prompts but prefill engines can't decode.
 * Given an expected mix, it splits idle engines before the first request, and all of them at once.
 *
 * @example
 * const planner = new RolePlanner({pieces: 3500});
 * planner.setPrefillRate(45);
 * planner.recordGrant(5200);
 * planner.recordMemoryUse(9000, now); // Pieces in use on all decode engines
 * planner.plan(engines, now); // The role changes to make now; often none
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
	/** When an engine was last lost; undefined before. */
	#engineLostAt: Instant | undefined;
	/** Weight of the time before the first sample in the average of the memory in use. */
	#unsampledWeight = 1;

	constructor(private readonly capacity: EngineCapacity, private readonly expectedMix?: ExpectedMix) {}

	/** Counts a prompt placed on an engine. */
	recordGrant(promptTokens: number): void {
		this.#grantCount += 1;
		this.#tokensPerMs += promptTokens / averagingTimeConstantMs;
	}

	/** Sets the rate at which prefill engines read prompts, in tokens per millisecond; no change is planned before the first call. */
	setPrefillRate(prefillTokensPerMs: number): void {
		this.#prefillTokensPerMs = prefillTokensPerMs;
	}

	/** Samples the memory in use on all decode engines; must be called at regular intervals. */
	recordMemoryUse(usedPieces: number, now: Instant): void {
		const elapsed = now - (this.#lastSampleAt ?? now);
		const decay = Math.exp(-elapsed / averagingTimeConstantMs);
		this.#unsampledWeight *= decay;
		this.#lastSampleAt = now;
		this.#tokensPerMs *= decay;
		this.#decayedPieces = (this.#decayedPieces * decay) + (usedPieces * (1 - decay));
	}

	/** Mean memory in use, without the time before the first sample. */
	get #meanUsedPieces(): number {
		return this.#unsampledWeight === 1 ? 0 : this.#decayedPieces / (1 - this.#unsampledWeight);
	}

	/** The fraction of the engines that should prefill, from 0 to 1; undefined while there is too little data. */
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

	/** Returns the role changes to make now. */
	plan(engines: readonly RoleCandidate[], now: Instant): readonly RoleChange[] {
		const fraction = this.prefillFraction;
		const prefillCount = engines.filter(({role}) => role === 'prefill').length;
		const targetCount = fraction === undefined ? prefillCount : Math.min(engines.length - 1, Math.max(1, engines.length * fraction));
		if (engines.length !== this.#engineCount) {
			// While the list of engines still grows, its split of roles is not representative
			this.#engineLostAt = engines.length < this.#engineCount ? now : this.#engineLostAt;
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
		// A lost engine is often back before a change of role ends, and the change would take another one from a load that is short of engines
		const isSettled = this.#engineLostAt === undefined || now - this.#engineLostAt >= stabilizationWindowMs;
		const isUrgent = isSettled && Math.abs(targetCount - prefillCount) >= engines.length * urgentDeviationFraction;
		if (now - this.#deviatingSince < (isIdle ? idleStabilizationWindowMs : (isUrgent ? urgentStabilizationWindowMs : stabilizationWindowMs))
			|| (this.#lastChangeAt !== undefined && now - this.#lastChangeAt < cooldownMs)) {
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

/** Returns the first load as a fraction of the sum of both; undefined when the sum is zero. */
const fractionOf = (first: number, second: number): number | undefined => first + second > 0 ? first / (first + second) : undefined;
