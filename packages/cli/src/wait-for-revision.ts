/** Follows an accepted change until every instance has it in force. */
import {setTimeout as sleep} from 'node:timers/promises';
import {STATUS} from '@baobabpier/core';
import type {PeerAddress, Revision} from '@baobabpier/core';
import {exitCodes} from './exit-codes.js';
import type {ExitCode} from './exit-codes.js';
import {callInstance} from './operator-client.js';
import type {OperatorTarget} from './operator-client.js';
import type {Output} from './output.js';

const pollMs = 200;

type Spread = {readonly id: string; readonly revision: number | undefined};

const readRevisions = async (target: OperatorTarget, instances: readonly PeerAddress[]): Promise<Spread[]> => Promise.all(instances.map(async ({id, peers}) => {
	try {
		const status = await callInstance({...target, instance: peers}, STATUS, {});
		return {id, revision: status.revision};
	} catch {
		return {id, revision: undefined};
	}
}));

/**
 * Polls every instance's status until all have `revision` or a later one, printing the progress.
 *
 * @example
 * await waitForRevision(target, toId<Revision>(7), 10_000, output);
 */
export const waitForRevision = async (target: OperatorTarget, revision: Revision, waitMs: number, output: Output): Promise<ExitCode> => {
	const startedAt = Date.now();
	const {instances} = await callInstance(target, STATUS, {});
	let missing: Spread[] = [];
	let reported = -1;
	do {
		// One round after the other
		// eslint-disable-next-line no-await-in-loop
		const spread = await readRevisions(target, instances);
		missing = spread.filter(entry => entry.revision === undefined || entry.revision < revision);
		const reached = instances.length - missing.length;
		if (reached !== reported) {
			output.progress(`Revision ${revision}: in force on ${reached} of ${instances.length} instances after ${Date.now() - startedAt} ms.`);
			reported = reached;
		}

		if (missing.length === 0) {
			break;
		}

		// eslint-disable-next-line no-await-in-loop
		await sleep(pollMs);
	} while (Date.now() - startedAt < waitMs);

	output.print({kind: 'accepted', revision, missing: missing.map(({id}) => id)}, missing.length === 0
		? [`Accepted as revision ${revision}; it is in force on all ${instances.length} instances.`]
		: [`Accepted as revision ${revision}; not yet in force on ${missing.map(({id, revision: old}) => `${id} (${old ?? 'not reached'})`).join(', ')}.`]);
	return missing.length === 0 ? exitCodes.done : exitCodes.spreading;
};
