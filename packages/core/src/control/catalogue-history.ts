/** Accepted catalogues: decides proposals, remembers orders, keeps the snapshot in force. */
import {emptyCatalogue, parseCatalogue} from '../catalogue/parse-catalogue.js';
import type {CatalogueProposal, CatalogueSnapshot, CatalogueProposalResult} from '../catalogue/types.js';
import {toId} from '../ids.js';
import type {OrderId, Revision} from '../ids.js';
import type {LogTime} from './control-command.js';

/** One accepted change. */
export type CatalogueChange = {
	readonly revision: Revision;
	readonly author: string;
	readonly orderId: OrderId;
	readonly at: LogTime;
	readonly text: string;
};

/** What a snapshot of the control state keeps of the history. */
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
	#snapshot: CatalogueSnapshot = emptyCatalogue;
	#changes: CatalogueChange[] = [];
	#results = new Map<OrderId, CatalogueProposalResult>();

	/** The snapshot in force. */
	get current(): CatalogueSnapshot {
		return this.#snapshot;
	}

	/** Accepted changes kept, oldest first. */
	get changes(): readonly CatalogueChange[] {
		return this.#changes;
	}

	/** Decides a proposal; an order seen before gets its first verdict. */
	propose(proposal: CatalogueProposal, at: LogTime): CatalogueProposalResult {
		const known = this.#results.get(proposal.orderId);
		if (known !== undefined) {
			return known;
		}

		const verdict = this.#evaluate(proposal, at);
		this.#results.set(proposal.orderId, verdict);
		this.#trim();
		return verdict;
	}

	/** Takes what a snapshot must keep. */
	capture(): CatalogueHistorySnapshot {
		return {changes: [...this.#changes], verdicts: [...this.#results]};
	}

	/** Replaces the history by a captured one. */
	restore(capture: CatalogueHistorySnapshot): void {
		this.#changes = [...capture.changes];
		this.#results = new Map(capture.verdicts);
		const last = this.#changes.at(-1);
		this.#snapshot = last === undefined ? emptyCatalogue : parseCatalogue(last.text, last.revision).unwrap();
	}

	#evaluate(proposal: CatalogueProposal, at: LogTime): CatalogueProposalResult {
		if (proposal.expected !== this.#snapshot.revision) {
			const last = this.#changes.at(-1);
			return {kind: 'conflict', winner: {revision: this.#snapshot.revision, author: last?.author ?? '', orderId: last?.orderId ?? proposal.orderId}};
		}

		const revision = toId<Revision>(this.#snapshot.revision + 1);
		const parsed = parseCatalogue(proposal.text, revision);
		if (parsed.err) {
			return {kind: 'invalid', faults: parsed.val};
		}

		this.#snapshot = parsed.val;
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
