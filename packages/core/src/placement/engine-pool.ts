/** The engine pool of one service in one data centre, kept by the instance that owns it. */
import type {EngineEntry, ServiceLimits} from '../catalogue/types.js';
import {routerError} from '../errors.js';
import type {RouterError} from '../errors.js';
import type {
	AttemptNumber, EngineId, InstanceId, RequestId,
} from '../ids.js';
import type {EngineHold, EngineReport} from '../engine/engine-client.js';
import type {Instant} from '../time.js';
import {unstatedVersion} from '../server-list.js';
import {chooseDecision} from './choose-decision.js';
import {HoldTable} from './hold-table.js';
import type {Grant, HeldPlacement, PoolTimings} from './hold-table.js';
import type {LearnedEstimates} from './learned-estimates.js';
import {isBound, PlacementQueue} from './placement-queue.js';
import {VersionedEngineIndex} from './versioned-engine-index.js';
import type {
	EngineAddress, EngineView, MemoryDemand, Placement, PlacementDecision, PlacementPolicy, PlacementRequest, PlacementStep, StreamOutcome,
} from './types.js';

/** Input events of the pool. */
export type PoolEvent =
	| {readonly kind: 'place'; readonly req: PlacementRequest}
	/** The request left the queue or released its placement; `rejectedBy` are the engines that had no memory for it. */
	| ({readonly kind: 'release'; readonly hold: EngineHold; readonly rejectedBy?: readonly EngineId[]} & StreamOutcome)
	/** The prefill is over, and its engine can start the next one, or the transfer is over, and the link can carry the next one. */
	| PlacementStep
	/** A holder reports the placements that it still uses. */
	| {readonly kind: 'renew'; readonly holder: InstanceId; readonly places: readonly HeldPlacement[]}
	/** An engine confirmed a cancellation that this pool requested. */
	| {readonly kind: 'freed'; readonly hold: EngineHold}
	| {readonly kind: 'report'; readonly report: EngineReport}
	| {readonly kind: 'engines'; readonly engines: readonly EngineEntry[]; readonly leaving: ReadonlySet<EngineId>}
	/** Time passed: the pool processes the queue, as a waiting request may be able to start. */
	| {readonly kind: 'drain'}
	/** The pool checks leases and queue timeouts. */
	| {readonly kind: 'tick'};

/** Actions that the pool requests. */
export type PoolEffect =
	| {readonly kind: 'placed'; readonly hold: EngineHold; readonly placement: Placement}
	| {readonly kind: 'refused'; readonly hold: EngineHold; readonly error: RouterError}
	/** Cancel a hold without a live holder on its engine, and send `freed` to the pool once the engine confirms. */
	| {readonly kind: 'cancel'; readonly engine: EngineAddress; readonly hold: EngineHold};

/**
 * Engines that take a limited number of requests.
 *
 * @example
 * const admission: EngineAdmission = {isOpen: engine => !exhausted.has(engine), reserve: () => undefined, release: () => undefined};
 */
export type EngineAdmission = {
	/** Whether a request may be placed on an engine now. */
	isOpen(engine: EngineId): boolean;
	/** Reserves the engine's next request for one that is placed on it. */
	reserve(engine: EngineId, requestId: RequestId): void;
	/** Returns what a request has reserved and not used. */
	release(requestId: RequestId): void;
};

const unlimitedAdmission: EngineAdmission = {
	isOpen: () => true,
	reserve() {
		// Nothing is counted
	},
	release() {
		// Nothing is counted
	},
};

type TrackedEngine = {
	readonly entry: EngineEntry;
	readonly leaving: boolean;
};

/**
 * Grants memory pieces of its engines. Every placement goes through the one owner, so the owner's count is exact.
 *
 * @example
 * const pool = new EnginePool(self, policy, limits, timings);
 * const effects = pool.step({kind: 'place', req}, clock.now());
 */
export class EnginePool {
	readonly #engines = new Map<EngineId, TrackedEngine>();
	readonly #holds: HoldTable;
	readonly #views = new Map<EngineId, EngineView>();
	/** Engines that the admission keeps closed; it says nothing of when it opens them, so they are checked on every refresh. */
	readonly #closedEngines = new Set<EngineId>();
	/** Engines on which nothing may be granted before a time, unless something else changes. */
	readonly #grantableLater = new Map<EngineId, Instant>();
	/** The earliest of these times. */
	#nextGrantableAt: number = Number.POSITIVE_INFINITY;
	readonly #index = new VersionedEngineIndex();
	readonly #queue = new PlacementQueue();

	constructor(
		private readonly self: InstanceId,
		private readonly policy: PlacementPolicy,
		private readonly limits: Pick<ServiceLimits, 'queue'>,
		timings: PoolTimings,
		private readonly admission: EngineAdmission = unlimitedAdmission,
	) {
		this.#holds = new HoldTable(timings);
	}

	/** Number of requests that wait for a placement. */
	get waiting(): number {
		return this.#queue.length;
	}

	/** Learned rate at which prefill engines read prompts, in tokens per millisecond; undefined when the policy learns none. */
	get prefillTokensPerMs(): number | undefined {
		return this.policy.prefillTokensPerMs;
	}

	/** Estimates to hand over to the pool's next owner; undefined when the policy learns nothing. */
	get learned(): LearnedEstimates | undefined {
		return this.policy.learned;
	}

	/** Memory pieces that a stream is expected to need. */
	expectedPieces(demand: MemoryDemand): number {
		return this.policy.expectedPieces?.(demand) ?? demand.pieces;
	}

	/** Number of engines that decisions have examined so far. */
	get examinedEngines(): number {
		return this.#index.examined;
	}

	/** Handles one event and returns the actions to perform, in order. */
	step(event: PoolEvent, now: Instant): PoolEffect[] {
		const effects = this.#handleEvent(event, now);
		this.#refreshChangedEngines(now);
		return effects;
	}

	/** Returns the placements granted now. */
	grants(): ReadonlyArray<EngineHold & {readonly holder: InstanceId; readonly engine: EngineId; readonly pieces: number}> {
		return this.#holds.grants().map(({
			requestId, attempt, holder, decode, pieces,
		}) => ({
			requestId, attempt, holder, engine: decode.id, pieces,
		}));
	}

	/** Returns the engine states that the policy reads. */
	views(): readonly EngineView[] {
		return [...this.#views.values()];
	}

	#handleEvent(event: PoolEvent, now: Instant): PoolEffect[] {
		switch (event.kind) {
			case 'place': {
				return this.#handlePlace(event.req, now);
			}

			case 'release': {
				this.#queue.remove(event.hold);
				this.#holds.release(event.hold, now, event.rejectedBy);
				this.policy.observe?.({...event, kind: 'released'}, now);
				return this.#processQueue(now);
			}

			case 'prefillDone': {
				this.#holds.endPrefill(event.hold);
				this.policy.observe?.(event, now);
				return this.#processQueue(now);
			}

			case 'transferDone': {
				this.#holds.confirmStart(event.hold);
				this.policy.observe?.(event, now);
				return this.#processQueue(now);
			}

			case 'drain': {
				return this.#processQueue(now);
			}

			case 'renew': {
				this.#holds.renew(event.holder, event.places, now);
				return [];
			}

			case 'freed': {
				this.#holds.confirmFreed(event.hold, now);
				return this.#processQueue(now);
			}

			case 'report': {
				return this.#handleReport(event.report, now);
			}

			case 'engines': {
				this.#setEngines(event.engines, event.leaving, now);
				return this.#processQueue(now);
			}

			case 'tick': {
				return this.#handleTick(now);
			}
		}
	}

	/** Updates the index for the engines that changed, or may have become grantable, rather than for all engines. */
	#refreshChangedEngines(now: Instant): void {
		for (const id of new Set([...this.#holds.takeChangedEngines(), ...this.#closedEngines, ...this.#takeGrantable(now)])) {
			this.#refreshEngine(id, now);
		}
	}

	/** Returns and removes the engines whose time has come. */
	#takeGrantable(now: Instant): readonly EngineId[] {
		if (now < this.#nextGrantableAt) {
			return [];
		}

		const grantable = [...this.#grantableLater].filter(([, at]) => at <= now).map(([id]) => id);
		for (const id of grantable) {
			this.#grantableLater.delete(id);
		}

		this.#nextGrantableAt = Math.min(...this.#grantableLater.values());
		return grantable;
	}

	#refreshEngine(id: EngineId, now: Instant): void {
		const tracked = this.#engines.get(id);
		if (tracked === undefined) {
			return;
		}

		const {entry, leaving} = tracked;
		const {
			pieces, grantable, grantableFrom, running, queuedTokens, reportedAt, incarnation,
		} = this.#holds.usage(id, now);
		const view: EngineView = {
			id,
			address: entry.address,
			dataCentre: entry.dataCentre,
			role: entry.role,
			pieces: entry.pieces,
			freePieces: grantable ? Math.max(0, entry.pieces - pieces - (this.policy.headroomPieces?.(running) ?? 0)) : 0,
			queuedTokens,
			running,
			reportedAt,
			incarnation,
			maxStreams: this.policy.maxStreams?.(id) ?? Number.POSITIVE_INFINITY,
			leaving,
			isClosed: !this.admission.isOpen(id),
			softwareVersion: entry.softwareVersion,
		};
		this.#scheduleRefresh(id, view.isClosed === true, grantable ? undefined : grantableFrom);

		if (view.running !== (this.#views.get(id)?.running ?? 0)) {
			this.policy.observe?.({kind: 'streams', engine: id, streams: view.running}, now);
		}

		this.#views.set(id, view);
		this.#index.set(view);
	}

	#scheduleRefresh(id: EngineId, isClosed: boolean, grantableFrom: Instant | undefined): void {
		if (isClosed) {
			this.#closedEngines.add(id);
		} else {
			this.#closedEngines.delete(id);
		}

		if (grantableFrom === undefined) {
			this.#grantableLater.delete(id);
		} else {
			this.#grantableLater.set(id, grantableFrom);
			this.#nextGrantableAt = Math.min(this.#nextGrantableAt, grantableFrom);
		}
	}

	#handlePlace(original: PlacementRequest, now: Instant): PoolEffect[] {
		const req = {...original, pieces: this.expectedPieces(original)};
		const granted = this.#holds.lookup(req);
		if (granted !== undefined) {
			return [this.#createPlacedEffect(granted)];
		}

		if (this.#index.largestPieces > 0 && req.pieces > this.#index.largestPieces) {
			return [{kind: 'refused', hold: req, error: routerError('promptTooLong', `${req.promptTokens} tokens need ${req.pieces} pieces`)}];
		}

		const admission = this.#queue.length >= this.limits.queue ? {kind: 'refuse' as const, error: routerError('overloaded')} : (isBound(req) ? undefined : this.policy.admit?.(req, this.#queue, now));
		if (admission?.kind === 'refuse') {
			return [{kind: 'refused', hold: req, error: admission.error}];
		}

		this.#queue.push(req);
		if (admission?.kind === 'defer') {
			this.#queue.defer(req);
		}

		return this.#processQueue(now);
	}

	/** Places the requests of streams that have begun as far as engines can take them, then the other requests in queue order until one must wait. */
	#processQueue(now: Instant): PoolEffect[] {
		const effects: PoolEffect[] = [];
		for (const req of this.#queue.boundRequests()) {
			const decision = this.#decide(req, now);
			effects.push(...decision.kind === 'wait' ? [] : this.#applyDecision(decision, req, now));
		}

		for (let head = this.#queue.peek(); head !== undefined; head = this.#queue.peek()) {
			const decision = this.#decide(head, now);
			if (decision.kind !== 'wait') {
				effects.push(...this.#applyDecision(decision, head, now));
				continue;
			}

			const bypassing = decision.shortage === 'memory' ? this.#placeSmaller(head, now) : undefined;
			if (bypassing === undefined) {
				break;
			}

			effects.push(...bypassing);
		}

		return effects;
	}

	/** Places a smaller request while the head of the queue waits for memory; returns undefined when none can be placed. */
	#placeSmaller(head: PlacementRequest, now: Instant): PoolEffect[] | undefined {
		const smaller = this.#queue.findSmaller(head);
		const decision = smaller === undefined ? undefined : this.#decide(smaller, now);
		if (smaller === undefined || decision?.kind !== 'reserve') {
			return undefined;
		}

		this.#queue.recordBypass(head);
		return this.#applyDecision(decision, smaller, now);
	}

	#decide(req: PlacementRequest, now: Instant): PlacementDecision {
		this.#refreshChangedEngines(now);
		const isLate = isBound(req) || this.#queue.isDeferred(req);
		const versions = req.softwareVersion === undefined ? this.#index.versions : [req.softwareVersion];
		return chooseDecision((versions.length > 0 ? versions : [unstatedVersion]).map(version => this.policy.decide(req, this.#index.of(version), now, isLate)));
	}

	#applyDecision(decision: Exclude<PlacementDecision, {kind: 'wait'}>, req: PlacementRequest, now: Instant): PoolEffect[] {
		switch (decision.kind) {
			case 'defer': {
				this.#queue.defer(req);
				return [];
			}

			case 'refuse': {
				this.#queue.remove(req);
				return [{kind: 'refused', hold: req, error: decision.error}];
			}

			case 'reserve': {
				this.#queue.dequeue(req);
				return [this.#grant(req, decision.decode, decision.prefill, now)];
			}
		}
	}

	#grant(req: PlacementRequest, decode: EngineView, prefill: EngineView, now: Instant): PoolEffect {
		const grant: Grant = {
			requestId: req.requestId,
			attempt: req.attempt,
			holder: req.holder,
			decode: {id: decode.id, address: decode.address},
			prefill: {id: prefill.id, address: prefill.address},
			pieces: req.pieces,
			promptTokens: req.promptTokens,
			softwareVersion: decode.softwareVersion,
		};
		this.#holds.grant(grant, now);
		for (const id of new Set([decode.id, prefill.id])) {
			this.admission.reserve(id, req.requestId);
		}

		this.policy.observe?.({
			kind: 'granted', req, decode: decode.id, prefill: prefill.id, waiting: this.#queue.length,
		}, now);
		return this.#createPlacedEffect(grant);
	}

	#createPlacedEffect(grant: Grant): PoolEffect {
		return {
			kind: 'placed',
			hold: grant,
			placement: {
				decode: grant.decode, prefill: grant.prefill ?? grant.decode, pieces: grant.pieces, softwareVersion: grant.softwareVersion, grantedBy: this.self,
			},
		};
	}

	#handleReport(report: EngineReport, now: Instant): PoolEffect[] {
		const tracked = this.#engines.get(report.engine);
		if (tracked === undefined) {
			return [];
		}

		this.#holds.applyReport(report, tracked.entry.address, now);
		return this.#processQueue(now);
	}

	#setEngines(entries: readonly EngineEntry[], leaving: ReadonlySet<EngineId>, now: Instant): void {
		this.#engines.clear();
		this.#views.clear();
		this.#closedEngines.clear();
		this.#grantableLater.clear();
		this.#nextGrantableAt = Number.POSITIVE_INFINITY;
		this.#index.clear();
		for (const entry of entries) {
			this.#engines.set(entry.id, {entry, leaving: leaving.has(entry.id)});
			this.#refreshEngine(entry.id, now);
		}
	}

	#handleTick(now: Instant): PoolEffect[] {
		const effects: PoolEffect[] = this.#holds.expire(now).map(reclaim => ({kind: 'cancel', ...reclaim}));
		for (const req of this.#queue.removeExpired(now)) {
			effects.push({kind: 'refused', hold: req, error: routerError('queueTimeout')});
		}

		effects.push(...this.#processQueue(now));
		return effects;
	}
}

/** Creates the hold of one attempt. */
export const toHold = (requestId: RequestId, attempt: AttemptNumber): EngineHold => ({requestId, attempt});
