/** Requests that wait for a place, by class: urgent first, patient never starved, late ones last. */
import type {EngineHold} from '../engine/engine-client.js';
import type {Instant} from '../time.js';
import {holdKey} from './hold-table.js';
import type {PlacementRequest, QueueView} from './types.js';

/** Smaller requests that may go before one that waits for memory, at most. */
const maxBypasses = 8;
/** Requests behind the head that are looked at for a smaller one. */
const maxBypassScan = 8;
/** Urgent requests served in a row while a patient one waits, at most. */
const maxConsecutiveUrgent = 9;

type Lane = 'broken' | 'urgent' | 'patient' | 'late';

const allLanes: readonly Lane[] = ['broken', 'urgent', 'patient', 'late'];
/** Lanes that are served in their order; broken streams are looked at one by one. */
const priorityOrder: readonly Lane[] = ['urgent', 'patient', 'late'];

/**
 * A queue with one lane per class, one for those past their latency target, and one for broken streams that go on elsewhere:
 * those had a place before, and each may wait for an engine of its own without holding up the others.
 *
 * @example
 * const queue = new PlaceQueue();
 * queue.push(req);
 * queue.peek(); // The one to serve next
 */
export class PlacementQueue implements QueueView {
	readonly #lanes: Readonly<Record<Lane, Map<string, PlacementRequest>>> = {
		broken: new Map(), urgent: new Map(), patient: new Map(), late: new Map(),
	};

	readonly #queuedTokens: Record<Lane, number> = {
		broken: 0, urgent: 0, patient: 0, late: 0,
	};

	#consecutiveUrgent = 0;
	#bypasses: {readonly head: string; count: number} = {head: '', count: 0};

	get length(): number {
		return allLanes.reduce((sum, lane) => sum + this.#lanes[lane].size, 0);
	}

	tokensAhead(req: Pick<PlacementRequest, 'class'>): number {
		return req.class === 'urgent' ? this.#queuedTokens.urgent : this.#queuedTokens.urgent + this.#queuedTokens.patient;
	}

	push(req: PlacementRequest): void {
		this.#add(req.readsDirectly === true ? 'broken' : req.class, req);
	}

	/** Broken streams that wait for an engine, oldest first. */
	brokenStreams(): readonly PlacementRequest[] {
		return [...this.#lanes.broken.values()];
	}

	/** Puts a request behind all that can still meet their target. */
	defer(req: PlacementRequest): void {
		this.remove(req);
		this.#add('late', req);
	}

	isDeferred(hold: EngineHold): boolean {
		return this.#lanes.late.has(holdKey(hold));
	}

	/** The request to serve next, besides broken streams. */
	peek(): PlacementRequest | undefined {
		const isPatientTurn = this.#consecutiveUrgent >= maxConsecutiveUrgent && this.#lanes.patient.size > 0;
		const order: readonly Lane[] = isPatientTurn ? ['patient', 'urgent', 'late'] : priorityOrder;
		const lane = order.find(name => this.#lanes[name].size > 0);
		return lane === undefined ? undefined : this.#lanes[lane].values().next().value;
	}

	/** A request of the same lane that needs less memory than `head` and may go before it; undefined without one. */
	findSmaller(head: PlacementRequest): PlacementRequest | undefined {
		const key = holdKey(head);
		const lane = allLanes.find(name => this.#lanes[name].has(key));
		if (lane === undefined || (this.#bypasses.head === key && this.#bypasses.count >= maxBypasses)) {
			return undefined;
		}

		let smallest: PlacementRequest | undefined;
		let examined = 0;
		for (const req of this.#lanes[lane].values()) {
			smallest = req.pieces < (smallest ?? head).pieces ? req : smallest;
			examined += 1;
			if (examined > maxBypassScan) {
				break;
			}
		}

		return smallest;
	}

	/** Counts a request served before `head`. */
	recordBypass(head: PlacementRequest): void {
		const key = holdKey(head);
		this.#bypasses = {head: key, count: this.#bypasses.head === key ? this.#bypasses.count + 1 : 1};
	}

	/** Takes a served request out and counts its class's turn. */
	dequeue(req: PlacementRequest): void {
		const isUrgentBeforePatient = this.#lanes.urgent.has(holdKey(req)) && this.#lanes.patient.size > 0;
		this.#consecutiveUrgent = isUrgentBeforePatient ? this.#consecutiveUrgent + 1 : 0;
		this.remove(req);
	}

	remove(hold: EngineHold): void {
		const key = holdKey(hold);
		for (const lane of allLanes) {
			const req = this.#lanes[lane].get(key);
			if (req !== undefined) {
				this.#lanes[lane].delete(key);
				this.#queuedTokens[lane] -= req.promptTokens;
			}
		}
	}

	/** Takes out the requests whose wait is over. */
	removeExpired(now: Instant): PlacementRequest[] {
		const expired = allLanes.flatMap(lane => [...this.#lanes[lane].values()].filter(req => req.deadline <= now));
		for (const req of expired) {
			this.remove(req);
		}

		return expired;
	}

	#add(lane: Lane, req: PlacementRequest): void {
		if (this.#lanes[lane].has(holdKey(req))) {
			return;
		}

		this.#lanes[lane].set(holdKey(req), req);
		this.#queuedTokens[lane] += req.promptTokens;
	}
}
