/** Collects the crash evidence of all instances while this one leads, records verdicts in the control log, and grants trials. */
import {randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	addMs, CRASH_REPORT, CrashChecks, CrashEvidence, includesSegments, QUARANTINE_LIFT, QUARANTINE_LIST,
	QUARANTINE_SET, quarantineTtlMs, segmentSetKey, toSegmentSet, TRIAL_BEGIN, TRIAL_END, TrialSlots,
} from '@baobabpier/core';
import type {
	ActiveQuarantine, Clock, ControlLog, CrashCase, CrashReport, CrashReportParams, EngineId, InstanceId, Instant, SegmentId, SegmentSet, SuspectsSnapshot, TrialParams, TrialResponse,
} from '@baobabpier/core';
import {createLog} from '../log.js';
import type {RpcServer} from '../rpc/rpc-server.js';
import type {EngineState} from './engine-liveness.js';

const log = createLog('quarantine');
/** Interval at which unknown engine states are checked again and verdicts are tried again, in milliseconds. */
const checkIntervalMs = 400;
/** Time after which an engine whose state stays unknown no longer counts as crashed, in milliseconds: a restarted one is listed by then. */
const checkTimeoutMs = 8000;
/** Maximum number of requests that wait for a trial slot. */
const maxWaiting = 256;
/** Interval at which waiting requests are looked at, in milliseconds. */
const waitIntervalMs = 25;
/** Interval at which expired quarantines are lifted, in milliseconds. */
const expiryIntervalMs = 5000;

/** Time after its election in which a leader relies on the suspicions of others, in milliseconds: they report to it within that time. */
const newTermMs = 2000;
/** Time after its election for which a leader grants no trial, in milliseconds: entry instances report to it again within that time. */
const evidenceDelayMs = 500;
const notLeading = 'this instance does not lead';

/** Dependencies of the quarantine task. */
export type QuarantineTaskParts = {
	readonly self: InstanceId;
	readonly control: Pick<ControlLog, 'state' | 'submit' | 'registerListener'>;
	readonly clock: Clock;
	/** Whether this instance is certain to lead. */
	readonly isLeading: () => boolean;
	/** Whether an engine ended at or after a time, in milliseconds since the epoch. */
	readonly checkEngine: (engine: EngineId, address: string, since: number) => Promise<EngineState>;
	/** Decode engines that a trial should avoid because they serve more streams than others. */
	readonly busyEngines: () => readonly EngineId[];
	/** Called when the suspects change. */
	readonly onSuspects: () => void;
};

type UncheckedCrash = {
	readonly engine: EngineId;
	readonly address: string;
	readonly at: Instant;
	/** The same, in milliseconds since the epoch. */
	readonly wallAt: number;
};

type WaitingTrial = {
	readonly params: TrialParams;
	readonly until: Instant;
	readonly resolve: (response: TrialResponse) => void;
	readonly reject: (error: Error) => void;
};

/** Decides at the leader; other instances serve only what the control log holds. */
export class QuarantineTask {
	readonly counts = {
		crashes: 0, trials: 0, convictions: 0, lifted: 0,
	};

	#evidence = new CrashEvidence();
	#slots = new TrialSlots();
	#unchecked: readonly UncheckedCrash[] = [];
	readonly #checks = new CrashChecks();
	/** Checks in progress, for which all reports of the same engine wait. */
	readonly #running = new Map<EngineId, Promise<void>>();
	#suspects: readonly CrashCase[] = [];
	#revision = 0;
	readonly #waiting = new Set<WaitingTrial>();
	#isSubmitting = false;
	#isWaitScheduled = false;
	#wasLeading = false;
	#epoch = '';
	/** Shared by all watchers until it changes. */
	#lastSnapshot: SuspectsSnapshot | undefined;
	#termBeganAt = 0 as Instant;
	#timers: NodeJS.Timeout[] = [];

	constructor(private readonly parts: QuarantineTaskParts) {}

	/** The suspected sets; undefined unless this instance leads. */
	get suspects(): SuspectsSnapshot | undefined {
		return this.parts.isLeading() ? this.#snapshot() : undefined;
	}

	/** Number of requests that wait for a trial. */
	get waiting(): number {
		return this.#waiting.size;
	}

	start(server: RpcServer): void {
		const {control, isLeading} = this.parts;
		server.registerMethod(CRASH_REPORT, async params => this.#report(params));
		server.registerMethod(TRIAL_BEGIN, async (params, {signal}) => this.#beginTrial(params, signal));
		server.registerMethod(TRIAL_END, ({requestId}) => {
			this.#slots.release(requestId);
			this.#serveWaiting();
			return {};
		});
		server.registerMethod(QUARANTINE_LIST, () => ({quarantined: control.state.quarantine.entries, suspects: isLeading() ? this.#suspects : []}));
		server.registerMethod(QUARANTINE_SET, async ({segments, author}) => {
			const entry = {
				segments: toSegmentSet(segments), decidedBy: author, reason: 'set by hand', crashes: [],
			};
			const result = await control.submit<'quarantine.add'>({kind: 'quarantine.add', entry});
			log('A quarantine is set by hand.', {segments: segmentSetKey(entry.segments), author, added: result.added});
			return result;
		});
		server.registerMethod(QUARANTINE_LIFT, async ({segments, author}) => this.#lift(toSegmentSet(segments), author, 'lifted by hand'));
		control.registerListener(entry => {
			if (entry?.command.kind === 'quarantine.lift') {
				this.#evidence.forget(entry.command.segments);
			}

			if (entry === undefined || entry.command.kind === 'quarantine.add' || entry.command.kind === 'quarantine.lift') {
				this.#evaluate();
			}
		});
		this.#timers = [
			setInterval(() => {
				void this.#checkEngines(this.#unchecked);
			}, checkIntervalMs),
			setInterval(() => {
				void this.#liftExpired();
			}, expiryIntervalMs),
		];
	}

	stop(): void {
		for (const timer of this.#timers) {
			clearInterval(timer);
		}

		this.#rejectWaiting('this instance stops');
	}

	get #quarantined(): readonly SegmentSet[] {
		return this.parts.control.state.quarantine.entries.map(({segments}) => segments);
	}

	/** Records a report; responds once the reported engines are checked, so that the sender knows what is suspected before it sends again. */
	async #report({instance, crashes, proven}: CrashReportParams): Promise<{readonly suspects: SuspectsSnapshot}> {
		if (!this.parts.isLeading()) {
			throw new Error(notLeading);
		}

		const now = this.parts.clock.now();
		this.#beginTerm();
		if (proven.length > 0) {
			this.#evidence.prove(proven, now);
			void this.#narrow(proven);
		}

		const added = crashes.map(crash => this.#record(instance, crash, now)).filter(crash => crash !== undefined);
		this.#unchecked = [...this.#unchecked, ...added];
		const reported = new Set(crashes.map(({engine}) => engine));
		await this.#checkEngines(this.#unchecked.filter(({engine}) => reported.has(engine)));
		return {suspects: this.#snapshot()};
	}

	/** Returns the crash when its engine is yet to be checked. */
	#record(instance: InstanceId, {engine, address, agoMs, runs}: CrashReport, now: Instant): UncheckedCrash | undefined {
		const at = addMs(now, -agoMs);
		const isUnconfirmed = this.#evidence.record({engine, at, runs}, now);
		log('Runs broke off with an engine.', {
			engine, instance, agoMs: Math.round(agoMs), runs: runs.length, begun: runs.filter(({phase}) => phase === 'begun').map(({requestId}) => requestId).join(' '),
		});
		return isUnconfirmed && this.#unchecked.every(crash => crash.engine !== engine)
			? {
				engine, address, at, wallAt: Date.now() - agoMs,
			}
			: undefined;
	}

	#snapshot(): SuspectsSnapshot {
		this.#beginTerm();
		this.#lastSnapshot ??= {epoch: this.#epoch, version: `${this.#epoch}/${this.#revision}`, sets: this.#suspects.map(({segments}) => segments)};
		return this.#lastSnapshot;
	}

	/** Starts without evidence after another instance led: the entry instances report to each new leader again. */
	#beginTerm(): void {
		if (!this.#wasLeading) {
			this.#wasLeading = true;
			this.#epoch = `${this.parts.self}/${randomUUID()}`;
			this.#termBeganAt = this.parts.clock.now();
			this.#lastSnapshot = undefined;
			this.#evidence = new CrashEvidence();
			this.#slots = new TrialSlots();
			this.#unchecked = [];
		}
	}

	async #checkEngines(crashes: readonly UncheckedCrash[]): Promise<void> {
		if (!this.parts.isLeading()) {
			this.#wasLeading = false;
			this.#setSuspects([]);
			return;
		}

		const {clock} = this.parts;
		this.#checks.expire(clock.now());
		for (const crash of crashes) {
			if (this.#checks.tryBegin(crash.engine, crash.at, clock.now())) {
				this.#beginCheck(crash);
			}
		}

		await Promise.all(crashes.map(async ({engine}) => this.#running.get(engine)));
		this.#evaluate();
	}

	#beginCheck(crash: UncheckedCrash): void {
		const {engine} = crash;
		const check = this.#checkEngine(crash).finally(() => {
			if (this.#running.get(engine) === check) {
				this.#checks.end(engine);
				this.#running.delete(engine);
			}
		});
		this.#running.set(engine, check);
	}

	async #checkEngine(crash: UncheckedCrash): Promise<void> {
		const {
			engine, address, at, wallAt,
		} = crash;
		const state = await this.parts.checkEngine(engine, address, wallAt);
		const ageMs = this.parts.clock.now() - at;
		if (!this.#unchecked.includes(crash) || (state === 'unknown' && ageMs < checkTimeoutMs)) {
			return;
		}

		this.#unchecked = this.#unchecked.filter(other => other !== crash);
		if (state === 'ended') {
			this.counts.crashes += 1;
			this.#evidence.confirm(engine, at);
			log('An engine crashed.', {engine, agoMs: Math.round(ageMs)});
			return;
		}

		this.#evidence.dismiss(engine, at);
		log('An engine whose connections broke did not crash, or can\'t be checked.', {engine, state});
	}

	/** Derives suspects and verdicts from the evidence. */
	#evaluate(): void {
		if (!this.parts.isLeading()) {
			return;
		}

		const {suspects, convictions} = this.#evidence.evaluate(this.#quarantined, this.parts.clock.now());
		this.#setSuspects(suspects);
		if (convictions.length > 0 && !this.#isSubmitting) {
			void this.#convict(convictions[0]!);
		}

		this.#serveWaiting();
	}

	#setSuspects(suspects: readonly CrashCase[]): void {
		const keysOf = (cases: readonly CrashCase[]): string => cases.map(({segments}) => segmentSetKey(segments)).toSorted().join(',');
		const isChanged = keysOf(suspects) !== keysOf(this.#suspects);
		this.#suspects = suspects;
		if (isChanged) {
			this.#revision += 1;
			this.#lastSnapshot = undefined;
			log('The suspected segment sets changed.', {sets: suspects.map(({segments, score}) => `${segmentSetKey(segments)} (${score})`).join(', ')});
			this.parts.onSuspects();
		}
	}

	async #convict({segments, score, crashes}: CrashCase): Promise<void> {
		this.#isSubmitting = true;
		const now = Date.now();
		try {
			await this.parts.control.submit<'quarantine.add'>({
				kind: 'quarantine.add', entry: {
					segments, decidedBy: this.parts.self, reason: 'engines crashed', crashes: crashes.map(({engine, agoMs, requestIds}) => ({engine, at: Math.round(now - agoMs), requestIds})),
				},
			});
			this.counts.convictions += 1;
			log('A segment set is quarantined: engines crashed as they began to write on it.', {
				segments: segmentSetKey(segments), score, decidedBy: this.parts.self, crashes: crashes.map(({engine, agoMs, requestIds}) => `${engine} ${new Date(now - agoMs).toISOString()} ${requestIds.join('+')}`).join(', '),
			});
		} catch (error) {
			log('A quarantine could not be recorded; it is tried again.', {segments: segmentSetKey(segments), detail: (error as Error).message});
		} finally {
			this.#isSubmitting = false;
		}
	}

	/** Takes proven segments out of the quarantine that crashes led to; a set that loses all of them is lifted. */
	async #narrow(proven: readonly SegmentId[]): Promise<void> {
		for (const entry of this.parts.control.state.quarantine.entries.filter(({crashes, segments}) => crashes.length > 0 && segments.some(segment => proven.includes(segment)))) {
			// Changes are recorded in sequence
			// eslint-disable-next-line no-await-in-loop
			await this.#narrowEntry(entry, entry.segments.filter(segment => !proven.includes(segment)));
		}
	}

	async #narrowEntry({segments, reason, crashes}: ActiveQuarantine, rest: SegmentSet): Promise<void> {
		if (rest.length === 0) {
			await this.#lift(segments, this.parts.self, 'an engine completed a run with it');
			return;
		}

		try {
			await this.parts.control.submit<'quarantine.add'>({
				kind: 'quarantine.add', entry: {
					segments: rest, decidedBy: this.parts.self, reason, crashes,
				},
			});
			log('A quarantine is narrowed: an engine completed a run with the other segments.', {segments: segmentSetKey(rest), before: segmentSetKey(segments)});
		} catch (error) {
			log('A quarantine could not be narrowed.', {segments: segmentSetKey(segments), detail: (error as Error).message});
		}
	}

	async #lift(segments: SegmentSet, by: string, reason: string): Promise<{readonly lifted: boolean}> {
		const result = await this.parts.control.submit<'quarantine.lift'>({kind: 'quarantine.lift', segments});
		this.counts.lifted += result.lifted ? 1 : 0;
		log('A quarantine is lifted.', {
			segments: segmentSetKey(segments), by, reason, lifted: result.lifted,
		});
		return result;
	}

	async #liftExpired(): Promise<void> {
		if (!this.parts.isLeading()) {
			return;
		}

		for (const {segments} of this.parts.control.state.quarantine.entries.filter(({since}) => Date.now() - since > quarantineTtlMs)) {
			try {
				// Changes are recorded in sequence
				// eslint-disable-next-line no-await-in-loop
				await this.#lift(segments, this.parts.self, 'its time is over');
			} catch (error) {
				log('An expired quarantine could not be lifted; it is tried again.', {segments: segmentSetKey(segments), detail: (error as Error).message});
			}
		}
	}

	async #beginTrial(params: TrialParams, signal: AbortSignal): Promise<TrialResponse> {
		if (!this.parts.isLeading()) {
			throw new Error(notLeading);
		}

		this.#beginTerm();
		const decision = this.#decide(params);
		if (decision !== undefined || params.waitMs <= 0 || this.#waiting.size >= maxWaiting) {
			return decision ?? {kind: 'busy'};
		}

		return new Promise((resolve, reject) => {
			const waiting = {
				params, until: addMs(this.parts.clock.now(), params.waitMs), resolve, reject,
			};
			this.#waiting.add(waiting);
			signal.addEventListener('abort', () => {
				this.#waiting.delete(waiting);
			}, {once: true});
			void this.#pollWaiting();
		});
	}

	/** Decides on a request with suspected segments; undefined while another one holds the slot. */
	#decide({requestId, segments, suspected}: TrialParams): TrialResponse | undefined {
		const quarantined = this.#quarantined.find(set => includesSegments(segments, set));
		if (quarantined !== undefined) {
			return {kind: 'quarantined', segments: quarantined};
		}

		const isNew = this.parts.clock.now() < addMs(this.#termBeganAt, newTermMs);
		const sets = [...this.#suspects.map(suspect => suspect.segments), ...(isNew ? suspected : [])].filter(set => includesSegments(segments, set));
		if (sets.length === 0) {
			return {kind: 'clear'};
		}

		// A new leader decides once it has the evidence of the former one's term
		if (this.parts.clock.now() < addMs(this.#termBeganAt, evidenceDelayMs) || !this.#slots.acquire(requestId, sets, this.parts.clock.now())) {
			return undefined;
		}

		this.counts.trials += 1;
		log('A request tries suspected segments.', {requestId, segments: sets.map(set => segmentSetKey(set)).join(', '), waiting: this.#waiting.size});
		return {kind: 'trial', avoid: this.parts.busyEngines()};
	}

	#rejectWaiting(reason: string): void {
		for (const {reject} of this.#waiting) {
			reject(new Error(reason));
		}

		this.#waiting.clear();
	}

	#serveWaiting(): void {
		if (!this.parts.isLeading()) {
			this.#rejectWaiting(notLeading);
			return;
		}

		const now = this.parts.clock.now();
		for (const waiting of this.#waiting) {
			const decision = this.#decide(waiting.params) ?? (now >= waiting.until ? {kind: 'busy' as const} : undefined);
			if (decision !== undefined) {
				this.#waiting.delete(waiting);
				waiting.resolve(decision);
			}
		}
	}

	async #pollWaiting(): Promise<void> {
		if (this.#isWaitScheduled) {
			return;
		}

		this.#isWaitScheduled = true;
		while (this.#waiting.size > 0) {
			// eslint-disable-next-line no-await-in-loop
			await sleep(waitIntervalMs);
			this.#serveWaiting();
		}

		this.#isWaitScheduled = false;
	}
}
