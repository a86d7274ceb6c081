/** Brings the ends of claims into the ledger, however long that takes. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {
	ClaimLedger, ClaimOutcome, ClaimRequest,
} from '@baobabpier/core';
import {createLog} from '../log.js';

const firstRetryMs = 100;
const maxRetryMs = 5000;
const log = createLog('claims');

/** Waits for a time; rejects when the signal is aborted. */
export type Wait = (ms: number, signal: AbortSignal) => Promise<void>;

const waitByTimer: Wait = async (ms, signal) => sleep(ms, undefined, {ref: false, signal});

/** Repeats each settle until it is durable; until then the claim stays open, and resends are told so. */
export class ClaimSettler {
	#pending = 0;
	readonly #stop = new AbortController();

	constructor(private readonly ledger: ClaimLedger, private readonly wait: Wait = waitByTimer) {}

	/** Ends not yet in the ledger. */
	get pending(): number {
		return this.#pending;
	}

	/** Settles a claim; resolves after the first try, and goes on in the background when that failed. */
	async settle(req: ClaimRequest, outcome: ClaimOutcome): Promise<boolean> {
		const isDurable = await this.ledger.settle(req.key, req.requestId, outcome);
		if (!isDurable) {
			void this.#repeat(async () => this.ledger.settle(req.key, req.requestId, outcome));
		}

		return isDurable;
	}

	/** Closes a claim whose grant may have got lost: asks again, and settles it as not run once granted. */
	withdraw(req: ClaimRequest): void {
		void this.#repeat(async () => {
			const verdict = await this.ledger.claim(req);
			if (verdict.kind === 'granted') {
				return this.ledger.settle(req.key, req.requestId, {kind: 'notRun', error: 'ledgerUnavailable'});
			}

			return verdict.kind !== 'unavailable';
		});
	}

	/** Stops repeating: what is open then is settled as unknown when this instance's next run starts. */
	close(): void {
		this.#stop.abort();
	}

	async #repeat(attempt: () => Promise<boolean>): Promise<void> {
		this.#pending += 1;
		let waitMs = firstRetryMs;
		/* eslint-disable no-await-in-loop -- one try after the other */
		do {
			log('A claim can not be settled yet.', {pending: this.#pending});
			try {
				await this.wait(waitMs, this.#stop.signal);
			} catch {
				break;
			}

			waitMs = Math.min(waitMs * 2, maxRetryMs);
		} while (!await attempt());

		/* eslint-enable no-await-in-loop */
		this.#pending -= 1;
	}
}
