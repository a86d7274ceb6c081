/** The state machine behind a claim ledger: pure, driven by a replicated log or alone in tests. */
import type {
	ClaimKey, InstanceId, InstanceIncarnation, RequestId,
} from '../ids.js';
import type {LogTime} from '../control/control-command.js';
import type {
	ClaimOutcome, ClaimRecord, ClaimRequest, ClaimResult,
} from './claim-ledger.js';

/** Bounds of a claim table. */
export type ClaimTableBounds = {
	/** How long a settled outcome is kept for resends, in milliseconds. */
	readonly retentionMs: number;
	/** Records kept at most; further claims are answered as unavailable. */
	readonly maxRecords: number;
};

/** What a snapshot of the control state keeps of the table. */
export type ClaimTableSnapshot = readonly ClaimRecord[];

/**
 * Holds one record per key.
 *
 * @example
 * const table = new ClaimTable({keepMs: 86_400_000, maxRecords: 100_000});
 * table.claim(req, at).kind; // 'granted'
 */
export class ClaimTable {
	/** By time of claim, the oldest first. */
	readonly #records = new Map<ClaimKey, ClaimRecord>();
	readonly #openKeys = new Map<InstanceId, Set<ClaimKey>>();

	constructor(private readonly bounds: ClaimTableBounds) {}

	/** Claims a key; a repeat by the same request gets the first verdict again. */
	claim(req: ClaimRequest, now: LogTime): ClaimResult {
		const record = this.#records.get(req.key);
		if (record === undefined) {
			return this.#grant(req, now);
		}

		if (record.fingerprint !== req.fingerprint) {
			return {kind: 'otherRequest'};
		}

		if (record.outcome === undefined) {
			const repeated = record.requestId === req.requestId && record.claimant === req.claimant && record.life === req.life;
			return repeated ? {kind: 'granted'} : {kind: 'inProgress', requestId: record.requestId};
		}

		if (record.outcome.kind === 'notRun') {
			this.#records.delete(req.key);
			return this.#grant(req, now);
		}

		return {kind: 'settled', requestId: record.requestId, outcome: record.outcome};
	}

	/** Records the outcome of a claim. The first outcome stands; returns false for a foreign claim. */
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

	/** Settles the open claims of an instance as unknown, except those of its run `exceptLife`. */
	abandon(claimant: InstanceId, exceptLife?: InstanceIncarnation): number {
		let count = 0;
		for (const key of this.#openKeys.get(claimant) ?? []) {
			const record = this.#records.get(key)!;
			if (exceptLife === undefined || record.life !== exceptLife) {
				this.#recordOutcome(record, {kind: 'unknown', error: 'outcomeUnknown'});
				count += 1;
			}
		}

		return count;
	}

	/** Drops settled records older than the time they are kept. */
	expire(now: LogTime): void {
		for (const [key, record] of this.#records) {
			if (now - record.claimedAt <= this.bounds.retentionMs) {
				break;
			}

			if (record.outcome !== undefined) {
				this.#records.delete(key);
			}
		}
	}

	/** The record under a key. */
	lookup(key: ClaimKey): ClaimRecord | undefined {
		return this.#records.get(key);
	}

	/** Takes what a snapshot must keep. */
	capture(): ClaimTableSnapshot {
		return [...this.#records.values()];
	}

	/** Replaces the records by captured ones. */
	restore(capture: ClaimTableSnapshot): void {
		this.#records.clear();
		this.#openKeys.clear();
		for (const record of capture) {
			this.#records.set(record.key, record);
			if (record.outcome === undefined) {
				this.#addOpenKey(record);
			}
		}
	}

	/** Records held. */
	get size(): number {
		return this.#records.size;
	}

	#grant(req: ClaimRequest, now: LogTime): ClaimResult {
		if (this.#records.size >= this.bounds.maxRecords) {
			return {kind: 'unavailable', detail: `the ledger holds ${this.bounds.maxRecords} records`, maybeClaimed: false};
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
