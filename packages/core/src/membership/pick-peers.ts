/** Chooses the peers of one round of exchange. */
import type {DataCentreId, InstanceId} from '../ids.js';
import {pickIndex} from '../random.js';
import type {RandomSource} from '../random.js';
import type {InstanceLocation} from '../shares/static-share-map.js';

const pickSome = <T>(items: readonly T[], count: number, random: RandomSource): T[] => {
	const left = [...items];
	const picked: T[] = [];
	while (picked.length < count && left.length > 0) {
		picked.push(...left.splice(pickIndex(random, left.length), 1));
	}

	return picked;
};

/** How many peers one round reaches. */
export type Fanout = {
	/** Peers in the own data centre. */
	readonly local: number;
	/** Other data centres, one peer in each. */
	readonly remote: number;
};

/**
 * Picks peers at random: some of the own data centre, and one in each of some others.
 *
 * @example
 * pickPeers({id: self, dataCentre}, instances, {local: 2, remote: 1}, random);
 */
export const pickPeers = (self: InstanceLocation, instances: readonly InstanceLocation[], fanout: Fanout, random: RandomSource): readonly InstanceId[] => {
	const others = instances.filter(({id}) => id !== self.id);
	const local = pickSome(others.filter(({dataCentre}) => dataCentre === self.dataCentre), fanout.local, random);
	const centres: DataCentreId[] = [...new Set(others.map(({dataCentre}) => dataCentre))].filter(id => id !== self.dataCentre);
	const remote = pickSome(centres, fanout.remote, random).flatMap(centre => pickSome(others.filter(({dataCentre}) => dataCentre === centre), 1, random));
	return [...local, ...remote].map(({id}) => id);
};
