/** Chooses the entry instances through which another one may serve its callers when it reaches no server. */
import type {DataCentreId, InstanceId} from '../ids.js';
import {rankRendezvous} from '../shares/rendezvous.js';

/** Partners in the same data centre, which cost least, and in others, which a lost data centre leaves. */
const nearPartners = 2;
const farPartners = 2;

/** An entry instance that takes relayed calls. */
export type RelayPartner = {
	readonly id: InstanceId;
	/** `host:port` of its port for relayed calls. */
	readonly address: string;
	readonly dataCentre: DataCentreId;
	/** Whether it identifies the teams of requests. */
	readonly knowsTeams?: boolean | undefined;
};

/**
 * Returns the partners of an instance: a few, spread evenly over all that take relayed calls, so that none is overrun.
 *
 * @example
 * choosePartners({id: 'e1', dataCentre: 'a'}, candidates); // Four of them, two in data centre a
 */
export const choosePartners = ({id, dataCentre}: Pick<RelayPartner, 'dataCentre' | 'id'>, candidates: readonly RelayPartner[]): readonly RelayPartner[] => {
	const byId = new Map(candidates.map(candidate => [candidate.id, candidate]));
	byId.delete(id);
	const idsOf = (isNear: boolean): readonly InstanceId[] => [...byId.values()].filter(candidate => (candidate.dataCentre === dataCentre) === isNear).map(candidate => candidate.id);
	const near = rankRendezvous(id, idsOf(true), nearPartners);
	const far = rankRendezvous(id, idsOf(false), farPartners + nearPartners - near.length);
	return [...near, ...far].map(partner => byId.get(partner)!);
};
