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

type Lane = 'urgent' | 'patient' | 'deferred';

/** Lanes in their order. */
const allLanes: readonly Lane[] = ['urgent', 'patient', 'deferred'];

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
	readonly #lanes: Readonly<Record<Lane, FairLane>> = {urgent: new FairLane(), patient: new FairLane(), deferred: new FairLane()};
	/** Bound requests are decided on one by one, oldest first. */
	readonly #bound = new Map<string, PlacementRequest>();

	#consecutiveUrgent = 0;
	/** How many smaller requests overtook a request that waits for memory. */
	readonly #bypasses = new Map<string, number>();

	get length(): number {
		return allLanes.reduce((sum, lane) => sum + this.#lanes[lane].size, this.#bound.size);
	}

	tokensAhead(req: Parameters<QueueView['tokensAhead']>[0]): number {
		const {urgent, patient} = this.#lanes;
		return req.class === 'urgent' ? urgent.tokensAhead(req) : urgent.tokens + patient.tokensAhead(req);
	}

	push(req: PlacementRequest): void {
		if (isBound(req)) {
			this.#bound.set(holdKey(req), this.#bound.get(holdKey(req)) ?? req);
			return;
		}

		this.#add(req.class, req);
	}

	/** Returns the bound requests that wait for an engine, oldest first. */
	boundRequests(): readonly PlacementRequest[] {
		return [...this.#bound.values()];
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
		const {urgent, patient} = this.#lanes;
		if (urgent.size > 0 && !isPatientTurn) {
			return urgent.first();
		}

		return isPatientTurn ? patient.first() : this.#firstOfPatient();
	}

	/** Returns a request of the same lane and priority that needs less memory than `head` and may overtake it; undefined when there is none. */
	findSmaller(head: PlacementRequest): PlacementRequest | undefined {
		const key = holdKey(head);
		const lane = allLanes.find(name => this.#lanes[name].has(key));
		if (lane === undefined || (this.#bypasses.get(key) ?? 0) >= maxBypasses) {
			return undefined;
		}

		let smallest: PlacementRequest | undefined;
		for (const req of this.#lanes[lane].candidates(head.priority, maxBypassScan + 1)) {
			smallest = req.pieces < (smallest ?? head).pieces ? req : smallest;
		}

		return smallest;
	}

	/** Counts a request that overtook `head`. */
	recordBypass(head: PlacementRequest): void {
		const key = holdKey(head);
		this.#bypasses.set(key, (this.#bypasses.get(key) ?? 0) + 1);
	}

	/** Removes a placed request and counts urgent requests placed in a row while patient ones wait. */
	dequeue(req: PlacementRequest): void {
		const isUrgentBeforePatient = this.#lanes.urgent.has(holdKey(req)) && this.#lanes.patient.size > 0;
		this.#consecutiveUrgent = isUrgentBeforePatient ? this.#consecutiveUrgent + 1 : 0;
		for (const lane of allLanes) {
			this.#lanes[lane].place(holdKey(req));
		}

		this.remove(req);
	}

	remove(hold: EngineHold): void {
		const key = holdKey(hold);
		this.#bound.delete(key);
		this.#bypasses.delete(key);
		for (const lane of allLanes) {
			this.#lanes[lane].remove(key);
		}
	}

	/** Removes and returns the requests whose deadline has passed. */
	removeExpired(now: Instant): PlacementRequest[] {
		const waiting = [...this.#bound.values(), ...allLanes.flatMap(lane => [...this.#lanes[lane].values()])];
		const expired = waiting.filter(req => req.deadline <= now);
		for (const req of expired) {
			this.remove(req);
		}

		return expired;
	}

	/** The most urgent of the patient and the deferred requests; of equals, one that can still meet its target. */
	#firstOfPatient(): PlacementRequest | undefined {
		const patient = this.#lanes.patient.first();
		const deferred = this.#lanes.deferred.first();
		return patient === undefined || (deferred !== undefined && (deferred.priority ?? 0) < (patient.priority ?? 0)) ? deferred : patient;
	}

	#add(lane: Lane, req: PlacementRequest): void {
		if (!this.#lanes[lane].has(holdKey(req))) {
			this.#lanes[lane].add(req);
		}
	}
}
