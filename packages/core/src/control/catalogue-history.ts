/** History of accepted catalogues: evaluates proposals, deduplicates them by order id and keeps the snapshot in force. */
import {emptyCatalogue, parseCatalogue} from '../catalogue/parse-catalogue.js';
import type {CatalogueProposal, CatalogueSnapshot, CatalogueProposalResult} from '../catalogue/types.js';
import {toId} from '../ids.js';
import type {OrderId, Revision} from '../ids.js';
import type {LogTime} from './control-command.js';

/** One accepted change of the catalogue. */
export type CatalogueChange = {
	readonly revision: Revision;
	readonly author: string;
	readonly orderId: OrderId;
	readonly at: LogTime;
	readonly text: string;
};

/** The part of a control state snapshot that holds the catalogue history. */
export type CatalogueHistorySnapshot = {
	readonly changes: readonly CatalogueChange[];
	readonly verdicts: ReadonlyArray<readonly [OrderId, CatalogueProposalResult]>;
};

const maxChanges = 200;
const maxResults = 10_000;

/**
 * Applies proposals in log order.
 *
 * @example
 * const history = new CatalogueHistory();
 * history.propose(proposal, at).kind; // 'accepted'
 */
export class CatalogueHistory {
	#current: CatalogueSnapshot = emptyCatalogue;
	#changes: CatalogueChange[] = [];
	#results = new Map<OrderId, CatalogueProposalResult>();

	/** The snapshot in force. */
	get current(): CatalogueSnapshot {
		return this.#current;
	}

	/** Accepted changes that are still kept, oldest first. */
	get changes(): readonly CatalogueChange[] {
		return this.#changes;
	}

	/** Evaluates a proposal. A proposal whose order id was seen before gets its first result again. */
	propose(proposal: CatalogueProposal, at: LogTime): CatalogueProposalResult {
		const previous = this.#results.get(proposal.orderId);
		if (previous !== undefined) {
			return previous;
		}

		const result = this.#evaluate(proposal, at);
		this.#results.set(proposal.orderId, result);
		this.#trim();
		return result;
	}

	/** Returns a copy of the history for a snapshot. */
	takeSnapshot(): CatalogueHistorySnapshot {
		return {changes: [...this.#changes], verdicts: [...this.#results]};
	}

	/** Replaces the history with the one in a snapshot. */
	restore(snapshot: CatalogueHistorySnapshot): void {
		this.#changes = [...snapshot.changes];
		this.#results = new Map(snapshot.verdicts);
		const last = this.#changes.at(-1);
		this.#current = last === undefined ? emptyCatalogue : parseCatalogue(last.text, last.revision).unwrap();
	}

	#evaluate(proposal: CatalogueProposal, at: LogTime): CatalogueProposalResult {
		if (proposal.expected !== this.#current.revision) {
			const last = this.#changes.at(-1);
			return {kind: 'conflict', winner: {revision: this.#current.revision, author: last?.author ?? '', orderId: last?.orderId ?? proposal.orderId}};
		}

		const revision = toId<Revision>(this.#current.revision + 1);
		const parsed = parseCatalogue(proposal.text, revision);
		if (parsed.err) {
			return {kind: 'invalid', faults: parsed.val};
		}

		this.#current = parsed.val;
		this.#changes.push({
			revision, author: proposal.author, orderId: proposal.orderId, at, text: proposal.text,
		});
		return {kind: 'accepted', revision};
	}

	#trim(): void {
		if (this.#changes.length > maxChanges) {
			this.#changes = this.#changes.slice(-maxChanges);
		}

		const oldest = this.#results.size > maxResults ? this.#results.keys().next().value : undefined;
		if (oldest !== undefined) {
			this.#results.delete(oldest);
		}
	}
}
