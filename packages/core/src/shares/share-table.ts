/** The replicated table of shares: who holds each, under which fencing number. */
import {toId} from '../ids.js';
import type {FencingToken, InstanceId} from '../ids.js';
import type {ShareId} from './share-map.js';

/** One share in the table. */
export type ShareRecord = {
	readonly id: ShareId;
	/** Undefined once the holder gave it back. */
	readonly holder: InstanceId | undefined;
	/** Grows with every change of the holder. */
	readonly fencing: FencingToken;
	/** Renewals through the log under this fencing number. */
	readonly renewals: number;
};

/** A wish to take a share over, valid only while nothing changed since it was read. */
export type ShareTake = {
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

/** Names a share in maps. */
export const shareKey = (id: ShareId): string => `${id.kind}/${id.service}/${id.dataCentre}`;

/** The state of a share that nobody ever held. */
export const unheldShare = (id: ShareId): ShareRecord => ({
	id, holder: undefined, fencing: toId<FencingToken>(0), renewals: 0,
});

/**
 * Keeps shares in log order. It knows no time: a candidate proves by the count of renewals that it watched a whole
 * lease pass without one.
 *
 * @example
 * const table = new ShareTable();
 * table.take({id, candidate: self, fencing: toId<FencingNumber>(0), renewals: 0}); // true
 */
export class ShareTable {
	readonly #records = new Map<string, ShareRecord>();

	/** The record of a share. */
	recordOf(id: ShareId): ShareRecord {
		return this.#records.get(shareKey(id)) ?? unheldShare(id);
	}

	/** Gives a share to a candidate, if nothing changed since the candidate read it. */
	take({id, candidate, fencing, renewals}: ShareTake): boolean {
		const record = this.recordOf(id);
		if (record.fencing !== fencing || record.renewals !== renewals) {
			return false;
		}

		this.#records.set(shareKey(id), {
			id, holder: candidate, fencing: toId<FencingToken>(fencing + 1), renewals: 0,
		});
		return true;
	}

	/** Counts a holder's renewals; returns those that it still holds. */
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

	/** Takes back every share of a holder that no longer acts on any. */
	release(holder: InstanceId): number {
		const held = [...this.#records.values()].filter(record => record.holder === holder);
		for (const record of held) {
			this.#records.set(shareKey(record.id), {...record, holder: undefined, renewals: record.renewals + 1});
		}

		return held.length;
	}

	/** Takes what a snapshot must keep. */
	capture(): readonly ShareRecord[] {
		return [...this.#records.values()];
	}

	/** Replaces the table by a captured one. */
	restore(capture: readonly ShareRecord[]): void {
		this.#records.clear();
		for (const record of capture) {
			this.#records.set(shareKey(record.id), record);
		}
	}
}
