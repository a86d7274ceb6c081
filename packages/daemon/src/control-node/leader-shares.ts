/** Who owns the engine pools: the instance that leads the control log. */
import {toId} from '@baobabpier/core';
import type {
	FencingToken, Instant, InstanceId, ShareMap,
} from '@baobabpier/core';
import type {ReplicatedControlLog} from '../control/replicated-control-log.js';

/**
 * How long a new leader waits for entry instances to renew the placements that they hold before it grants more, in milliseconds:
 * they learn of the leader from a long poll and renew at once, which takes some tens of milliseconds on a loaded machine.
 */
const holderGraceMs = 400;

/**
 * Owns the engine pools while this instance leads the control log. Grants start after a grace period in which holders renew their placements. It is asked several
 * times for each placement, so it needs no more than who leads.
 *
 * @example
 * const shares = new LeaderShares(self, control);
 * shares.check(clock.now()); // true when this instance has begun or ceased to lead
 */
export class LeaderShares implements ShareMap {
	#leadingSince: Instant | undefined;

	constructor(private readonly self: InstanceId, private readonly control: Pick<ReplicatedControlLog, 'leadership' | 'position'>) {}

	get fencing(): FencingToken {
		return toId<FencingToken>(this.control.leadership?.term ?? 0);
	}

	/** Records whether this instance leads; returns true when that changed. */
	check(now: Instant): boolean {
		const {role, hearsQuorum} = this.control.leadership ?? {};
		const isLeading = role === 'leader' && hearsQuorum === true;
		const isChanged = isLeading !== (this.#leadingSince !== undefined);
		this.#leadingSince = isLeading ? (this.#leadingSince ?? now) : undefined;
		return isChanged;
	}

	find(id: Parameters<ShareMap['find']>[0]) {
		const holder = this.control.position.leader;
		return holder === undefined
			? undefined
			: {
				...id, holder, fencing: this.fencing, until: undefined,
			};
	}

	holds(_id: Parameters<ShareMap['holds']>[0], now: Instant): boolean {
		return this.#leadingSince !== undefined && this.control.position.leader === this.self && now >= this.#leadingSince;
	}

	/** Whether placements may be granted: entry instances have had the time to renew those that they hold. */
	isSettled(now: Instant): boolean {
		return this.#leadingSince !== undefined && this.control.leadership?.role === 'leader' && now - this.#leadingSince >= holderGraceMs;
	}
}
