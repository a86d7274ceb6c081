/** Keeps requests that crash engines away from them: reports crashes to the leader, refuses quarantined requests, and lets suspected ones run one at a time. */
import {setTimeout as sleep} from 'node:timers/promises';
import {
	addMs, CRASH_REPORT, includesSegments, isRequestDigest, ProvenSegments, segmentSetKey, toSegmentSet, TRIAL_BEGIN, TRIAL_END, TrialSlots,
} from '@baobabpier/core';
import type {
	BrokenRun, Clock, EngineAddress, EngineId, InstanceId, Instant, RequestId, RunPhase, SegmentId, SegmentSet, SuspectsSnapshot,
} from '@baobabpier/core';
import {createLog} from '../log.js';
import type {Peers} from '../rpc/peers.js';
import type {CallScope} from './call-scope.js';
import type {Call} from './types.js';

const log = createLog('guard');
/** Time for which broken runs of one engine are collected into one report, in milliseconds. */
const collectMs = 15;
/** Timeout of a report, in milliseconds: the leader checks the engine before it responds. */
const reportTimeoutMs = 600;
/** Maximum wait of a request for the response to the report of its own broken run, in milliseconds. */
const ownReportWaitMs = 400;
/** Interval at which reports that were not acknowledged are sent again, in milliseconds. */
const resendIntervalMs = 300;
/** Age up to which crashes are reported to a new leader, in milliseconds, and their maximum number. */
const reportTtlMs = 60_000;
const maxReports = 32;
/** Time for which the suspects of a former leader stay suspected, in milliseconds. */
const formerSuspectsMs = 2000;
/** Time for which an instance suspects the segments of its own runs that broke off as they began, in milliseconds. */
const ownSuspicionMs = 10_000;
/** Response time allowed for a trial beyond its wait, in milliseconds. */
const trialGraceMs = 500;
/** Interval at which a trial is requested again while no leader responds, in milliseconds. */
const trialRetryMs = 100;

/** Number of its own runs that broke off as they began after which an instance without a leader sends no more requests with their segments. */
const maxFailuresAlone = 2;

/** Decision on whether a request may run at an engine. */
export type GuardDecision =
	| {readonly kind: 'clear'}
	/** It may run, as the only one with its suspected segments, best on an engine that is not in `avoid`. */
	| {readonly kind: 'trial'; readonly avoid: readonly EngineId[]}
	| {readonly kind: 'quarantined'; readonly segments: SegmentSet}
	/** Another request tried the segments all the while. */
	| {readonly kind: 'busy'};

/** Dependencies of a crash guard. */
export type CrashGuardParts = {
	readonly self: InstanceId;
	readonly clock: Clock;
	readonly peers: Peers;
	readonly leader: () => InstanceId | undefined;
};

type PendingReport = {
	readonly engine: EngineId;
	readonly address: string;
	readonly at: Instant;
	readonly runs: BrokenRun[];
	/** The leader's epoch in which it was acknowledged. */
	epoch: string | undefined;
	sending: Promise<void> | undefined;
};

type OpenCall = {
	readonly call: Call;
	readonly scope: CallScope;
};

const clear: GuardDecision = {kind: 'clear'};
const busy: GuardDecision = {kind: 'busy'};

/**
 * The entry instance's side of the quarantine.
 *
 * @example
 * const guard = new CrashGuard(parts);
 * const close = guard.register(call, scope);
 * (await guard.admit(call, scope, 900)).kind; // 'clear'
 */
export class CrashGuard {
	readonly counts = {refused: 0, trials: 0, reports: 0};
	#quarantined: readonly SegmentSet[] = [];
	#revision: number | undefined;
	#suspects: SuspectsSnapshot | undefined;
	#formerSuspects: {readonly sets: readonly SegmentSet[]; readonly until: Instant} | undefined;
	readonly #proven = new ProvenSegments();
	/** Apart from segments of prompts, which are far fewer and would give way. */
	readonly #provenRequests = new ProvenSegments();
	readonly #open = new Set<OpenCall>();
	readonly #trials = new Set<RequestId>();
	readonly #localSlots = new TrialSlots();
	#reports: readonly PendingReport[] = [];
	#timer: NodeJS.Timeout | undefined;

	constructor(private readonly parts: CrashGuardParts) {}

	/** Revision of the quarantine that is applied; undefined before the first. */
	get quarantineRevision(): number | undefined {
		return this.#revision;
	}

	/** Version of the leader's suspects; undefined before the first. */
	get suspectsVersion(): string | undefined {
		return this.#suspects?.version;
	}

	/** Number of quarantined sets. */
	get quarantined(): number {
		return this.#quarantined.length;
	}

	start(): void {
		this.#timer = setInterval(() => {
			void this.#resend();
		}, resendIntervalMs);
	}

	stop(): void {
		clearInterval(this.#timer);
	}

	/** Applies a newer quarantine, and ends the calls that it concerns. */
	applyQuarantine({revision, sets}: {readonly revision: number; readonly sets: readonly SegmentSet[]}): void {
		if (this.#revision !== undefined && revision <= this.#revision) {
			return;
		}

		log('The quarantine changed.', {revision, sets: sets.map(set => segmentSetKey(set)).join(', ')});
		this.#revision = revision;
		this.#quarantined = sets;
		for (const {call, scope} of this.#open) {
			const quarantined = this.#findQuarantined(call);
			if (quarantined !== undefined) {
				this.#refuse(call, quarantined);
				scope.end('quarantined');
			}
		}

		this.#reportProven(sets);
	}

	/** Applies the leader's suspects. A new leader has no evidence yet: it is sent the reports of the last minute, and the former suspects stay until it has them. */
	applySuspects(suspects: SuspectsSnapshot): void {
		const isNewEpoch = this.#suspects !== undefined && this.#suspects.epoch !== suspects.epoch;
		if (isNewEpoch) {
			this.#formerSuspects = {sets: this.#suspects?.sets ?? [], until: addMs(this.parts.clock.now(), formerSuspectsMs)};
		}

		this.#suspects = suspects;
		this.#reportProven(suspects.sets);
		if (isNewEpoch) {
			void this.#resend();
		}
	}

	/** Registers a call, which is ended when its segments are quarantined; returns a function that removes it. */
	register(call: Call, scope: CallScope): () => void {
		if (call.sharedSegments.length === 0) {
			return () => undefined;
		}

		const entry = {call, scope};
		this.#open.add(entry);
		return () => {
			this.#open.delete(entry);
			this.endTrial(call);
		};
	}

	/** Decides whether a call may run at an engine now; waits for `waitMs` at most while another request tries its segments. */
	async admit(call: Call, scope: CallScope, waitMs: number): Promise<GuardDecision> {
		if (call.sharedSegments.length === 0) {
			return clear;
		}

		await this.#waitForOwnReport(call);
		const quarantined = this.#findQuarantined(call);
		if (quarantined !== undefined) {
			return this.#refuse(call, quarantined);
		}

		if (this.#suspectedSets(call).length === 0) {
			return clear;
		}

		const decision = await this.#requestTrial(call, scope, waitMs);
		if (decision.kind === 'quarantined') {
			return this.#refuse(call, decision.segments);
		}

		if (decision.kind === 'trial') {
			this.counts.trials += 1;
			this.#trials.add(call.requestId);
		}

		return decision;
	}

	/** Records that a run broke off although this instance did not end it: its engine may have crashed. */
	recordBroken({requestId, sharedSegments}: Call, {id: engine, address}: EngineAddress, phase: RunPhase): void {
		if (sharedSegments.length === 0) {
			return;
		}

		const run = {
			requestId, segments: sharedSegments.filter(segment => !this.#isProven(segment)), phase, isTrial: this.#trials.has(requestId),
		};
		if (run.segments.length === 0) {
			return;
		}

		const now = this.parts.clock.now();
		const pending = this.#reports.find(report => report.engine === engine && report.epoch === undefined && report.sending === undefined);
		if (pending !== undefined) {
			pending.runs.push(run);
			return;
		}

		const report: PendingReport = {
			engine, address, at: now, runs: [run], epoch: undefined, sending: undefined,
		};
		this.#reports = [...this.#reports.filter(({at}) => now < addMs(at, reportTtlMs)), report].slice(-maxReports);
		setTimeout(() => {
			void this.#send(report);
		}, collectMs);
	}

	/** Records that an engine completed a run: its segments are sound. */
	recordComplete({sharedSegments}: Call): void {
		(sharedSegments.some(segment => isRequestDigest(segment)) ? this.#provenRequests : this.#proven).add(sharedSegments, this.parts.clock.now());
		this.#reportProven([...this.#suspects?.sets ?? [], ...this.#quarantined].filter(set => set.some(segment => sharedSegments.includes(segment))));
	}

	/** Ends a call's trial, if it has one: its run is over, or has written for long enough. */
	endTrial(call: Call): void {
		const {requestId} = call;
		if (!this.#trials.delete(requestId)) {
			return;
		}

		this.#localSlots.release(requestId);
		void this.#endTrialAtLeader(call);
	}

	async #endTrialAtLeader(call: Call): Promise<void> {
		const {requestId} = call;
		// The leader hears of a crash before the slot is free
		await this.#waitForOwnReport(call);
		const leader = this.parts.leader();
		try {
			await (leader === undefined ? undefined : this.parts.peers.get(leader).call(TRIAL_END, {requestId}, reportTimeoutMs));
		} catch (error) {
			log('The end of a trial could not be reported; its slot expires.', {requestId, detail: (error as Error).message});
		}
	}

	#refuse({requestId, sharedSegments}: Call, segments: SegmentSet): GuardDecision {
		this.counts.refused += 1;
		log('A prompt is quarantined.', {requestId, quarantined: segmentSetKey(segments), segments: sharedSegments.length});
		return {kind: 'quarantined', segments};
	}

	#isProven(segment: SegmentId): boolean {
		return (isRequestDigest(segment) ? this.#provenRequests : this.#proven).has(segment, this.parts.clock.now());
	}

	#findQuarantined({sharedSegments}: Call): SegmentSet | undefined {
		return this.#quarantined.find(set => includesSegments(sharedSegments, set));
	}

	/** The suspected sets of a call, without the segments that are proven sound here: the leader has yet to hear of them. */
	#suspectedSets({sharedSegments}: Call): readonly SegmentSet[] {
		const former = this.#formerSuspects !== undefined && this.parts.clock.now() < this.#formerSuspects.until ? this.#formerSuspects.sets : [];
		return [...this.#suspects?.sets ?? [], ...former, ...this.#ownSets].map(set => set.filter(segment => !this.#isProven(segment))).filter(set => includesSegments(sharedSegments, set));
	}

	/** Sets of this instance's runs that broke off lately as they began: the leader may be lost before it tells of them. One crash is no ground to suspect a whole request. */
	get #ownSets(): readonly SegmentSet[] {
		const now = this.parts.clock.now();
		return this.#reports.filter(({at}) => now < addMs(at, ownSuspicionMs)).flatMap(({runs}) => runs.filter(({phase, segments}) => phase === 'begun' && !segments.some(segment => isRequestDigest(segment))).map(({segments}) => toSegmentSet(segments)));
	}

	#ownReport(requestId: RequestId): PendingReport | undefined {
		return this.#reports.findLast(({runs}) => runs.some(run => run.requestId === requestId));
	}

	/** Waits until the leader has checked the engine at which this call's last run broke off, so that a crash does not spread at once. */
	async #waitForOwnReport({requestId}: Call): Promise<void> {
		const until = addMs(this.parts.clock.now(), ownReportWaitMs);
		for (;;) {
			const report = this.#ownReport(requestId);
			if (report === undefined || report.epoch !== undefined || this.parts.leader() === undefined || this.parts.clock.now() >= until) {
				return;
			}

			// eslint-disable-next-line no-await-in-loop
			await Promise.race([report.sending ?? sleep(collectMs), sleep(ownReportWaitMs)]);
		}
	}

	async #requestTrial(call: Call, scope: CallScope, waitMs: number): Promise<GuardDecision> {
		const {requestId, sharedSegments} = call;
		const until = addMs(this.parts.clock.now(), Math.min(waitMs, scope.remainingMs()));
		let failure: string | undefined;
		while (scope.reason === undefined) {
			const leader = this.parts.leader();
			const leftMs = Math.max(0, until - this.parts.clock.now());
			try {
				if (leader !== undefined) {
					// eslint-disable-next-line no-await-in-loop
					return await this.parts.peers.get(leader).call(TRIAL_BEGIN, {
						requestId, segments: sharedSegments, suspected: this.#suspectedSets(call), waitMs: leftMs,
					}, leftMs + trialGraceMs, scope.signal);
				}
			} catch (error) {
				failure = (error as Error).message;
			}

			if (leftMs === 0) {
				break;
			}

			// eslint-disable-next-line no-await-in-loop
			await sleep(Math.min(leftMs, trialRetryMs));
		}

		const decision = scope.reason === undefined ? this.#decideAlone(call) : busy;
		log('A trial could not be requested from the leader.', {
			requestId, leader: this.parts.leader(), detail: failure, decision: decision.kind,
		});
		return decision;
	}

	/** Without a leader, one request of this instance at a time tries suspected segments, until its own trials point to them as well. */
	#decideAlone(call: Call): GuardDecision {
		const sets = this.#suspectedSets(call);
		const failures = this.#reports.filter(({runs}) => runs.some(({segments, phase}) => phase === 'begun' && sets.some(set => includesSegments(segments, set)))).length;
		return failures < maxFailuresAlone && this.#localSlots.acquire(call.requestId, sets, this.parts.clock.now()) ? {kind: 'trial', avoid: []} : busy;
	}

	async #resend(): Promise<void> {
		const now = this.parts.clock.now();
		this.#reports = this.#reports.filter(({at}) => now < addMs(at, reportTtlMs));
		await Promise.all(this.#reports.filter(({epoch, at}) => (epoch === undefined || epoch !== this.#suspects?.epoch) && now >= addMs(at, collectMs)).map(async report => this.#send(report)));
	}

	async #send(report: PendingReport): Promise<void> {
		report.sending ??= this.#sendOnce(report);
		await report.sending;
	}

	async #sendOnce(report: PendingReport): Promise<void> {
		const leader = this.parts.leader();
		const {
			engine, address, at, runs,
		} = report;
		try {
			if (leader !== undefined) {
				const {suspects} = await this.parts.peers.get(leader).call(CRASH_REPORT, {
					instance: this.parts.self, crashes: [{
						engine, address, agoMs: this.parts.clock.now() - at, runs,
					}], proven: [],
				}, reportTimeoutMs);
				this.counts.reports += 1;
				report.epoch = suspects.epoch;
				if (leader === this.parts.leader()) {
					this.applySuspects(suspects);
				}
			}
		} catch (error) {
			log('A crash could not be reported; the report is sent again.', {engine, leader, detail: (error as Error).message});
		} finally {
			report.sending = undefined;
		}
	}

	/** Tells the leader which segments of these sets are sound. */
	#reportProven(sets: readonly SegmentSet[]): void {
		const proven = [...new Set(sets.flat())].filter(segment => this.#isProven(segment));
		if (proven.length > 0) {
			void this.#sendProven(proven);
		}
	}

	async #sendProven(proven: readonly SegmentId[]): Promise<void> {
		const leader = this.parts.leader();
		if (leader === undefined) {
			return;
		}

		try {
			await this.parts.peers.get(leader).call(CRASH_REPORT, {instance: this.parts.self, crashes: [], proven}, reportTimeoutMs);
		} catch (error) {
			log('Sound segments could not be reported; the next change of the suspects reports them again.', {leader, detail: (error as Error).message});
		}
	}
}
