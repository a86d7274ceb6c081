/** The order in which requests of one class are placed: by priority, and by fair shares of teams among equals. */
import type {TeamName} from '../ids.js';
import {holdKey} from './hold-table.js';
import type {PlacementRequest} from './types.js';

/** Number of placements after which a less urgent priority may get one: one in ten costs the others little. */
const placementsBetweenTurns = 9;
/** Number of requests after which the counts of a priority are halved, so that they follow the load of the last seconds. */
const countedRequests = 64;
/** Teams without requests that are remembered beside as many that have some. */
const idleTeams = 64;

type TeamQueue = {
	readonly requests: Map<string, PlacementRequest>;
	/** Prompt tokens of the requests. */
	tokens: number;
	/** What the team has got, in memory pieces; teams with less of it go first. */
	virtualTime: number;
};

type PriorityQueue = {
	readonly priority: number;
	readonly teams: Map<TeamName | undefined, TeamQueue>;
	/** Virtual time of the last request placed, at which teams that had nothing waiting start. */
	virtualTime: number;
	/** Requests that wait, their prompt tokens, and teams that have some. */
	size: number;
	tokens: number;
	waitingTeams: number;
	/** Requests that were added and placed lately. */
	added: number;
	placed: number;
};

/** What decides on the place of a request in the queue. */
export type QueueRank = Pick<PlacementRequest, 'priority' | 'promptTokens' | 'team'>;

/** Priority of requests that have none: behind no other one, so that requests without priorities are placed as they come. */
const defaultPriority = 0;

/**
 * Orders requests by start-time fair queueing: each priority before the next, and in a priority each team by the memory that it has got so far.
 * A team that waits alone gets everything, and a team without requests builds up no claim. All teams have the same share, so that the one that
 * sends most waits first. A less urgent priority that waits gets one placement in ten, as long as it is served no better than the most urgent
 * one. Without priorities and teams the order is first come, first served.
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
	/** Placements since one of a less urgent priority, while such a one waits. */
	#sinceTurn = 0;

	get size(): number {
		return this.#byKey.size;
	}

	/** Prompt tokens of all requests. */
	get tokens(): number {
		let tokens = 0;
		for (const queue of this.#priorities.values()) {
			tokens += queue.tokens;
		}

		return tokens;
	}

	has(key: string): boolean {
		return this.#byKey.has(key);
	}

	add(req: PlacementRequest): void {
		const queue = this.#queueOf(req);
		const team = queue.teams.get(req.team) ?? {requests: new Map<string, PlacementRequest>(), tokens: 0, virtualTime: queue.virtualTime};
		queue.teams.set(req.team, team);
		if (team.requests.size === 0) {
			team.virtualTime = Math.max(team.virtualTime, queue.virtualTime);
			queue.waitingTeams += 1;
		}

		team.requests.set(holdKey(req), req);
		team.tokens += req.promptTokens;
		queue.size += 1;
		queue.tokens += req.promptTokens;
		queue.added += 1;
		if (queue.added > countedRequests) {
			queue.added /= 2;
			queue.placed /= 2;
		}

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
		const team = queue.teams.get(req.team)!;
		team.requests.delete(key);
		team.tokens -= req.promptTokens;
		queue.size -= 1;
		queue.tokens -= req.promptTokens;
		if (team.requests.size === 0) {
			queue.waitingTeams -= 1;
			this.#forgetIdle(queue);
		}

		if (this.#lessUrgent() === undefined) {
			this.#sinceTurn = 0;
		}
	}

	/** Removes a request that is placed, and counts it for its team. */
	place(key: string): void {
		const req = this.#byKey.get(key);
		if (req === undefined) {
			return;
		}

		const queue = this.#queueOf(req);
		const team = queue.teams.get(req.team)!;
		const mostUrgent = this.#mostUrgent();
		const isTurn = queue !== mostUrgent && this.first() === req;
		queue.virtualTime = Math.max(queue.virtualTime, team.virtualTime);
		team.virtualTime += req.pieces;
		// Of teams that have got the same, the one placed least recently goes first
		queue.teams.delete(req.team);
		queue.teams.set(req.team, team);
		queue.placed += 1;
		this.#sinceTurn = isTurn ? 0 : this.#sinceTurn + 1;
		this.remove(key);
	}

	/** The request to place next. */
	first(): PlacementRequest | undefined {
		const mostUrgent = this.#mostUrgent();
		const lessUrgent = this.#sinceTurn >= placementsBetweenTurns ? this.#lessUrgent() : undefined;
		const queue = lessUrgent !== undefined && servedPart(lessUrgent) <= servedPart(mostUrgent!) ? lessUrgent : mostUrgent;
		return queue === undefined ? undefined : nextTeam(queue)?.requests.values().next().value;
	}

	/** Requests of one priority, at most `count`: the first ones of each team before the second ones. */
	candidates(priority: number | undefined, count: number): readonly PlacementRequest[] {
		const queue = this.#priorities.get(priority ?? defaultPriority);
		const found: PlacementRequest[] = [];
		let waiting = [...queue?.teams.values() ?? []].filter(({requests}) => requests.size > 0).slice(0, count).map(({requests}) => requests.values());
		while (waiting.length > 0 && found.length < count) {
			waiting = waiting.filter(requests => {
				const next = requests.next();
				if (next.done !== true && found.length < count) {
					found.push(next.value);
				}

				return next.done !== true;
			});
		}

		return found;
	}

	/** All requests. */
	values(): Iterable<PlacementRequest> {
		return this.#byKey.values();
	}

	/**
	 * Prompt tokens that are placed before a request that is added now: those of more urgent priorities, those of its team, and of each
	 * other team as many.
	 */
	tokensAhead({priority = defaultPriority, team: name, promptTokens}: QueueRank): number {
		let tokens = 0;
		for (const queue of this.#priorities.values()) {
			if (queue.priority < priority) {
				tokens += queue.tokens;
			} else if (queue.priority === priority && queue.size > 0) {
				const own = queue.teams.get(name)?.tokens ?? 0;
				for (const [otherName, team] of queue.teams) {
					tokens += otherName === name ? own : Math.min(team.tokens, own + promptTokens);
				}
			}
		}

		return tokens;
	}

	#mostUrgent(): PriorityQueue | undefined {
		let found: PriorityQueue | undefined;
		for (const queue of this.#priorities.values()) {
			found = queue.size > 0 && (found === undefined || queue.priority < found.priority) ? queue : found;
		}

		return found;
	}

	/** The priority behind the most urgent one that has been served least of what it asked for. */
	#lessUrgent(): PriorityQueue | undefined {
		const mostUrgent = this.#mostUrgent();
		let found: PriorityQueue | undefined;
		for (const queue of this.#priorities.values()) {
			found = queue.size > 0 && queue !== mostUrgent && (found === undefined || servedPart(queue) < servedPart(found)) ? queue : found;
		}

		return found;
	}

	/** Teams whose turn would not come later than that of a new one need not be remembered; they are removed a few at a time. */
	#forgetIdle(queue: PriorityQueue): void {
		if (queue.teams.size <= (2 * queue.waitingTeams) + idleTeams) {
			return;
		}

		for (const [name, {requests, virtualTime}] of queue.teams) {
			if (requests.size === 0 && virtualTime <= queue.virtualTime) {
				queue.teams.delete(name);
			}
		}
	}

	#queueOf({priority = defaultPriority}: QueueRank): PriorityQueue {
		const queue = this.#priorities.get(priority) ?? {
			priority, teams: new Map(), virtualTime: 0, size: 0, tokens: 0, waitingTeams: 0, added: 0, placed: 0,
		};
		this.#priorities.set(priority, queue);
		return queue;
	}
}

/** Part of the requests of a priority that were placed lately. */
const servedPart = ({added, placed}: PriorityQueue): number => placed / Math.max(1, added);

/** The team with requests that has got least. */
const nextTeam = ({teams}: PriorityQueue): TeamQueue | undefined => {
	let found: TeamQueue | undefined;
	for (const team of teams.values()) {
		found = team.requests.size > 0 && (found === undefined || team.virtualTime < found.virtualTime) ? team : found;
	}

	return found;
};
