/** The replicated table of shares, with the holder and the fencing token of each. */
import {toId} from '../ids.js';
import type {FencingToken, InstanceId} from '../ids.js';
import type {ShareId} from './share-map.js';

/** The record of one share. */
export type ShareRecord = {
	readonly id: ShareId;
	/** Undefined after the holder released the share. */
	readonly holder: InstanceId | undefined;
	/** Increases with every change of the holder. */
	readonly fencing: FencingToken;
	/** Number of renewals committed to the log under this fencing token. */
	readonly renewals: number;
};

/** A compare-and-set request for a share: succeeds only if its record is unchanged since the candidate read it. */
export type ShareTakeRequest = {
	readonly id: ShareId;
	readonly candidate: InstanceId;
	readonly fencing: FencingToken;
	readonly renewals: number;
};

/** A holder's renewal. */
export type ShareRenewal = {
	readonly id: ShareId;
	readonly fencing: FencingToken;
};

/** Returns the map key of a share. */
export const shareKey = (id: ShareId): string => `${id.kind}/${id.service}/${id.dataCentre}`;

/** The initial record of a share that never had a holder. */
export const unheldShare = (id: ShareId): ShareRecord => ({
	id, holder: undefined, fencing: toId<FencingToken>(0), renewals: 0,
});

/**
 * Applies changes to shares in log order. It uses no clock: the renewal count in a take request shows that no renewal
 * was committed while the candidate waited for a whole lease duration.
 *
 * @example
 * const table = new ShareTable();
 * table.take({id, candidate: self, fencing: toId<FencingToken>(0), renewals: 0}); // true
 */
export class ShareTable {
	readonly #records = new Map<string, ShareRecord>();

	/** Returns the record of a share. */
	recordOf(id: ShareId): ShareRecord {
		return this.#records.get(shareKey(id)) ?? unheldShare(id);
	}

	/** Makes the candidate the holder if the record is unchanged since the candidate read it. */
	take({id, candidate, fencing, renewals}: ShareTakeRequest): boolean {
		const record = this.recordOf(id);
		if (record.fencing !== fencing || record.renewals !== renewals) {
			return false;
		}

		this.#records.set(shareKey(id), {
			id, holder: candidate, fencing: toId<FencingToken>(fencing + 1), renewals: 0,
		});
		return true;
	}

	/** Counts renewals by a holder; returns those of the shares that it still holds. */
	renew(holder: InstanceId, renewals: readonly ShareRenewal[]): readonly ShareRenewal[] {
		return renewals.filter(({id, fencing}) => {
			const record = this.recordOf(id);
			const isHeld = record.holder === holder && record.fencing === fencing;
			if (isHeld) {
				this.#records.set(shareKey(id), {...record, renewals: record.renewals + 1});
			}

			return isHeld;
		});
	}

	/** Releases every share of a holder that has stepped down; returns their number. */
	release(holder: InstanceId): number {
		const held = [...this.#records.values()].filter(record => record.holder === holder);
		for (const record of held) {
			this.#records.set(shareKey(record.id), {...record, holder: undefined, renewals: record.renewals + 1});
		}

		return held.length;
	}

	/** Returns the records to store in a snapshot. */
	takeSnapshot(): readonly ShareRecord[] {
		return [...this.#records.values()];
	}

	/** Replaces the table with the ones in a snapshot. */
	restore(snapshot: readonly ShareRecord[]): void {
		this.#records.clear();
		for (const record of snapshot) {
			this.#records.set(shareKey(record.id), record);
		}
	}
}
