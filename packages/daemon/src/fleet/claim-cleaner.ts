/** Settles the open claims of dead instances: nobody else will. */
import {pickRendezvous} from '@baobabpier/core';
import type {ControlLog, InstanceId} from '@baobabpier/core';
import {createLog} from '../log.js';
import type {Fleet} from './fleet.js';

const log = createLog('claims');

/** What the cleaner needs. */
export type ClaimCleanerParts = {
	readonly self: InstanceId;
	readonly instances: readonly InstanceId[];
	readonly control: ControlLog;
	readonly fleet: Fleet;
};

/** Settles a dead instance's claims as unknown. An instance that starts again settles those of its earlier runs. */
export class ClaimCleaner {
	constructor(private readonly parts: ClaimCleanerParts) {}

	/** Lets one running instance settle the claims of a dead one. */
	async clean(dead: InstanceId): Promise<void> {
		const running = this.parts.instances.filter(instance => this.parts.fleet.stateOf(instance) === 'alive');
		if (pickRendezvous(`claims/${dead}`, running) !== this.parts.self) {
			return;
		}

		try {
			const {abandoned} = await this.parts.control.submit<'claim.abandon'>({kind: 'claim.abandon', claimant: dead});
			log('Open claims of a dead instance were settled as unknown.', {claimant: dead, claims: abandoned});
		} catch (error) {
			log('Claims could not be settled.', {claimant: dead, reason: (error as Error).message});
		}
	}
}
