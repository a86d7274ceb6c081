/** Requests that wait for a placement, by class: urgent ones first, deferred ones last, and patient ones are never starved. Within a class they are ordered by priority and team. */
import type {EngineHold} from '../engine/engine-client.js';
import type {Instant} from '../time.js';
import {FairLane} from './fair-lane.js';
import {holdKey} from './hold-table.js';
import type {PlacementRequest, QueueView} from './types.js';

/** Maximum number of smaller requests that may overtake one that waits for memory. */
const maxBypasses = 8;
/** Number of requests behind the head that are searched for a smaller one. */
const maxBypassScan = 8;
/** Maximum number of urgent requests placed in a row while a patient one waits. */
const maxConsecutiveUrgent = 9;

type Lane = 'bound' | 'urgent' | 'patient' | 'deferred';

const allLanes: readonly Lane[] = ['bound', 'urgent', 'patient', 'deferred'];
/** Lanes in order of priority; bound requests are decided on one by one instead. */
const priorityOrder: readonly Lane[] = ['urgent', 'patient', 'deferred'];

/** Whether a request is for a stream that has begun, and only some engines may serve it. */
export const isBound = ({readsDirectly, softwareVersion}: Pick<PlacementRequest, 'readsDirectly' | 'softwareVersion'>): boolean => readsDirectly === true || softwareVersion !== undefined;

/**
 * A queue with one lane per class, one for requests that can no longer meet their latency target, and one for streams that have
 * begun and go on at another engine. These had a placement before, and each may wait for its own engine without blocking the others.
 *
 * @example
 * const queue = new PlacementQueue();
 * queue.push(req);
 * queue.peek(); // The request to place next
 */
export class PlacementQueue implements QueueView {
	readonly #lanes: Readonly<Record<Lane, FairLane>> = {
		bound: new FairLane(), urgent: new FairLane(), patient: new FairLane(), deferred: new FairLane(),
	};

	#consecutiveUrgent = 0;
	#bypasses: {readonly head: string; count: number} = {head: '', count: 0};

	get length(): number {
		return allLanes.reduce((sum, lane) => sum + this.#lanes[lane].size, 0);
	}

	tokensAhead(req: Parameters<QueueView['tokensAhead']>[0]): number {
		const {urgent, patient} = this.#lanes;
		return req.class === 'urgent' ? urgent.tokensAhead(req) : urgent.tokens + patient.tokensAhead(req);
	}

	push(req: PlacementRequest): void {
		this.#add(isBound(req) ? 'bound' : req.class, req);
	}

	/** Returns the bound requests that wait for an engine, oldest first. */
	boundRequests(): readonly PlacementRequest[] {
		return [...this.#lanes.bound.values()];
	}

	/** Moves a request behind all that can still meet their target. */
	defer(req: PlacementRequest): void {
		this.remove(req);
		this.#add('deferred', req);
	}

	isDeferred(hold: EngineHold): boolean {
		return this.#lanes.deferred.has(holdKey(hold));
	}

	/** Returns the request to place next, apart from bound ones. */
	peek(): PlacementRequest | undefined {
		const isPatientTurn = this.#consecutiveUrgent >= maxConsecutiveUrgent && this.#lanes.patient.size > 0;
		const order: readonly Lane[] = isPatientTurn ? ['patient', 'urgent', 'deferred'] : priorityOrder;
		const lane = order.find(name => this.#lanes[name].size > 0);
		return lane === undefined ? undefined : this.#lanes[lane].first();
	}

	/** Returns a request of the same lane and priority that needs less memory than `head` and may overtake it; undefined when there is none. */
	findSmaller(head: PlacementRequest): PlacementRequest | undefined {
		const key = holdKey(head);
		const lane = allLanes.find(name => this.#lanes[name].has(key));
		if (lane === undefined || (this.#bypasses.head === key && this.#bypasses.count >= maxBypasses)) {
			return undefined;
		}

		let smallest: PlacementRequest | undefined;
		let examined = 0;
		for (const req of this.#lanes[lane].values()) {
			smallest = req.priority === head.priority && req.pieces < (smallest ?? head).pieces ? req : smallest;
			examined += 1;
			if (examined > maxBypassScan) {
				break;
			}
		}

		return smallest;
	}

	/** Counts a request that overtook `head`. */
	recordBypass(head: PlacementRequest): void {
		const key = holdKey(head);
		this.#bypasses = {head: key, count: this.#bypasses.head === key ? this.#bypasses.count + 1 : 1};
	}

	/** Removes a placed request and counts urgent requests placed in a row while patient ones wait. */
	dequeue(req: PlacementRequest): void {
		const isUrgentBeforePatient = this.#lanes.urgent.has(holdKey(req)) && this.#lanes.patient.size > 0;
		this.#consecutiveUrgent = isUrgentBeforePatient ? this.#consecutiveUrgent + 1 : 0;
		for (const lane of allLanes) {
			this.#lanes[lane].place(holdKey(req));
		}
	}

	remove(hold: EngineHold): void {
		const key = holdKey(hold);
		for (const lane of allLanes) {
			this.#lanes[lane].remove(key);
		}
	}

	/** Removes and returns the requests whose deadline has passed. */
	removeExpired(now: Instant): PlacementRequest[] {
		const expired = allLanes.flatMap(lane => [...this.#lanes[lane].values()].filter(req => req.deadline <= now));
		for (const req of expired) {
			this.remove(req);
		}

		return expired;
	}

	#add(lane: Lane, req: PlacementRequest): void {
		if (!this.#lanes[lane].has(holdKey(req))) {
			this.#lanes[lane].add(req);
		}
	}
}
