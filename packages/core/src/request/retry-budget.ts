/** A budget of retries: a share of the traffic, so that retries can't multiply an overload. */

/** How much may be retried. */
export type RetryBudgetSettings = {
	/** Retries earned by each call. */
	readonly ratio: number;
	/** Retries saved up at most; a fresh budget starts with as many. */
	readonly burst: number;
};

/**
 * A token bucket filled by traffic and emptied by retries.
 *
 * @see Twitter Finagle, "Retries": `RetryBudget`.
 * @example
 * const budget = new RetryBudget({share: 0.1, burst: 10});
 * budget.deposit();
 * if (budget.tryWithdraw()) retry();
 */
export class RetryBudget {
	#balance: number;

	constructor(private readonly settings: RetryBudgetSettings) {
		this.#balance = settings.burst;
	}

	/** Retries that may be made now. */
	get balance(): number {
		return this.#balance;
	}

	/** Counts a call that a caller made. */
	deposit(): void {
		this.#balance = Math.min(this.settings.burst, this.#balance + this.settings.ratio);
	}

	/** Takes one retry out of the budget; false when it is empty. */
	tryWithdraw(): boolean {
		if (this.#balance < 1) {
			return false;
		}

		this.#balance -= 1;
		return true;
	}
}
