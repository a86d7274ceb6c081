/** A relay of an instance that has no partners, and takes no relayed calls. */
import type {RelayPortSettings} from '../../gateway/caller-listener.js';
import type {RelayClient} from '../../relay/relay-client.js';

export const noPartners: Pick<RelayClient, 'becomesNeeded' | 'isNeeded' | 'send'> = {
	isNeeded: false,
	async becomesNeeded() {
		return false;
	},
	async send() {
		return {kind: 'declined'};
	},
};

export const closedRelayPort: RelayPortSettings = {secret: 'unused', isPathLost: async () => true};
