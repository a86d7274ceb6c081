/** Gives each call to the claim ledger a span. */
import type {
	ClaimKey, ClaimLedger, ClaimOutcome, ClaimRecord, ClaimRequest, ClaimResult, RequestId,
} from '@baobabpier/core';
import {withSpan} from './tracing.js';

/** A ledger that passes every call on. Keys stay out of the spans. */
export class TracedLedger implements ClaimLedger {
	constructor(private readonly ledger: ClaimLedger) {}

	async claim(req: ClaimRequest): Promise<ClaimResult> {
		return withSpan('ledger.claim', {}, async () => this.ledger.claim(req));
	}

	async settle(key: ClaimKey, requestId: RequestId, outcome: ClaimOutcome): Promise<boolean> {
		return withSpan('ledger.settle', {attributes: {outcome: outcome.kind}}, async () => this.ledger.settle(key, requestId, outcome));
	}

	async lookup(key: ClaimKey): Promise<ClaimRecord | undefined> {
		return this.ledger.lookup(key);
	}
}
