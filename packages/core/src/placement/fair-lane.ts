/** The order in which requests of one class are placed: by priority, and by fair shares of teams among equals. */
import type {TeamName} from '../ids.js';
import {holdKey} from './hold-table.js';
import type {PlacementRequest} from './types.js';

/** Maximum number of requests placed in a row before one of a less urgent priority that waits. */
const maxConsecutive = 9;

type TeamQueue = {
	readonly requests: Map<string, PlacementRequest>;
	/** Prompt tokens of the requests. */
	tokens: number;
	/** What the team has got, in memory pieces; teams with less of it go first. */
	virtualTime: number;
};

type PriorityQueue = {
	readonly teams: Map<TeamName | undefined, TeamQueue>;
	/** Virtual time of the last request placed, at which teams that had nothing waiting start. */
	virtualTime: number;
	/** Requests of more urgent priorities that were placed since one of this priority was. */
	skipped: number;
};

/** What decides on the place of a request in the queue. */
export type QueueRank = Pick<PlacementRequest, 'priority' | 'promptTokens' | 'team'>;

/** Priority of requests that have none: behind no other one, so that requests without priorities are placed as they come. */
const defaultPriority = 0;

/**
 * Orders requests by start-time fair queueing: each priority before the next, and in a priority each team by the memory that it has got so far.
 * A team that waits alone gets everything, and a team that had nothing waiting saves nothing up. All teams have the same share, so that the one that
 * sends most waits first. Without priorities and teams the order is first come, first served.
 *
 * @see Goyal, Vin and Cheng, "Start-time fair queueing", 1996.
 * @example
 * const lane = new FairLane();
 * lane.add(req);
 * lane.first(); // The request to place next
 */
export class FairLane {
	readonly #priorities = new Map<number, PriorityQueue>();
	readonly #byKey = new Map<string, PlacementRequest>();

	get size(): number {
		return this.#byKey.size;
	}

	/** Prompt tokens of all requests. */
	get tokens(): number {
		return [...this.#priorities.values()].reduce((sum, queue) => sum + sumOf(queue), 0);
	}

	has(key: string): boolean {
		return this.#byKey.has(key);
	}

	add(req: PlacementRequest): void {
		const queue = this.#queueOf(req);
		const team = this.#teamOf(queue, req);
		if (team.requests.size === 0) {
			team.virtualTime = Math.max(team.virtualTime, queue.virtualTime);
		}

		team.requests.set(holdKey(req), req);
		team.tokens += req.promptTokens;
		this.#byKey.set(holdKey(req), req);
	}

	/** Removes a request that is not placed. */
	remove(key: string): void {
		const req = this.#byKey.get(key);
		if (req === undefined) {
			return;
		}

		this.#byKey.delete(key);
		const queue = this.#queueOf(req);
		const team = this.#teamOf(queue, req);
		team.requests.delete(key);
		team.tokens -= req.promptTokens;
		if (team.requests.size === 0 && team.virtualTime <= queue.virtualTime) {
			queue.teams.delete(req.team);
		}
	}

	/** Removes a request that is placed, and counts it for its team. */
	place(key: string): void {
		const req = this.#byKey.get(key);
		if (req === undefined) {
			return;
		}

		const queue = this.#queueOf(req);
		const team = this.#teamOf(queue, req);
		queue.virtualTime = Math.max(queue.virtualTime, team.virtualTime);
		queue.skipped = 0;
		team.virtualTime += req.pieces;
		for (const [priority, other] of this.#priorities) {
			if (priority > (req.priority ?? defaultPriority) && isWaiting(other)) {
				other.skipped += 1;
			}
		}

		this.remove(key);
		this.#forgetIdle(queue);
	}

	/** The request to place next. */
	first(): PlacementRequest | undefined {
		const waiting = this.#waiting();
		const queue = waiting.find(([, {skipped}]) => skipped >= maxConsecutive) ?? waiting[0];
		const team = queue === undefined ? undefined : sortedTeams(queue[1])[0];
		return team?.requests.values().next().value;
	}

	/** All requests, about in the order in which they are placed. */
	* values(): Iterable<PlacementRequest> {
		for (const [, queue] of this.#waiting()) {
			for (const {requests} of sortedTeams(queue)) {
				yield * requests.values();
			}
		}
	}

	/**
	 * Prompt tokens that are placed before a request that is added now: those of more urgent priorities, those of its team, and of each
	 * other team as many.
	 */
	tokensAhead({priority = defaultPriority, team: name, promptTokens}: QueueRank): number {
		let tokens = 0;
		for (const [other, queue] of this.#priorities) {
			if (other < priority) {
				tokens += sumOf(queue);
			} else if (other === priority) {
				const own = queue.teams.get(name)?.tokens ?? 0;
				for (const [otherName, team] of queue.teams) {
					tokens += otherName === name ? own : Math.min(team.tokens, own + promptTokens);
				}
			}
		}

		return tokens;
	}

	#waiting(): ReadonlyArray<readonly [number, PriorityQueue]> {
		return [...this.#priorities].filter(([, queue]) => isWaiting(queue)).toSorted(([a], [b]) => a - b);
	}

	/** Teams whose turn would not come later than that of a new one need not be remembered. */
	#forgetIdle(queue: PriorityQueue): void {
		for (const [name, {requests, virtualTime}] of queue.teams) {
			if (requests.size === 0 && virtualTime <= queue.virtualTime) {
				queue.teams.delete(name);
			}
		}
	}

	#queueOf({priority = defaultPriority}: QueueRank): PriorityQueue {
		const queue = this.#priorities.get(priority) ?? {teams: new Map(), virtualTime: 0, skipped: 0};
		this.#priorities.set(priority, queue);
		return queue;
	}

	#teamOf(queue: PriorityQueue, {team: name}: QueueRank): TeamQueue {
		const team = queue.teams.get(name) ?? {requests: new Map<string, PlacementRequest>(), tokens: 0, virtualTime: queue.virtualTime};
		queue.teams.set(name, team);
		return team;
	}
}

const isWaiting = ({teams}: PriorityQueue): boolean => [...teams.values()].some(({requests}) => requests.size > 0);

const sumOf = ({teams}: PriorityQueue): number => [...teams.values()].reduce((sum, {tokens}) => sum + tokens, 0);

/** Teams with requests, those first that have got least. */
const sortedTeams = ({teams}: PriorityQueue): readonly TeamQueue[] => [...teams.values()].filter(({requests}) => requests.size > 0).toSorted((a, b) => a.virtualTime - b.virtualTime);
