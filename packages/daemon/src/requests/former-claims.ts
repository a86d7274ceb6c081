/** Settles what an earlier run of this instance left open. */
import {setTimeout as sleep} from 'node:timers/promises';
import {ControlUnavailableError} from '@baobabpier/core';
import type {ControlLog, InstanceId, InstanceIncarnation} from '@baobabpier/core';
import {createLog} from '../log.js';

const retryMs = 1000;
const log = createLog('claims');

/**
 * Settles the open claims of this instance's earlier runs as unknown, and repeats that until it is durable.
 *
 * @example
 * void abandonFormerClaims(control, self, life, stop.signal);
 */
export const abandonFormerClaims = async (control: ControlLog, claimant: InstanceId, life: InstanceIncarnation, signal: AbortSignal): Promise<void> => {
	/* eslint-disable no-await-in-loop -- one try after the other */
	while (!signal.aborted) {
		try {
			const {abandoned} = await control.submit<'claim.abandon'>({kind: 'claim.abandon', claimant, exceptLife: life});
			log('Claims of earlier runs are settled.', {abandoned});
			return;
		} catch (error) {
			if (!(error instanceof ControlUnavailableError)) {
				throw error;
			}

			await sleep(retryMs, undefined, {ref: false});
		}
	}
	/* eslint-enable no-await-in-loop */
};
