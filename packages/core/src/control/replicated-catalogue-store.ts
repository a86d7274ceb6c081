/** The catalogue authority on the control log. */
import type {
	CatalogueStore,
	CatalogueProposal,
	CatalogueSnapshot,
	CatalogueProposalResult,
} from '../catalogue/types.js';
import type {ControlLog} from './control-log.js';

/** Proposes through the log; the snapshot in force is this instance's applied one. */
export class ReplicatedCatalogueStore implements CatalogueStore {
	constructor(private readonly log: ControlLog) {}

	current(): CatalogueSnapshot {
		return this.log.state.catalogue.current;
	}

	async propose(proposal: CatalogueProposal): Promise<CatalogueProposalResult> {
		return this.log.submit<'catalogue.propose'>({kind: 'catalogue.propose', proposal});
	}

	registerListener(listener: (snapshot: CatalogueSnapshot) => void): () => void {
		let seen = this.current();
		return this.log.registerListener(() => {
			if (this.current() !== seen) {
				seen = this.current();
				listener(seen);
			}
		});
	}
}
