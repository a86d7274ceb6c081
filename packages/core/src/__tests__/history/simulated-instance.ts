/** A simulated instance. It may be killed, or frozen: it then handles its input after it is unfrozen. */
import type {HeldPlacement, InstanceId} from '@baobabpier/core';

export class SimulatedInstance {
	frozen = false;
	alive = true;
	readonly placements = new Map<string, HeldPlacement>();
	#inbox: Array<() => void> = [];

	constructor(readonly id: InstanceId) {}

	run(task: () => void): void {
		if (!this.alive) {
			return;
		}

		if (this.frozen) {
			this.#inbox.push(task);
		} else {
			task();
		}
	}

	unfreeze(): void {
		this.frozen = false;
		const inbox = this.#inbox;
		this.#inbox = [];
		for (const task of inbox) {
			this.run(task);
		}
	}
}
