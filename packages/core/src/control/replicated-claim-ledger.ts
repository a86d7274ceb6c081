/** A claim ledger backed by the replicated control log. */
import type {ClaimKey, RequestId} from '../ids.js';
import type {
	ClaimLedger,
	ClaimOutcome,
	ClaimRecord,
	ClaimRequest,
	ClaimResult,
} from '../ledger/claim-ledger.js';
import {ControlUnavailableError} from './control-log.js';
import type {ControlLog} from './control-log.js';

/** Opens and settles claims through the log. */
export class ReplicatedClaimLedger implements ClaimLedger {
	constructor(private readonly log: ControlLog) {}

	async claim(req: ClaimRequest): Promise<ClaimResult> {
		try {
			return await this.log.submit<'claim.open'>({kind: 'claim.open', req});
		} catch (error) {
			if (error instanceof ControlUnavailableError) {
				return {kind: 'unavailable', detail: error.message, maybeClaimed: error.maybeSubmitted};
			}

			throw error;
		}
	}

	async settle(key: ClaimKey, requestId: RequestId, outcome: ClaimOutcome): Promise<boolean> {
		try {
			// The result is ignored: a claim that does not exist or belongs to another request needs no settling
			await this.log.submit<'claim.settle'>({
				kind: 'claim.settle', key, requestId, outcome,
			});
			return true;
		} catch (error) {
			if (error instanceof ControlUnavailableError) {
				return false;
			}

			throw error;
		}
	}

	async lookup(key: ClaimKey): Promise<ClaimRecord | undefined> {
		await this.log.barrier();
		return this.log.state.claims.lookup(key);
	}
}
