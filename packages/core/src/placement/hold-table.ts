/** The memory holds on a pool's engines: leased grants, and holds that only the engines report. */
import type {EngineHold, EngineReport, ReportedHold} from '../engine/engine-client.js';
import {toId} from '../ids.js';
import type {
	AttemptNumber, EngineId, EngineIncarnation, InstanceId, RequestId, SoftwareVersion,
} from '../ids.js';
import {addMs} from '../time.js';
import type {Instant} from '../time.js';
import {excessPiecesOf} from './excess-memory.js';
import {RejectionBackoff} from './rejection-backoff.js';
import type {EngineAddress} from './types.js';

/** Timings of a pool, in milliseconds. */
export type PoolTimings = {
	/** Lease duration: a placement that its holder has not renewed for this long is reclaimed. */
	readonly leaseMs: number;
	/** A hold that an engine reports and no holder claims is cancelled after this long. */
	readonly orphanTimeoutMs: number;
	/**
	 * Grace period in which holders renew placements that an earlier owner granted. A new owner grants nothing on an engine
	 * before the engine's first report, nor within this period while reports show unknown holds. Undefined disables both waits.
	 */
	readonly adoptionGraceMs?: number;
	/** Time for which a released placement is remembered, since renewals and reports of it may arrive late; `leaseMs` when undefined. */
	readonly releaseMemoryMs?: number;
};

/** A placement in the form in which its holder renews it: complete enough for a new owner to adopt it. */
export type HeldPlacement = EngineHold & {
	readonly decode: EngineAddress;
	readonly pieces: number;
};

/** A granted placement. */
export type Grant = HeldPlacement & {
	readonly holder: InstanceId;
	/** Undefined for a placement adopted from an earlier owner. */
	readonly prefill: EngineAddress | undefined;
	readonly promptTokens: number;
	readonly softwareVersion?: SoftwareVersion | undefined;
};

/** Memory that must be freed on its engine. */
export type Reclaim = {
	readonly engine: EngineAddress;
	readonly hold: EngineHold;
};

/** Resource usage of one engine by the pool owner's count. */
export type EngineUsage = {
	/** Granted pieces plus what the engine reports beyond them: holds unknown to the owner, leases, and streams that outgrew their grant. */
	readonly pieces: number;
	readonly running: number;
	readonly queuedTokens: number;
	readonly reportedAt: Instant | undefined;
	readonly incarnation: EngineIncarnation | undefined;
	/** Whether placements may be granted; false while holders of an earlier owner's placements may still renew them, and after a rejection. */
	readonly grantable: boolean;
	/** Time from which placements may be granted if nothing else changes; undefined when time alone makes no difference. */
	readonly grantableFrom: Instant | undefined;
};

type TrackedGrant = Grant & {
	renewedAt: Instant;
	prefilling: boolean;
	/** The lease expired; the pieces count as used until the engine confirms the cancellation. */
	reclaiming: boolean;
};

type UnknownHold = {
	readonly hold: EngineHold;
	readonly pieces: number;
	readonly firstReportedAt: Instant;
	cancelledAt: Instant | undefined;
};

type EngineRecord = {
	address: string;
	grantedPieces: number;
	running: number;
	queuedTokens: number;
	reportedAt: Instant | undefined;
	incarnation: EngineIncarnation | undefined;
	unknownHolds: Map<string, UnknownHold>;
	/** Keys of the grants on this engine. */
	readonly grantKeys: Set<string>;
	/** Pieces in use beyond grants and unknown holds, by the last report: leases, and streams that outgrew their grants. */
	excessPieces: number;
};

/** Placeholder in the keys of holds whose engines report no attempt; actual attempts are numbered from 1. */
const unknownAttempt = toId<AttemptNumber>(0);

/** Returns the map key of a hold. */
export const holdKey = (hold: EngineHold): string => `${hold.requestId}/${hold.attempt}`;

/**
 * Tracks every hold on the engines of one pool, so that memory is granted only once and reclaimed from failed holders.
 *
 * @see Gray and Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache Consistency", 1989.
 * @example
 * const holds = new HoldTable({leaseMs: 5000, orphanTimeoutMs: 6000});
 * holds.grant(grant, clock.now());
 * for (const {engine, hold} of holds.expire(clock.now())) cancel(engine, hold);
 */
export class HoldTable {
	/** Ordered by last renewal, oldest first. */
	readonly #grants = new Map<string, TrackedGrant>();
	readonly #engines = new Map<EngineId, EngineRecord>();
	/** Recently released placements, the oldest first; a renewal still in flight must not restore them. */
	readonly #recentlyReleased = new Map<string, {readonly requestId: RequestId; readonly at: Instant}>();
	/** Number of placements per request, including recently released ones; some engines report requests without attempts. */
	readonly #placementCounts = new Map<RequestId, number>();
	readonly #changedEngines = new Set<EngineId>();
	readonly #rejections = new RejectionBackoff();
	#startedAt: Instant | undefined;
	#lastExpiryAt: Instant | undefined;

	constructor(private readonly timings: PoolTimings) {}

	/** Number of placements that it remembers, recently released ones included. */
	get remembered(): number {
		return this.#grants.size + this.#recentlyReleased.size;
	}

	/** Records a placement; the calling code has checked that it fits. */
	grant(grant: Grant, now: Instant): void {
		this.#startedAt ??= now;
		this.#rejections.recordGrant(grant.decode.id, now);
		this.#forgetReleased(holdKey(grant), grant.requestId);
		this.#addGrant({
			...grant, renewedAt: now, prefilling: grant.prefill !== undefined, reclaiming: false,
		});
	}

	/** Returns the grant of a hold; undefined when there is none or it is being reclaimed. */
	lookup(hold: EngineHold): Grant | undefined {
		const tracked = this.#grants.get(holdKey(hold));
		return tracked?.reclaiming === false ? tracked : undefined;
	}

	/** Returns all current grants, including those being reclaimed. */
	grants(): readonly Grant[] {
		return [...this.#grants.values()];
	}

	/** Releases a placement whose holder has confirmed that the memory is free; `rejectedBy` are the engines that rejected its stream. */
	release(hold: EngineHold, now: Instant, rejectedBy: readonly EngineId[] = []): void {
		const key = holdKey(hold);
		const engine = this.#grants.get(key)?.decode.id;
		if (engine !== undefined && !rejectedBy.includes(engine)) {
			this.#rejections.recordRelease(engine, now);
		}

		for (const rejecting of rejectedBy) {
			this.#rejections.recordRejection(rejecting, now);
			this.#changedEngines.add(rejecting);
		}

		this.#forgetReleased(key, hold.requestId);
		if (this.#releaseMemoryMs > 0) {
			this.#recentlyReleased.set(key, {requestId: hold.requestId, at: now});
			this.#adjustPlacementCount(hold.requestId, 1);
		}

		this.#removeGrant(key);
	}

	/** Releases a reclaimed hold after the engine confirmed its cancellation. */
	confirmFreed(hold: EngineHold, now: Instant): void {
		const key = holdKey(hold);
		if (this.#grants.get(key)?.reclaiming === true) {
			this.release(hold, now);
		}

		for (const [id, record] of this.#engines) {
			if (record.unknownHolds.delete(key)) {
				this.#changedEngines.add(id);
			}
		}
	}

	/** Records that the prefill of a placement is over. */
	endPrefill(hold: EngineHold): void {
		const tracked = this.#grants.get(holdKey(hold));
		if (tracked?.prefilling === true) {
			tracked.prefilling = false;
			if (tracked.prefill!.id === tracked.decode.id) {
				this.#rejections.recordAcceptance(tracked.decode.id);
			}

			this.#getOrCreateRecord(tracked.prefill!).queuedTokens -= tracked.promptTokens;
		}
	}

	/** Renews a holder's placements, moves those whose stream moved to another engine, and adopts those that this owner did not grant. */
	renew(holder: InstanceId, places: readonly HeldPlacement[], now: Instant): void {
		for (const placement of places) {
			const key = holdKey(placement);
			const tracked = this.#grants.get(key);
			if (tracked?.reclaiming === false) {
				const renewed: TrackedGrant = {
					...tracked, decode: placement.decode, pieces: placement.pieces, renewedAt: now,
				};
				this.#removeGrant(key);
				this.#addGrant(renewed);
			} else if (tracked === undefined && !this.#recentlyReleased.has(key)) {
				this.#addGrant({
					...placement, holder, prefill: undefined, promptTokens: 0, renewedAt: now, prefilling: false, reclaiming: false,
				});
			}
		}
	}

	/** Reconciles an engine's report with the grants. */
	applyReport(report: EngineReport, address: string, now: Instant): void {
		this.#startedAt ??= now;
		const record = this.#getOrCreateRecord({id: report.engine, address});
		record.reportedAt = now;
		record.incarnation = report.incarnation;
		const unknownHolds = new Map<string, UnknownHold>();
		for (const held of report.held) {
			const hold: EngineHold = {requestId: held.requestId, attempt: held.attempt ?? unknownAttempt};
			const key = holdKey(hold);
			if (!this.#isGrantedOrReleased(held, key)) {
				const previous = record.unknownHolds.get(key);
				unknownHolds.set(key, {
					hold, pieces: held.pieces, firstReportedAt: previous?.firstReportedAt ?? now, cancelledAt: previous?.cancelledAt,
				});
			}
		}

		record.unknownHolds = unknownHolds;
		record.excessPieces = excessPiecesOf(report, this.#grantsOn(report.engine, record));
	}

	/** Records that an engine accepted the stream of a placement. */
	confirmStart(hold: EngineHold): void {
		const tracked = this.#grants.get(holdKey(hold));
		if (tracked !== undefined) {
			this.#rejections.recordAcceptance(tracked.decode.id);
			this.#changedEngines.add(tracked.decode.id);
		}
	}

	/** Returns the holds to free because their lease expired or no holder claims them. */
	expire(now: Instant): Reclaim[] {
		this.#startedAt ??= now;
		this.#renewAllAfterPause(now);
		const reclaims = [...this.#expireLeases(now), ...this.#expireOrphans(now)];
		for (const [key, {requestId, at}] of this.#recentlyReleased) {
			if (now - at <= this.#releaseMemoryMs) {
				break;
			}

			this.#forgetReleased(key, requestId);
		}

		return reclaims;
	}

	/** Returns and clears the engines whose usage may have changed since the last call. */
	takeChangedEngines(): readonly EngineId[] {
		const touched = [...this.#changedEngines];
		this.#changedEngines.clear();
		return touched;
	}

	/** Returns the usage of an engine. */
	usage(engine: EngineId, now: Instant): EngineUsage {
		const record = this.#engines.get(engine);
		const unknownHolds = [...record?.unknownHolds.values() ?? []];
		const grantableFrom = this.#grantableFrom(engine, record, now);
		return {
			pieces: (record?.grantedPieces ?? 0) + unknownHolds.reduce((sum, {pieces}) => sum + pieces, 0) + (record?.excessPieces ?? 0),
			running: record?.running ?? 0,
			queuedTokens: record?.queuedTokens ?? 0,
			reportedAt: record?.reportedAt,
			incarnation: record?.incarnation,
			grantable: grantableFrom !== undefined && grantableFrom <= now,
			grantableFrom,
		};
	}

	get #releaseMemoryMs(): number {
		return this.timings.releaseMemoryMs ?? this.timings.leaseMs;
	}

	/** Returns the grants on an engine, and forgets those that were granted again on another engine while being reclaimed. */
	#grantsOn(engine: EngineId, {grantKeys}: EngineRecord): readonly Grant[] {
		const grants: Grant[] = [];
		for (const key of grantKeys) {
			const grant = this.#grants.get(key);
			if (grant?.decode.id === engine) {
				grants.push(grant);
			} else {
				grantKeys.delete(key);
			}
		}

		return grants;
	}

	/** Whether a reported hold belongs to a current or recently released placement; a delayed report still shows placements released since. */
	#isGrantedOrReleased({requestId, attempt}: ReportedHold, key: string): boolean {
		return attempt === undefined ? this.#placementCounts.has(requestId) : this.#grants.has(key) || this.#recentlyReleased.has(key);
	}

	#forgetReleased(key: string, requestId: RequestId): void {
		if (this.#recentlyReleased.delete(key)) {
			this.#adjustPlacementCount(requestId, -1);
		}
	}

	#adjustPlacementCount(requestId: RequestId, change: 1 | -1): void {
		const count = (this.#placementCounts.get(requestId) ?? 0) + change;
		if (count === 0) {
			this.#placementCounts.delete(requestId);
		} else {
			this.#placementCounts.set(requestId, count);
		}
	}

	/** Time from which placements on an engine may be granted; undefined until it has reported. */
	#grantableFrom(engine: EngineId, record: EngineRecord | undefined, now: Instant): Instant | undefined {
		const adoptedFrom = this.#adoptedFrom(record, now);
		const closedUntil = this.#rejections.closedUntil(engine, now);
		return adoptedFrom === undefined || closedUntil === undefined || adoptedFrom > closedUntil ? adoptedFrom : closedUntil;
	}

	/** Time from which the placements of an earlier owner on an engine are known; undefined until it has reported. */
	#adoptedFrom(record: EngineRecord | undefined, now: Instant): Instant | undefined {
		if (this.timings.adoptionGraceMs === undefined) {
			return now;
		}

		if (record?.reportedAt === undefined) {
			return undefined;
		}

		return record.unknownHolds.size === 0 ? now : addMs(this.#startedAt ?? now, this.timings.adoptionGraceMs);
	}

	/** Renews all leases after a pause of this process, in which it could not process the holders' renewals. */
	#renewAllAfterPause(now: Instant): void {
		const gap = now - (this.#lastExpiryAt ?? now);
		this.#lastExpiryAt = now;
		if (gap <= this.timings.leaseMs / 2) {
			return;
		}

		for (const tracked of this.#grants.values()) {
			tracked.renewedAt = now;
		}
	}

	#expireLeases(now: Instant): Reclaim[] {
		const reclaims: Reclaim[] = [];
		for (const tracked of this.#grants.values()) {
			if (now - tracked.renewedAt <= this.timings.leaseMs) {
				break;
			}

			if (!tracked.reclaiming) {
				this.endPrefill(tracked);
				tracked.reclaiming = true;
				reclaims.push({engine: tracked.decode, hold: {requestId: tracked.requestId, attempt: tracked.attempt}});
			}
		}

		return reclaims;
	}

	#expireOrphans(now: Instant): Reclaim[] {
		const reclaims: Reclaim[] = [];
		for (const [id, record] of this.#engines) {
			for (const unknownHold of record.unknownHolds.values()) {
				if (now - (unknownHold.cancelledAt ?? unknownHold.firstReportedAt) > this.timings.orphanTimeoutMs) {
					unknownHold.cancelledAt = now;
					reclaims.push({engine: {id, address: record.address}, hold: unknownHold.hold});
				}
			}
		}

		return reclaims;
	}

	#addGrant(tracked: TrackedGrant): void {
		const key = holdKey(tracked);
		this.#grants.set(key, tracked);
		this.#adjustPlacementCount(tracked.requestId, 1);
		if (tracked.prefilling) {
			this.#getOrCreateRecord(tracked.prefill!).queuedTokens += tracked.promptTokens;
		}

		const record = this.#getOrCreateRecord(tracked.decode);
		record.grantedPieces += tracked.pieces;
		record.running += 1;
		record.grantKeys.add(key);
		record.unknownHolds.delete(key);
		record.unknownHolds.delete(holdKey({requestId: tracked.requestId, attempt: unknownAttempt}));
	}

	#removeGrant(key: string): void {
		const tracked = this.#grants.get(key);
		if (tracked === undefined) {
			return;
		}

		this.endPrefill(tracked);
		this.#grants.delete(key);
		this.#adjustPlacementCount(tracked.requestId, -1);
		const record = this.#getOrCreateRecord(tracked.decode);
		record.grantedPieces -= tracked.pieces;
		record.running -= 1;
		record.grantKeys.delete(key);
	}

	#getOrCreateRecord({id, address}: EngineAddress): EngineRecord {
		this.#changedEngines.add(id);
		const existing = this.#engines.get(id);
		if (existing !== undefined) {
			existing.address = address;
			return existing;
		}

		const record: EngineRecord = {
			address, grantedPieces: 0, running: 0, queuedTokens: 0, reportedAt: undefined, incarnation: undefined, unknownHolds: new Map(), grantKeys: new Set(), excessPieces: 0,
		};
		this.#engines.set(id, record);
		return record;
	}
}
