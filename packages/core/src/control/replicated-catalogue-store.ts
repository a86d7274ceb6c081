/** A catalogue store backed by the replicated control log. */
import type {
	CatalogueStore,
	CatalogueProposal,
	CatalogueSnapshot,
	CatalogueProposalResult,
} from '../catalogue/types.js';
import type {ControlLog} from './control-log.js';

/** Proposes catalogues through the log. The current snapshot is the one that this instance has applied, so it may lag behind the quorum. */
export class ReplicatedCatalogueStore implements CatalogueStore {
	constructor(private readonly log: ControlLog) {}

	current(): CatalogueSnapshot {
		return this.log.state.catalogue.current;
	}

	async propose(proposal: CatalogueProposal): Promise<CatalogueProposalResult> {
		return this.log.submit<'catalogue.propose'>({kind: 'catalogue.propose', proposal});
	}

	registerListener(listener: (snapshot: CatalogueSnapshot) => void): () => void {
		let latest = this.current();
		return this.log.registerListener(() => {
			if (this.current() !== latest) {
				latest = this.current();
				listener(latest);
			}
		});
	}
}
