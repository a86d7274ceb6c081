/** Selects the peers of one gossip round. */
import type {DataCentreId, InstanceId} from '../ids.js';
import {pickIndex} from '../random.js';
import type {RandomSource} from '../random.js';
import type {InstanceLocation} from '../shares/static-share-map.js';

const pickWithoutReplacement = <T>(items: readonly T[], count: number, random: RandomSource): T[] => {
	const remaining = [...items];
	const picked: T[] = [];
	while (picked.length < count && remaining.length > 0) {
		picked.push(...remaining.splice(pickIndex(random, remaining.length), 1));
	}

	return picked;
};

/** Number of peers contacted in one round. */
export type Fanout = {
	/** Peers in the same data centre. */
	readonly local: number;
	/** Other data centres, one peer in each. */
	readonly remote: number;
};

/**
 * Picks peers at random: some in the same data centre, and one in each of some others.
 *
 * @example
 * pickPeers({id: self, dataCentre}, instances, {local: 2, remote: 1}, random);
 */
export const pickPeers = (self: InstanceLocation, instances: readonly InstanceLocation[], fanout: Fanout, random: RandomSource): readonly InstanceId[] => {
	const others = instances.filter(({id}) => id !== self.id);
	const local = pickWithoutReplacement(others.filter(({dataCentre}) => dataCentre === self.dataCentre), fanout.local, random);
	const dataCentres: DataCentreId[] = [...new Set(others.map(({dataCentre}) => dataCentre))].filter(id => id !== self.dataCentre);
	const remote = pickWithoutReplacement(dataCentres, fanout.remote, random).flatMap(dataCentreId => pickWithoutReplacement(others.filter(({dataCentre}) => dataCentre === dataCentreId), 1, random));
	return [...local, ...remote].map(({id}) => id);
};
