/** How many engines of a service prefill and how many decode, as the mix of prompts and outputs shifts. */
import type {EngineRole} from '../catalogue/types.js';
import type {EngineId} from '../ids.js';
import type {Instant} from '../time.js';

/** Time constant of the averages, in milliseconds: several times a stream's length. */
const memoryMs = 15_000;
/** Grants that must have been seen before the first change, where nothing is known beforehand. */
const minGrants = 25;
/** Grants after which the usual mix counts a third beside what was seen. */
const usualGrants = 50;
/** How far the wanted number must be from the present one, in engines: over a half, so that a change is not taken back. */
const changeFrom = 0.7;
/** How long a change must be wanted, in milliseconds: longer than a passing burst. */
const steadyMs = 10_000;
/** The same where a large part of the engines has the wrong role, in milliseconds. */
const urgentSteadyMs = 2000;
/** Part of the engines that counts as large. */
const urgentPart = 0.125;
/** The same while no engine is in use, when a change costs no caller anything, in milliseconds. */
const idleSteadyMs = 1500;
/** Pause between changes, in milliseconds: an engine needs about half of it to change its role. */
const pauseMs = 12_000;
/** Part of the decode memory that may be in use after an engine leaves it to prefill: the rest is for bursts of 1.7 times the load. */
const decodeUsePart = 0.6;
/** One engine in so many may change at a time. */
const enginesPerChange = 12;

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
export type RoleCapacity = {
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
	#grants = 0;
	#tokensPerMs = 0;
	#prefillTokensPerMs = Number.NaN;
	#pieces = 0;
	#notedAt: Instant | undefined;
	#wantedSince: Instant | undefined;
	#changedAt: Instant | undefined;
	#engines = 0;
	/** Weight of the time before the first sample in the averages. */
	#unseenPart = 1;

	constructor(private readonly capacity: RoleCapacity, private readonly usual?: ExpectedMix) {}

	/** Counts a prompt that was given to an engine. */
	noteGrant(promptTokens: number): void {
		this.#grants += 1;
		this.#tokensPerMs += promptTokens / memoryMs;
	}

	/** Takes the rate at which prefill engines read, in tokens per millisecond; nothing is planned before. */
	noteSpeed(prefillTokensPerMs: number): void {
		this.#prefillTokensPerMs = prefillTokensPerMs;
	}

	/** Samples the memory in use on all decode engines; to be called at regular times. */
	noteUse(usedPieces: number, now: Instant): void {
		const elapsed = now - (this.#notedAt ?? now);
		const kept = Math.exp(-elapsed / memoryMs);
		this.#unseenPart *= kept;
		this.#notedAt = now;
		this.#tokensPerMs *= kept;
		this.#pieces = (this.#pieces * kept) + (usedPieces * (1 - kept));
	}

	/** Mean memory in use; the time before the first sample does not count. */
	get #usedPieces(): number {
		return this.#unseenPart === 1 ? 0 : this.#pieces / (1 - this.#unseenPart);
	}

	/** The part of the engines that should prefill, from 0 to 1; undefined while too little is known. */
	get prefillPart(): number | undefined {
		if (Number.isNaN(this.#prefillTokensPerMs)) {
			return undefined;
		}

		const seen = partOf(this.#tokensPerMs / this.#prefillTokensPerMs, this.#pieces / this.capacity.pieces);
		if (this.usual === undefined) {
			return this.#grants < minGrants ? undefined : seen;
		}

		const {promptTokens, pieces, decodeMs} = this.usual;
		const usual = partOf(promptTokens / this.#prefillTokensPerMs, decodeMs * pieces / this.capacity.pieces);
		const weight = Math.exp(-this.#grants / usualGrants);
		return seen === undefined || usual === undefined ? usual : (usual * weight) + (seen * (1 - weight));
	}

	/** The engines that should change their role now. */
	plan(engines: readonly RoleCandidate[], now: Instant): readonly RoleChange[] {
		const part = this.prefillPart;
		const prefilling = engines.filter(({role}) => role === 'prefill').length;
		const wanted = part === undefined ? prefilling : Math.min(engines.length - 1, Math.max(1, engines.length * part));
		if (engines.length !== this.#engines) {
			// A list that still grows says little of the split
			this.#engines = engines.length;
			this.#wantedSince = undefined;
		}

		const leavesTooLittle = wanted > prefilling && this.#usedPieces > (engines.length - prefilling - 1) * this.capacity.pieces * decodeUsePart;
		if (engines.length < 2 || Math.abs(wanted - prefilling) < changeFrom || leavesTooLittle) {
			this.#wantedSince = undefined;
			return [];
		}

		this.#wantedSince ??= now;
		const isIdle = this.#grants === 0 && engines.every(({running}) => running === 0);
		const isUrgent = Math.abs(wanted - prefilling) >= engines.length * urgentPart;
		if (now - this.#wantedSince < (isIdle ? idleSteadyMs : (isUrgent ? urgentSteadyMs : steadyMs)) || (this.#changedAt !== undefined && now - this.#changedAt < pauseMs)) {
			return [];
		}

		this.#changedAt = now;
		const most = isIdle ? engines.length : Math.max(1, Math.floor(engines.length / enginesPerChange));
		const count = Math.min(Math.floor(Math.abs(wanted - prefilling) + 1 - changeFrom), most);
		const from: EngineRole = wanted < prefilling ? 'prefill' : 'decode';
		return engines.filter(({role}) => role === from)
			.toSorted((a, b) => a.running - b.running || a.queuedTokens - b.queuedTokens)
			.slice(0, count)
			.map(({id}) => ({engine: id, role: from === 'prefill' ? 'decode' : 'prefill'}));
	}
}

/** The first of two loads as a part of both; undefined without any. */
const partOf = (first: number, second: number): number | undefined => first + second > 0 ? first / (first + second) : undefined;
