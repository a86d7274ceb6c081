/** The budgets of second tries of this instance, one for each service. */
import {WindowedRetryBudget} from '@baobabpier/core';
import type {Clock, WindowedRetryBudgetSettings, ServiceName} from '@baobabpier/core';

/** Counts calls and second tries. */
export class RetryBudgets {
	readonly #budgets = new Map<ServiceName, WindowedRetryBudget>();

	/** `instances` tells how many instances share the bounds. */
	constructor(private readonly bounds: WindowedRetryBudgetSettings, private readonly clock: Clock, private readonly isFirstLife: boolean, private readonly instances: () => number) {}

	/** Counts a caller's call for a service. */
	recordCall(service: ServiceName): void {
		this.#budget(service).recordCall(this.clock.now());
	}

	/** Takes one second try; false when none is left. */
	tryAcquire(service: ServiceName): boolean {
		return this.#budget(service).tryAcquire(this.clock.now(), this.instances());
	}

	#budget(service: ServiceName): WindowedRetryBudget {
		const budget = this.#budgets.get(service) ?? new WindowedRetryBudget(this.bounds, this.isFirstLife);
		this.#budgets.set(service, budget);
		return budget;
	}
}
