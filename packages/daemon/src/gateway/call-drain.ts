/** The drain of a stopping instance: the calls that it still takes, and what becomes of them. */
import {fitsDrain, UsualDuration} from '@baobabpier/core';
import type {
	Clock, DrainWindow, Repeatability, Route, RouteKind, RouteName,
} from '@baobabpier/core';
import type {Call} from './types.js';

/** What a stop did to a call: it was refused without being run, or ended before its deadline. */
export type DrainEffect = 'refused' | 'cutShort';

const repeatabilityOf = ({kind, resumable}: Route): Repeatability => {
	if (kind === 'safe') {
		return 'whole';
	}

	return kind === 'stream' && resumable ? 'resumed' : 'no';
};

const formatCounts = (counts: ReadonlyMap<RouteKind, number>): string => [...counts].map(([kind, count]) => `${kind} ${count}`).join(', ');

/** Learns how long the calls of each route take, and decides with that once a drain has begun. */
export class CallDrain {
	readonly #usualByRoute = new Map<RouteName, UsualDuration>();
	readonly #counts: Readonly<Record<DrainEffect, Map<RouteKind, number>>> = {refused: new Map(), cutShort: new Map()};
	#window: DrainWindow | undefined;

	constructor(private readonly clock: Clock) {}

	/** The drain in progress; undefined before it. */
	get window(): DrainWindow | undefined {
		return this.#window;
	}

	/** Number of calls by what the stop did to them and by kind of route, such as `safe 3, stream 1`. */
	get effects(): Readonly<Record<DrainEffect, string>> {
		return {refused: formatCounts(this.#counts.refused), cutShort: formatCounts(this.#counts.cutShort)};
	}

	begin(window: DrainWindow): void {
		this.#window = window;
	}

	/** Whether a call is taken: it can be expected to end before the drain does. */
	admits({route, deadlineAt}: Pick<Call, 'deadlineAt' | 'route'>): boolean {
		return this.#window === undefined || fitsDrain({deadlineAt, repeatability: repeatabilityOf(route), usual: this.#usualByRoute.get(route.name)}, this.#window, this.clock.now());
	}

	/** Records how long a call took that a server worked on, in milliseconds. */
	recordDuration(route: RouteName, ms: number): void {
		const usual = this.#usualByRoute.get(route) ?? new UsualDuration();
		this.#usualByRoute.set(route, usual);
		usual.add(ms);
	}

	countEffect(effect: DrainEffect, kind: RouteKind): void {
		const counts = this.#counts[effect];
		counts.set(kind, (counts.get(kind) ?? 0) + 1);
	}

	/** Forgets routes that are not in force any more. */
	retainRoutes(routes: readonly Route[]): void {
		const names = new Set(routes.map(({name}) => name));
		for (const name of this.#usualByRoute.keys()) {
			if (!names.has(name)) {
				this.#usualByRoute.delete(name);
			}
		}
	}
}
