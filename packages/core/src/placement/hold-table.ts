/** The memory holds on a pool's engines: grants with leases, and holds that only the engines know of. */
import type {EngineHold, EngineReport, ReportedHold} from '../engine/engine-client.js';
import {toId} from '../ids.js';
import type {
	AttemptNumber, EngineId, EngineIncarnation, InstanceId, RequestId,
} from '../ids.js';
import {addMs} from '../time.js';
import type {Instant} from '../time.js';
import type {EngineAddress} from './types.js';

/** Timings of a pool, in milliseconds. */
export type PoolTimings = {
	/** A place that its holder has not renewed for this long is taken back. */
	readonly leaseMs: number;
	/** A hold that an engine reports and nobody claims is cancelled after this long. */
	readonly orphanMs: number;
	/**
	 * A new owner grants nothing on an engine before its first report, nor for this long while reports show unknown holds:
	 * holders of an earlier owner's places renew them in this time. Nothing is waited for when undefined.
	 */
	readonly adoptMs?: number;
};

/** A place as its holder renews it: enough for a new owner to adopt it. */
export type HeldPlace = EngineHold & {
	readonly decode: EngineAddress;
	readonly pieces: number;
};

/** A granted place. */
export type Grant = HeldPlace & {
	readonly holder: InstanceId;
	/** Undefined for a place adopted from an earlier owner. */
	readonly prefill: EngineAddress | undefined;
	readonly promptTokens: number;
};

/** Memory that must be freed on its engine. */
export type Reclaim = {
	readonly engine: EngineAddress;
	readonly hold: EngineHold;
};

/** What is in use on one engine, as far as the pool's owner knows. */
export type EngineUsage = {
	/** Pieces granted, and pieces that the engine reports for holds unknown to the owner. */
	readonly pieces: number;
	readonly running: number;
	readonly queuedTokens: number;
	readonly reportedAt: Instant | undefined;
	readonly incarnation: EngineIncarnation | undefined;
	/** Whether places may be granted: false while an earlier owner's holders may still come forward. */
	readonly grantable: boolean;
};

type Tracked = Grant & {
	renewedAt: Instant;
	prefilling: boolean;
	/** The lease ran out; the pieces count as used until the engine confirmed the cancel. */
	reclaiming: boolean;
};

type UnknownHold = {
	readonly hold: EngineHold;
	readonly pieces: number;
	readonly since: Instant;
	cancelledAt: Instant | undefined;
};

type EngineRecord = {
	address: string;
	grantedPieces: number;
	running: number;
	queuedTokens: number;
	reportedAt: Instant | undefined;
	incarnation: EngineIncarnation | undefined;
	unknown: Map<string, UnknownHold>;
};

/** Stands in the keys of holds whose engines report no attempt; real attempts are counted from 1. */
const unknownAttempt = toId<AttemptNumber>(0);

/** Names a hold in maps. */
export const holdKey = (hold: EngineHold): string => `${hold.requestId}/${hold.attempt}`;

/**
 * Counts every hold on the engines of one pool, so that memory is handed out once and taken back from the dead.
 *
 * @see Gray and Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache Consistency", 1989.
 * @example
 * const holds = new HoldTable({leaseMs: 5000, orphanMs: 6000});
 * holds.grant(grant, clock.now());
 * for (const {engine, hold} of holds.expire(clock.now())) cancel(engine, hold);
 */
export class HoldTable {
	/** By the last renewal, the oldest first. */
	readonly #grants = new Map<string, Tracked>();
	readonly #engines = new Map<EngineId, EngineRecord>();
	/** Places given back lately: a renewal that was on its way must not bring them back. */
	readonly #released = new Map<string, {readonly requestId: RequestId; readonly at: Instant}>();
	/** Places, also those given back lately, of each request: some engines report requests without attempts. */
	readonly #placesOf = new Map<RequestId, number>();
	readonly #touched = new Set<EngineId>();
	#startedAt: Instant | undefined;
	#expiredAt: Instant | undefined;

	constructor(private readonly timings: PoolTimings) {}

	/** Records a place; the caller has checked that it fits. */
	grant(grant: Grant, now: Instant): void {
		this.#startedAt ??= now;
		this.#forgetReleased(holdKey(grant), grant.requestId);
		this.#add({
			...grant, renewedAt: now, prefilling: grant.prefill !== undefined, reclaiming: false,
		});
	}

	/** The place granted to a hold; undefined also when it is being taken back. */
	lookup(hold: EngineHold): Grant | undefined {
		const tracked = this.#grants.get(holdKey(hold));
		return tracked?.reclaiming === false ? tracked : undefined;
	}

	/** Every place granted now. */
	grants(): readonly Grant[] {
		return [...this.#grants.values()];
	}

	/** Takes a place back from its holder, which has confirmed that the memory is free. */
	release(hold: EngineHold, now: Instant): void {
		const key = holdKey(hold);
		this.#forgetReleased(key, hold.requestId);
		this.#released.set(key, {requestId: hold.requestId, at: now});
		this.#countPlaces(hold.requestId, 1);
		this.#remove(key);
	}

	/** Takes a place back after the engine confirmed a cancel. */
	freed(hold: EngineHold, now: Instant): void {
		const key = holdKey(hold);
		if (this.#grants.get(key)?.reclaiming === true) {
			this.release(hold, now);
		}

		for (const [id, record] of this.#engines) {
			if (record.unknown.delete(key)) {
				this.#touched.add(id);
			}
		}
	}

	/** The place's prefill is over. */
	endPrefill(hold: EngineHold): void {
		const tracked = this.#grants.get(holdKey(hold));
		if (tracked?.prefilling === true) {
			tracked.prefilling = false;
			this.#record(tracked.prefill!).queuedTokens -= tracked.promptTokens;
		}
	}

	/** Renews a holder's places, moves those whose stream went to another engine, and adopts those that this owner did not grant. */
	renew(holder: InstanceId, places: readonly HeldPlace[], now: Instant): void {
		for (const place of places) {
			const key = holdKey(place);
			const tracked = this.#grants.get(key);
			if (tracked?.reclaiming === false) {
				const renewed: Tracked = {
					...tracked, decode: place.decode, pieces: place.pieces, renewedAt: now,
				};
				this.#remove(key);
				this.#add(renewed);
			} else if (tracked === undefined && !this.#released.has(key)) {
				this.#add({
					...place, holder, prefill: undefined, promptTokens: 0, renewedAt: now, prefilling: false, reclaiming: false,
				});
			}
		}
	}

	/** Compares an engine's report with the grants. */
	report(report: EngineReport, address: string, now: Instant): void {
		this.#startedAt ??= now;
		const record = this.#record({id: report.engine, address});
		record.reportedAt = now;
		record.incarnation = report.incarnation;
		const unknown = new Map<string, UnknownHold>();
		for (const held of report.held) {
			const hold: EngineHold = {requestId: held.requestId, attempt: held.attempt ?? unknownAttempt};
			const key = holdKey(hold);
			if (!this.#isKnown(held, key)) {
				const known = record.unknown.get(key);
				unknown.set(key, {
					hold, pieces: held.pieces, since: known?.since ?? now, cancelledAt: known?.cancelledAt,
				});
			}
		}

		record.unknown = unknown;
	}

	/** What must be freed because its lease ran out or nobody claims it. */
	expire(now: Instant): Reclaim[] {
		this.#startedAt ??= now;
		this.#allowForGap(now);
		const reclaims = [...this.#expireLeases(now), ...this.#expireOrphans(now)];
		for (const [key, {requestId, at}] of this.#released) {
			if (now - at <= this.timings.leaseMs) {
				break;
			}

			this.#forgetReleased(key, requestId);
		}

		return reclaims;
	}

	/** The engines whose usage may have changed since the last call. */
	takeTouched(): readonly EngineId[] {
		const touched = [...this.#touched];
		this.#touched.clear();
		return touched;
	}

	/** What is in use on an engine. */
	usage(engine: EngineId, now: Instant): EngineUsage {
		const record = this.#engines.get(engine);
		const unknown = [...record?.unknown.values() ?? []];
		return {
			pieces: (record?.grantedPieces ?? 0) + unknown.reduce((sum, {pieces}) => sum + pieces, 0),
			running: record?.running ?? 0,
			queuedTokens: record?.queuedTokens ?? 0,
			reportedAt: record?.reportedAt,
			incarnation: record?.incarnation,
			grantable: this.#isGrantable(record, now),
		};
	}

	/** Whether a reported hold is a place given out; a late report still shows places given back since. */
	#isKnown({requestId, attempt}: ReportedHold, key: string): boolean {
		return attempt === undefined ? this.#placesOf.has(requestId) : this.#grants.has(key) || this.#released.has(key);
	}

	#forgetReleased(key: string, requestId: RequestId): void {
		if (this.#released.delete(key)) {
			this.#countPlaces(requestId, -1);
		}
	}

	#countPlaces(requestId: RequestId, change: 1 | -1): void {
		const places = (this.#placesOf.get(requestId) ?? 0) + change;
		if (places === 0) {
			this.#placesOf.delete(requestId);
		} else {
			this.#placesOf.set(requestId, places);
		}
	}

	#isGrantable(record: EngineRecord | undefined, now: Instant): boolean {
		if (this.timings.adoptMs === undefined) {
			return true;
		}

		if (record?.reportedAt === undefined) {
			return false;
		}

		return record.unknown.size === 0 || now >= addMs(this.#startedAt ?? now, this.timings.adoptMs);
	}

	/** After a freeze of this process, holders get the time back in which their renewals went unread. */
	#allowForGap(now: Instant): void {
		const gap = now - (this.#expiredAt ?? now);
		this.#expiredAt = now;
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
			for (const unknown of record.unknown.values()) {
				if (now - (unknown.cancelledAt ?? unknown.since) > this.timings.orphanMs) {
					unknown.cancelledAt = now;
					reclaims.push({engine: {id, address: record.address}, hold: unknown.hold});
				}
			}
		}

		return reclaims;
	}

	#add(tracked: Tracked): void {
		const key = holdKey(tracked);
		this.#grants.set(key, tracked);
		this.#countPlaces(tracked.requestId, 1);
		if (tracked.prefilling) {
			this.#record(tracked.prefill!).queuedTokens += tracked.promptTokens;
		}

		const record = this.#record(tracked.decode);
		record.grantedPieces += tracked.pieces;
		record.running += 1;
		record.unknown.delete(key);
		record.unknown.delete(holdKey({requestId: tracked.requestId, attempt: unknownAttempt}));
	}

	#remove(key: string): void {
		const tracked = this.#grants.get(key);
		if (tracked === undefined) {
			return;
		}

		this.endPrefill(tracked);
		this.#grants.delete(key);
		this.#countPlaces(tracked.requestId, -1);
		const record = this.#record(tracked.decode);
		record.grantedPieces -= tracked.pieces;
		record.running -= 1;
	}

	#record({id, address}: EngineAddress): EngineRecord {
		this.#touched.add(id);
		const known = this.#engines.get(id);
		if (known !== undefined) {
			known.address = address;
			return known;
		}

		const record: EngineRecord = {
			address, grantedPieces: 0, running: 0, queuedTokens: 0, reportedAt: undefined, incarnation: undefined, unknown: new Map(),
		};
		this.#engines.set(id, record);
		return record;
	}
}
