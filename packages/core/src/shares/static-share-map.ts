/** A share map without leases, based on rendezvous hashing over a fixed list of instances. */
import {toId} from '../ids.js';
import type {DataCentreId, FencingToken, InstanceId} from '../ids.js';
import {pickRendezvous} from './rendezvous.js';
import type {Share, ShareId, ShareMap} from './share-map.js';

/** An instance and its data centre. */
export type InstanceLocation = {
	readonly id: InstanceId;
	readonly dataCentre: DataCentreId;
};

/**
 * Assigns each share to one instance of its data centre, or to one of all instances if the data centre has none.
 *
 * @example
 * const shares = new StaticShareMap(self, instances);
 * shares.find({kind: 'engines', service, dataCentre})?.holder;
 */
export class StaticShareMap implements ShareMap {
	constructor(private readonly self: InstanceId, private readonly instances: readonly InstanceLocation[]) {}

	find(id: ShareId): Share | undefined {
		const local = this.instances.filter(instance => instance.dataCentre === id.dataCentre);
		const candidates = (local.length > 0 ? local : this.instances).map(instance => instance.id);
		const holder = pickRendezvous(`${id.kind}/${id.service}/${id.dataCentre}`, candidates);
		return holder === undefined
			? undefined
			: {
				...id, holder, fencing: toId<FencingToken>(1), until: undefined,
			};
	}

	holds(id: ShareId): boolean {
		return this.find(id)?.holder === this.self;
	}
}
