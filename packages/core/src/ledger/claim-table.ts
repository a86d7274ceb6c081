/** The state machine of a claim ledger. It does no I/O; a replicated log or a test drives it. */
import type {
	ClaimKey, InstanceId, InstanceIncarnation, RequestId,
} from '../ids.js';
import type {LogTime} from '../control/control-command.js';
import type {
	ClaimOutcome, ClaimRecord, ClaimRequest, ClaimResult,
} from './claim-ledger.js';

/** Retention and size limits of a claim table. */
export type ClaimTableLimits = {
	/** How long a claim is kept for retries once it is settled, in milliseconds since it was opened. */
	readonly retentionMs: number;
	/** Maximum number of records; further claims get the result `unavailable`. */
	readonly maxRecords: number;
};

/** The part of a control state snapshot that holds the claim table. */
export type ClaimTableSnapshot = readonly ClaimRecord[];

/**
 * Stores one claim record per key.
 *
 * @example
 * const table = new ClaimTable({retentionMs: 86_400_000, maxRecords: 100_000});
 * table.claim(req, at).kind; // 'granted'
 */
export class ClaimTable {
	/** Ordered by the time of the claim, oldest first. */
	readonly #records = new Map<ClaimKey, ClaimRecord>();
	readonly #openKeys = new Map<InstanceId, Set<ClaimKey>>();

	constructor(private readonly limits: ClaimTableLimits) {}

	/** Claims a key; a repeat by the same request and incarnation of the claimant is granted again while the claim is open. */
	claim(req: ClaimRequest, now: LogTime): ClaimResult {
		const record = this.#records.get(req.key);
		if (record === undefined) {
			return this.#grant(req, now);
		}

		if (record.fingerprint !== req.fingerprint) {
			return {kind: 'otherRequest'};
		}

		if (record.outcome === undefined) {
			const isRepeated = record.requestId === req.requestId && record.claimant === req.claimant && record.life === req.life;
			return isRepeated ? {kind: 'granted'} : {kind: 'inProgress', requestId: record.requestId};
		}

		if (record.outcome.kind === 'notRun') {
			this.#records.delete(req.key);
			return this.#grant(req, now);
		}

		return {kind: 'settled', requestId: record.requestId, outcome: record.outcome};
	}

	/** Records the outcome of a claim. The first outcome is final. Returns false if the key has no record or belongs to another request. */
	settle(key: ClaimKey, requestId: RequestId, outcome: ClaimOutcome): boolean {
		const record = this.#records.get(key);
		if (record?.requestId !== requestId) {
			return false;
		}

		if (record.outcome === undefined) {
			this.#recordOutcome(record, outcome);
		}

		return true;
	}

	/** Settles the open claims of an instance as unknown, except those of its incarnation `exceptIncarnation`; returns their number. */
	abandon(claimant: InstanceId, exceptIncarnation?: InstanceIncarnation): number {
		let count = 0;
		for (const key of this.#openKeys.get(claimant) ?? []) {
			const record = this.#records.get(key)!;
			if (exceptIncarnation === undefined || record.life !== exceptIncarnation) {
				this.#recordOutcome(record, {kind: 'unknown', error: 'outcomeUnknown'});
				count += 1;
			}
		}

		return count;
	}

	/** Removes settled records older than `retentionMs`. */
	expire(now: LogTime): void {
		for (const [key, record] of this.#records) {
			if (now - record.claimedAt <= this.limits.retentionMs) {
				break;
			}

			if (record.outcome !== undefined) {
				this.#records.delete(key);
			}
		}
	}

	/** Returns the record of a key. */
	lookup(key: ClaimKey): ClaimRecord | undefined {
		return this.#records.get(key);
	}

	/** Returns a copy of the records for a snapshot. */
	takeSnapshot(): ClaimTableSnapshot {
		return [...this.#records.values()];
	}

	/** Replaces the records with the ones in a snapshot. */
	restore(snapshot: ClaimTableSnapshot): void {
		this.#records.clear();
		this.#openKeys.clear();
		for (const record of snapshot) {
			this.#records.set(record.key, record);
			if (record.outcome === undefined) {
				this.#addOpenKey(record);
			}
		}
	}

	/** Number of records. */
	get size(): number {
		return this.#records.size;
	}

	#grant(req: ClaimRequest, now: LogTime): ClaimResult {
		if (this.#records.size >= this.limits.maxRecords) {
			return {kind: 'unavailable', detail: `the claim ledger is full (${this.limits.maxRecords} records)`, maybeClaimed: false};
		}

		const record: ClaimRecord = {...req, claimedAt: now, outcome: undefined};
		this.#records.set(req.key, record);
		this.#addOpenKey(record);
		return {kind: 'granted'};
	}

	#addOpenKey({claimant, key}: ClaimRecord): void {
		const keys = this.#openKeys.get(claimant) ?? new Set();
		keys.add(key);
		this.#openKeys.set(claimant, keys);
	}

	#recordOutcome(record: ClaimRecord, outcome: ClaimOutcome): void {
		this.#records.set(record.key, {...record, outcome});
		const keys = this.#openKeys.get(record.claimant);
		keys?.delete(record.key);
		if (keys?.size === 0) {
			this.#openKeys.delete(record.claimant);
		}
	}
}
