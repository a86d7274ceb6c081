/** Finds the prompt segments and the requests that crash engines, from the runs that broke off with each engine. */
import type {EngineId, RequestId, SegmentId} from '../ids.js';
import {addMs} from '../time.js';
import type {Instant} from '../time.js';
import {ProvenSegments} from './proven-segments.js';
import {
	includesSegments, isRequestDigest, segmentSetKey, toSegmentSet,
} from './types.js';
import type {
	BrokenRun, CrashCase, SegmentSet,
} from './types.js';

/** Score from which a segment set is convicted: as much as three crashes, each with a run of it that had just begun. */
export const convictionScore = 3;
/** Score from which a whole request is convicted, of which no two that differ are alike: two crashes among other runs and one in a trial. */
const requestConvictionScore = 2;
/** Score from which a segment set is suspected. */
const suspicionScore = 1;
/** Minimum number of requests and of separate crashes behind a conviction, so that no single request or event leads to one. */
const minRequests = 2;
const minSeparateCrashes = 2;
/** Factor for a crash at which no unproven run had just begun, for one that other segments explain as well, and for one that is simultaneous with another. */
const weakWeight = 0.5;
/** Reports on one engine within this time concern the same crash, in milliseconds; an engine takes longer to start again. */
const sameCrashMs = 1500;
/** Crashes of several engines within this time may have one cause, in milliseconds; a crash during a trial has its own. */
const simultaneousMs = 150;
/** Age up to which a crash counts, in milliseconds. */
const evidenceTtlMs = 600_000;
/** Time after the last crash for which a set stays suspected, in milliseconds. */
const suspicionTtlMs = 60_000;
/** Limits of the memory: crashes, runs of one crash, and segments of one run. */
const maxCrashes = 64;
const maxRuns = 256;
const maxRunSegments = 32;

/** What is known of one crash. */
type CrashRecord = {
	readonly engine: EngineId;
	readonly at: Instant;
	isConfirmed: boolean;
	readonly runs: Map<RequestId, BrokenRun>;
};

/** An engine's end as instances report it. */
export type ReportedCrash = {
	readonly engine: EngineId;
	readonly at: Instant;
	readonly runs: readonly BrokenRun[];
};

/** A crash with the runs that may have caused it, reduced to their unproven segments. */
type Evidence = {
	readonly crash: CrashRecord;
	readonly weight: number;
	readonly runs: readonly BrokenRun[];
};

/** Sets under suspicion and sets that the evidence convicts. */
export type CrashVerdicts = {
	readonly suspects: readonly CrashCase[];
	readonly convictions: readonly CrashCase[];
};

/**
 * Collects the evidence of all instances. A segment of a run that an engine completed is proven sound. Each crash points to the
 * unproven segments of the runs that had just begun there, since a request that crashes its engine does so early; other
 * runs count only where no such run exists, and less. What is suspected is the set of segments that occur together in
 * every crash, so that a segment that a crashing prompt shares with sound ones is not suspected alone.
 *
 * @see Beyer et al., "Site Reliability Engineering", chapter 22, 2016, on queries of death.
 * @example
 * const evidence = new CrashEvidence();
 * evidence.record({engine, at: clock.now(), runs}, clock.now());
 * evidence.confirm(engine, clock.now());
 * evidence.evaluate([], clock.now()).suspects;
 */
export class CrashEvidence {
	#crashes: CrashRecord[] = [];
	readonly #proven = new ProvenSegments();

	/** Adds a report; returns false when its crash is confirmed already. */
	record({engine, at, runs}: ReportedCrash, now: Instant): boolean {
		this.#expire(now);
		let crash = this.#find(engine, at);
		if (crash === undefined) {
			crash = {
				engine, at, isConfirmed: false, runs: new Map(),
			};
			this.#crashes = [...this.#crashes, crash].slice(-maxCrashes);
		}

		for (const run of runs) {
			if (crash.runs.size < maxRuns || crash.runs.has(run.requestId)) {
				crash.runs.set(run.requestId, {...run, segments: run.segments.slice(0, maxRunSegments)});
			}
		}

		return !crash.isConfirmed;
	}

	/** Records that an engine did end at about this time; only confirmed crashes count. */
	confirm(engine: EngineId, at: Instant): void {
		const crash = this.#find(engine, at);
		if (crash !== undefined) {
			crash.isConfirmed = true;
		}
	}

	/** Forgets a report: the engine runs on, so that its connections broke for another reason. */
	dismiss(engine: EngineId, at: Instant): void {
		const crash = this.#find(engine, at);
		this.#crashes = this.#crashes.filter(other => other !== crash || other.isConfirmed);
	}

	/** Records that an engine completed a run with these segments. */
	prove(segments: readonly SegmentId[], now: Instant): void {
		this.#proven.add(segments, now);
	}

	/** Whether an engine completed a run with this segment lately. */
	isProven(segment: SegmentId, now: Instant): boolean {
		return this.#proven.has(segment, now);
	}

	/** Forgets the runs with these segments, after an operator lifted their quarantine. */
	forget(set: SegmentSet): void {
		for (const {runs} of this.#crashes) {
			for (const [id, {segments}] of runs) {
				if (includesSegments(segments, set)) {
					runs.delete(id);
				}
			}
		}
	}

	/** Evaluates the confirmed crashes that the quarantined sets do not explain. */
	evaluate(quarantined: readonly SegmentSet[], now: Instant): CrashVerdicts {
		this.#expire(now);
		const evidence = this.#crashes.filter(({isConfirmed}) => isConfirmed).map(crash => this.#reduce(crash, quarantined, now)).filter(item => item !== undefined);
		const cases = new Map<string, CrashCase & {readonly isConvicted: boolean; readonly lastAt: Instant}>();
		for (const segment of findSuspicious(evidence)) {
			const found = buildCase(segment, evidence, now);
			cases.set(segmentSetKey(found.segments), found);
		}

		const all = [...cases.values()].toSorted((a, b) => b.segments.length - a.segments.length || b.score - a.score);
		return {
			suspects: all.filter(({score, lastAt}) => score >= suspicionScore && now < addMs(lastAt, suspicionTtlMs)),
			// One at a time, since a conviction may explain the crashes of other cases
			convictions: all.filter(({isConvicted}) => isConvicted).slice(0, 1),
		};
	}

	/** Reduces a crash to the runs that may have caused it; undefined where there is none, or a quarantined set explains it. */
	#reduce(crash: CrashRecord, quarantined: readonly SegmentSet[], now: Instant): Evidence | undefined {
		const runs = [...crash.runs.values()];
		if (runs.some(({segments}) => quarantined.some(set => includesSegments(segments, set)))) {
			return undefined;
		}

		const unproven = runs.map(run => ({...run, segments: run.segments.filter(segment => !this.isProven(segment, now))})).filter(({segments}) => segments.length > 0);
		const begun = unproven.filter(run => hasBegun(run));
		const suspicious = begun.length > 0 ? begun : unproven;
		return suspicious.length === 0 ? undefined : {crash, weight: begun.length > 0 ? 1 : weakWeight, runs: suspicious};
	}

	#find(engine: EngineId, at: Instant): CrashRecord | undefined {
		return this.#crashes.find(crash => crash.engine === engine && Math.abs(crash.at - at) < sameCrashMs);
	}

	#expire(now: Instant): void {
		this.#crashes = this.#crashes.filter(({at}) => now < addMs(at, evidenceTtlMs));
	}
}

/** Whether a run had just begun. Servers don't tell when they begin with a whole request, so one that ran alone counts. */
const hasBegun = ({phase, isTrial, segments}: BrokenRun): boolean => phase === 'begun' || (isTrial === true && segments.some(segment => isRequestDigest(segment)));

/** The segments whose evidence can reach the score of a suspicion; a crash of a busy server leaves many that can't. */
const findSuspicious = (evidence: readonly Evidence[]): readonly SegmentId[] => {
	const scores = new Map<SegmentId, number>();
	for (const {runs, weight} of evidence) {
		for (const segment of new Set(runs.flatMap(({segments}) => segments))) {
			scores.set(segment, (scores.get(segment) ?? 0) + weight);
		}
	}

	return [...scores].filter(([, score]) => score >= suspicionScore).map(([segment]) => segment);
};

const runsWith = ({runs}: Evidence, set: SegmentSet): readonly BrokenRun[] => runs.filter(({segments}) => includesSegments(segments, set));

/** Builds the case against the segments that occur together with `segment` in every crash. */
const buildCase = (segment: SegmentId, all: readonly Evidence[], now: Instant): CrashCase & {readonly isConvicted: boolean; readonly lastAt: Instant} => {
	const evidence = all.filter(item => runsWith(item, [segment]).length > 0).toSorted((a, b) => a.crash.at - b.crash.at);
	const companions = new Set(runsWith(evidence[0]!, [segment]).flatMap(({segments}) => segments));
	const set = toSegmentSet([...companions].filter(other => evidence.every(item => runsWith(item, [segment, other]).length > 0)));
	const starts: Instant[] = [];
	let score = 0;
	const requestIds = new Set<RequestId>();
	for (const item of evidence) {
		const runs = runsWith(item, [segment]);
		const weight = item.weight * (runs.every(run => hasAlternative(run, set, evidence.length, all)) ? weakWeight : 1);
		const isSimultaneous = starts.length > 0 && item.crash.at - starts.at(-1)! < simultaneousMs && !runs.some(({isTrial}) => isTrial);
		score += isSimultaneous ? weight * weakWeight : weight;
		if (!isSimultaneous) {
			starts.push(item.crash.at);
		}

		for (const {requestId} of runs) {
			requestIds.add(requestId);
		}
	}

	return {
		segments: set,
		score,
		isConvicted: score >= (set.every(member => isRequestDigest(member)) ? requestConvictionScore : convictionScore) && starts.length >= minSeparateCrashes && requestIds.size >= minRequests,
		lastAt: evidence.at(-1)!.crash.at,
		crashes: evidence.map(item => ({
			engine: item.crash.engine, agoMs: Math.max(0, now - item.crash.at), requestIds: runsWith(item, [segment]).map(({requestId}) => requestId),
		})),
	};
};

/** Whether a run has a segment outside the set that occurs in about as many crashes as the set, and so may explain them instead. */
const hasAlternative = (run: BrokenRun, set: SegmentSet, crashes: number, all: readonly Evidence[]): boolean =>
	run.segments.some(other => !set.includes(other) && all.filter(item => runsWith(item, [other]).length > 0).length >= Math.max(2, crashes - 1));
