/** A retry budget, proportional to the traffic, that keeps retries from amplifying an overload. */

/** Settings of a retry budget. */
export type RetryBudgetSettings = {
	/** Retries added to the budget by each call. */
	readonly ratio: number;
	/** Maximum number of retries in the budget; also its initial value. */
	readonly burst: number;
};

/**
 * A token bucket that calls fill and retries drain.
 *
 * @see Twitter Finagle, "Retries": `RetryBudget`.
 * @example
 * const budget = new RetryBudget({ratio: 0.1, burst: 10});
 * budget.deposit();
 * if (budget.tryWithdraw()) retry();
 */
export class RetryBudget {
	#balance: number;

	constructor(private readonly settings: RetryBudgetSettings) {
		this.#balance = settings.burst;
	}

	/** Number of retries currently available. */
	get balance(): number {
		return this.#balance;
	}

	/** Adds the credit for one call. */
	deposit(): void {
		this.#balance = Math.min(this.settings.burst, this.#balance + this.settings.ratio);
	}

	/** Withdraws one retry from the budget; returns false when less than one is available. */
	tryWithdraw(): boolean {
		if (this.#balance < 1) {
			return false;
		}

		this.#balance -= 1;
		return true;
	}
}
