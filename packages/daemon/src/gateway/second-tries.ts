/** The budgets of second tries of this instance, one for each service. */
import {SecondTryBudget} from '@baobabpier/core';
import type {Clock, SecondTryBounds, ServiceName} from '@baobabpier/core';

/** Counts calls and second tries. */
export class SecondTries {
	readonly #budgets = new Map<ServiceName, SecondTryBudget>();

	/** `instances` tells how many instances share the bounds. */
	constructor(private readonly bounds: SecondTryBounds, private readonly clock: Clock, private readonly isFirstLife: boolean, private readonly instances: () => number) {}

	/** Counts a caller's call for a service. */
	noteCall(service: ServiceName): void {
		this.#budget(service).noteCall(this.clock.now());
	}

	/** Takes one second try; false when none is left. */
	tryTake(service: ServiceName): boolean {
		return this.#budget(service).tryTake(this.clock.now(), this.instances());
	}

	#budget(service: ServiceName): SecondTryBudget {
		const budget = this.#budgets.get(service) ?? new SecondTryBudget(this.bounds, this.isFirstLife);
		this.#budgets.set(service, budget);
		return budget;
	}
}
