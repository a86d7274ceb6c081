import type {CallerListenerParts} from '../../gateway/caller-listener.js';

/** Quotas that admit every call. */
export const openQuotas: CallerListenerParts['quotas'] = {
	async acquire() {
		return {kind: 'granted', refund: () => undefined};
	},
};
