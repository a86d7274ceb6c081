import {expect, test} from 'vitest';
import {CatalogueHistory, toId} from '@baobabpier/core';
import type {
	CatalogueProposal, LogTime, OrderId, Revision,
} from '@baobabpier/core';

const proposalOf = (orderId: string, expected: number): CatalogueProposal => ({
	orderId: toId<OrderId>(orderId), expected: toId<Revision>(expected), author: 'operator', text: '[services]',
});
const at = toId<LogTime>(1);

test('later proposals do not change a captured snapshot', () => {
	const history = new CatalogueHistory();
	history.propose(proposalOf('a', 0), at);
	const snapshot = history.takeSnapshot();
	history.propose(proposalOf('b', 1), at);
	const restored = new CatalogueHistory();
	restored.restore(snapshot);
	expect(restored.current.revision).toBe(1);
	expect(restored.propose(proposalOf('b', 1), at)).toEqual({kind: 'accepted', revision: 2});
});
