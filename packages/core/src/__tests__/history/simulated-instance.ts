/** An instance of the model world: it may freeze, and then handles its input late, or be killed. */
import type {HeldPlacement, InstanceId} from '@baobabpier/core';

export class SimulatedInstance {
	frozen = false;
	alive = true;
	readonly placements = new Map<string, HeldPlacement>();
	#inbox: Array<() => void> = [];

	constructor(readonly id: InstanceId) {}

	run(work: () => void): void {
		if (!this.alive) {
			return;
		}

		if (this.frozen) {
			this.#inbox.push(work);
		} else {
			work();
		}
	}

	unfreeze(): void {
		this.frozen = false;
		const inbox = this.#inbox;
		this.#inbox = [];
		for (const work of inbox) {
			this.run(work);
		}
	}
}
