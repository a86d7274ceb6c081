/** This instance's retry budgets, one for each service. */
import {WindowedRetryBudget} from '@baobabpier/core';
import type {Clock, WindowedRetryBudgetSettings, ServiceName} from '@baobabpier/core';

/** Counts calls and retries of each service. */
export class RetryBudgets {
	readonly #budgets = new Map<ServiceName, WindowedRetryBudget>();

	/** `instances` returns how many instances share the budget of a service; `isFirstIncarnation` is true where no earlier incarnation of this instance can have used it. */
	constructor(private readonly settings: WindowedRetryBudgetSettings, private readonly clock: Clock, private readonly isFirstIncarnation: boolean, private readonly instances: () => number) {}

	/** Counts a caller's call to a service. */
	recordCall(service: ServiceName): void {
		this.#budget(service).recordCall(this.clock.now());
	}

	/** Acquires one retry for a service; false when the budget is used up. */
	tryAcquire(service: ServiceName): boolean {
		return this.#budget(service).tryAcquire(this.clock.now(), this.instances());
	}

	#budget(service: ServiceName): WindowedRetryBudget {
		const budget = this.#budgets.get(service) ?? new WindowedRetryBudget(this.settings, this.isFirstIncarnation);
		this.#budgets.set(service, budget);
		return budget;
	}
}
