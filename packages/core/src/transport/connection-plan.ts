/** Decides on which connection to one address each request is sent, and which connections may be kept. */
import type {Branded} from '../ids.js';
import {toId} from '../ids.js';
import {invariant} from '../invariant.js';
import {LaneQueue} from './lane-queue.js';
import {echoedId, laneOf} from './planned-request.js';
import type {PlannedRequest} from './planned-request.js';
import {judgeResponse} from './response-binding.js';
import type {ResponseVerdict} from './response-binding.js';

/** A connection, numbered within its plan. */
export type ConnectionId = Branded<number, 'ConnectionId'>;

/** What the owner of the sockets is to do next, in order. */
export type PlanStep<Request extends PlannedRequest> =
	| {readonly kind: 'open'; readonly connection: ConnectionId}
	| {readonly kind: 'send'; readonly connection: ConnectionId; readonly request: Request}
	/** Nothing of the connection is used any more. */
	| {readonly kind: 'close'; readonly connection: ConnectionId}
	/** No connection could be opened for the request, of which nothing was written. */
	| {readonly kind: 'fail'; readonly request: Request};

type Connection<Request> = {
	readonly id: ConnectionId;
	/** Calls that share the connection; undefined for a connection of one request. */
	readonly lane: string | undefined;
	phase: 'opening' | 'idle' | 'inUse' | 'outOfStep';
	/** The request for which it is opened. */
	opener: Request | undefined;
	request: Request | undefined;
	/** Id of the newest request whose response must name it. */
	requestId: string | undefined;
	isFirst: boolean;
	/** Whether it was open for a time without a request: its server may have closed it meanwhile. */
	wasIdle: boolean;
	mustClose: boolean;
};

/** Lane in which requests wait that get a connection each. */
const singleUseLane = 'singleUse';
/** Connections of a single request that an address may always have. */
const minSingleUseConnections = 2;
/** Further ones, as a part of the maximum of kept connections. */
const singleUseShare = 0.25;

/**
 * Plans the connections to one address. Requests of a lane are sent in order of arrival, each on a connection that carries no
 * other; a connection on which a response of another request arrived carries nothing any more.
 *
 * @example
 * const plan = new ConnectionPlan(() => 2);
 * plan.add(request); // [{kind: 'open', connection: 1}]
 * plan.handleOpened(connection); // [{kind: 'send', connection: 1, request}]
 */
export class ConnectionPlan<Request extends PlannedRequest> {
	readonly #connections = new Map<ConnectionId, Connection<Request>>();
	readonly #waiting = new Map<string, LaneQueue<Request>>();
	/** Number of waiting requests by the id that their responses name. */
	readonly #waitingIds = new Map<string, number>();
	#nextId = 1;

	/** `maxConnections` returns the maximum number of kept connections of a lane; it may change. */
	constructor(private readonly maxConnections: () => number) {}

	/** Whether there is no connection and no waiting request. */
	get isEmpty(): boolean {
		return this.#connections.size === 0 && this.#waiting.size === 0;
	}

	/** Whether a connection carries nothing and may be used. */
	isIdle(id: ConnectionId): boolean {
		return this.#connections.get(id)?.phase === 'idle';
	}

	/** Adds a request. */
	add(request: Request): ReadonlyArray<PlanStep<Request>> {
		// The id of another request here, which may be repeated in its response, identifies nothing
		const lane = this.#isIdKnown(echoedId(request)) ? undefined : laneOf(request);
		if (lane === undefined) {
			this.#enqueue(singleUseLane, request);
			return this.#pump(undefined);
		}

		// The usual case: nothing waits and a connection is idle
		const idle = this.#waiting.has(lane) ? undefined : this.#findIdle(lane);
		if (idle !== undefined) {
			return [this.#send(idle, request)];
		}

		this.#enqueue(lane, request);
		return this.#pump(lane);
	}

	/** Withdraws a request; returns undefined when it has been sent already. */
	cancel(request: Request): ReadonlyArray<PlanStep<Request>> | undefined {
		if (this.#withdraw(request)) {
			return [];
		}

		const connection = [...this.#connections.values()].find(({phase, lane, opener}) => phase === 'opening' && lane === undefined && opener === request);
		return connection === undefined ? undefined : [this.#close(connection), ...this.#pump(undefined)];
	}

	/** Records that a connection was established. */
	handleOpened(id: ConnectionId): ReadonlyArray<PlanStep<Request>> {
		const connection = this.#get(id);
		const {lane, opener} = connection;
		connection.phase = 'idle';
		connection.opener = undefined;
		if (lane === undefined) {
			return [this.#send(connection, opener!)];
		}

		const steps = this.#pump(lane);
		connection.wasIdle = this.isIdle(id);
		return steps;
	}

	/** Judges the head of a response on a connection; one of another request puts the connection out of step. */
	judge(id: ConnectionId, responseId: string | undefined): ResponseVerdict {
		const connection = this.#get(id);
		invariant(connection.phase === 'inUse' && connection.request !== undefined, 'RESPONSE_UNASKED', 'a response is judged on a connection without a request');
		const verdict = judgeResponse(connection.request.binding, connection.isFirst, responseId);
		if (verdict.kind === 'foreign') {
			connection.phase = 'outOfStep';
		} else {
			connection.mustClose ||= verdict.isLast;
		}

		connection.isFirst = false;
		return verdict;
	}

	/** Records that the response on a connection is complete, and nothing followed it. */
	handleEnd(id: ConnectionId): ReadonlyArray<PlanStep<Request>> {
		const connection = this.#get(id);
		const {lane, mustClose, phase} = connection;
		connection.request = undefined;
		if (lane === undefined || mustClose || phase !== 'inUse' || this.#count(lane) > this.maxConnections()) {
			return [this.#close(connection), ...this.#pump(lane)];
		}

		connection.phase = 'idle';
		connection.wasIdle = true;
		return this.#pump(lane);
	}

	/** Records that a request was not written after all, and that its connection is as it was before. */
	handleHeldBack(id: ConnectionId): ReadonlyArray<PlanStep<Request>> {
		const connection = this.#get(id);
		connection.request = undefined;
		if (connection.lane === undefined) {
			return [this.#close(connection), ...this.#pump(undefined)];
		}

		connection.phase = 'idle';
		return this.#pump(connection.lane);
	}

	/** Records that a connection was closed before its request was written; unless it had just been opened, the request is sent on another one. */
	handleUnwritten(id: ConnectionId): ReadonlyArray<PlanStep<Request>> {
		const connection = this.#get(id);
		const {request, wasIdle, lane} = connection;
		const steps: Array<PlanStep<Request>> = [this.#close(connection)];
		if (request !== undefined && !wasIdle) {
			steps.push({kind: 'fail', request});
		} else if (request !== undefined) {
			// A connection of its own has never idled
			this.#enqueue(lane!, request, true);
		}

		return [...steps, ...this.#pump(lane)];
	}

	/** Records that bytes arrived on a connection on which no response is due. */
	handleUnexpectedBytes(id: ConnectionId): ReadonlyArray<PlanStep<Request>> {
		const connection = this.#get(id);
		connection.phase = 'outOfStep';
		return [this.#close(connection), ...this.#pump(connection.lane)];
	}

	/** Records that a connection is gone, or could not be opened: the request for which it was opened fails if it still waits. */
	handleClosed(id: ConnectionId): ReadonlyArray<PlanStep<Request>> {
		const connection = this.#connections.get(id);
		if (connection === undefined) {
			return [];
		}

		this.#connections.delete(id);
		const {lane, opener, phase} = connection;
		const steps: Array<PlanStep<Request>> = [];
		if (phase === 'opening' && opener !== undefined && (this.#withdraw(opener) || lane === undefined)) {
			steps.push({kind: 'fail', request: opener});
		}

		return [...steps, ...this.#pump(lane)];
	}

	/** Discards the kept connections: idle ones at once, the others when their response is complete. */
	discard(): ReadonlyArray<PlanStep<Request>> {
		const steps: Array<PlanStep<Request>> = [];
		for (const connection of this.#connections.values()) {
			if (connection.phase === 'idle') {
				steps.push(this.#close(connection));
			} else if (connection.phase === 'inUse') {
				connection.mustClose = true;
			}
		}

		return steps;
	}

	#get(id: ConnectionId): Connection<Request> {
		const connection = this.#connections.get(id);
		invariant(connection !== undefined, 'CONNECTION_UNKNOWN', `connection ${id} is closed`);
		return connection;
	}

	/** Sends what waits in a lane, and opens connections for the rest within the maximum. */
	#pump(lane: string | undefined): Array<PlanStep<Request>> {
		if (lane === undefined) {
			return this.#pumpSingleUse();
		}

		const steps: Array<PlanStep<Request>> = [];
		const queue = this.#waiting.get(lane);
		if (queue === undefined) {
			return steps;
		}

		let kept = 0;
		const openers = new Set<Request | undefined>();
		for (const connection of this.#connections.values()) {
			if (connection.lane !== lane) {
				continue;
			}

			kept += 1;
			if (connection.phase === 'opening') {
				openers.add(connection.opener);
			} else if (connection.phase === 'idle' && queue.size > 0) {
				steps.push(this.#send(connection, this.#dequeue(lane, queue)));
			}
		}

		const missing = Math.min(queue.size - openers.size, Math.max(1, this.maxConnections()) - kept);
		return missing <= 0 ? steps : [...steps, ...this.#openFor(lane, queue, openers, missing)];
	}

	/** Opens connections for the requests that get one each, within their own maximum. */
	#pumpSingleUse(): Array<PlanStep<Request>> {
		const queue = this.#waiting.get(singleUseLane);
		if (queue === undefined) {
			return [];
		}

		const steps: Array<PlanStep<Request>> = [];
		const limit = Math.max(minSingleUseConnections, Math.floor(this.maxConnections() * singleUseShare));
		for (let free = limit - this.#count(undefined); free > 0 && queue.size > 0; free--) {
			steps.push(...this.#makeRoom(), this.#open(undefined, this.#dequeue(singleUseLane, queue)));
		}

		return steps;
	}

	/** Opens connections for the first requests for which none is being opened. */
	#openFor(lane: string, queue: LaneQueue<Request>, openers: ReadonlySet<Request | undefined>, count: number): Array<PlanStep<Request>> {
		const steps: Array<PlanStep<Request>> = [];
		for (const request of queue.values()) {
			if (steps.length === count) {
				break;
			}

			if (!openers.has(request)) {
				steps.push(this.#open(lane, request));
			}
		}

		return steps;
	}

	#enqueue(lane: string, request: Request, isFirst = false): void {
		const queue = this.#waiting.get(lane) ?? new LaneQueue<Request>();
		this.#waiting.set(lane, queue);
		if (isFirst) {
			queue.putBack(request);
		} else {
			queue.add(request);
		}

		this.#countId(request, 1);
	}

	#dequeue(lane: string, queue: LaneQueue<Request>): Request {
		const request = queue.shift();
		invariant(request !== undefined, 'QUEUE_EMPTY', 'a request is taken from an empty queue');
		this.#handleDequeued(lane, queue, request);
		return request;
	}

	/** Removes a waiting request; returns whether it waited. */
	#withdraw(request: Request): boolean {
		for (const lane of new Set([laneOf(request) ?? singleUseLane, singleUseLane])) {
			const queue = this.#waiting.get(lane);
			if (queue?.delete(request) === true) {
				this.#handleDequeued(lane, queue, request);
				return true;
			}
		}

		return false;
	}

	#handleDequeued(lane: string, queue: LaneQueue<Request>, request: Request): void {
		this.#countId(request, -1);
		if (queue.size === 0) {
			this.#waiting.delete(lane);
		}
	}

	#countId(request: Request, change: 1 | -1): void {
		const requestId = echoedId(request);
		if (requestId === undefined) {
			return;
		}

		const count = (this.#waitingIds.get(requestId) ?? 0) + change;
		if (count === 0) {
			this.#waitingIds.delete(requestId);
		} else {
			this.#waitingIds.set(requestId, count);
		}
	}

	#open(lane: string | undefined, opener: Request): PlanStep<Request> {
		const id = toId<ConnectionId>(this.#nextId++);
		this.#connections.set(id, {
			id, lane, phase: 'opening', opener, request: undefined, requestId: undefined, isFirst: true, wasIdle: false, mustClose: false,
		});
		return {kind: 'open', connection: id};
	}

	#send(connection: Connection<Request>, request: Request): PlanStep<Request> {
		invariant(connection.phase === 'idle', 'CONNECTION_BUSY', 'a request is sent on a connection that is in use or out of step');
		connection.phase = 'inUse';
		connection.request = request;
		connection.requestId = echoedId(request);
		return {kind: 'send', connection: connection.id, request};
	}

	#close(connection: Connection<Request>): PlanStep<Request> {
		this.#connections.delete(connection.id);
		return {kind: 'close', connection: connection.id};
	}

	/** Closes an idle connection where a further one would exceed the maximum. */
	#makeRoom(): Array<PlanStep<Request>> {
		const idle = [...this.#connections.values()].find(({phase}) => phase === 'idle');
		return idle === undefined || this.#connections.size < this.maxConnections() ? [] : [this.#close(idle)];
	}

	#findIdle(lane: string): Connection<Request> | undefined {
		for (const connection of this.#connections.values()) {
			if (connection.phase === 'idle' && connection.lane === lane) {
				return connection;
			}
		}

		return undefined;
	}

	/** Whether a waiting request, or the newest one of a connection, has an id. */
	#isIdKnown(requestId: string | undefined): boolean {
		return requestId !== undefined && (
			this.#waitingIds.has(requestId)
			|| [...this.#connections.values()].some(connection => connection.requestId === requestId)
		);
	}

	#count(lane: string | undefined): number {
		let count = 0;
		for (const connection of this.#connections.values()) {
			count += connection.lane === lane ? 1 : 0;
		}

		return count;
	}
}
