/** The drain of a stopping instance: the calls that it still takes, and what becomes of them. */
import {fitsDrain, UsualDuration} from '@baobabpier/core';
import type {
	Clock, DrainWindow, Instant, Repeatability, RequestId, Route, RouteKind, RouteName,
} from '@baobabpier/core';
import type {Call} from './types.js';

/** What became of a call during a stop: it was refused without being run, ended at the end of the drain, or broken off for another reason. */
export type DrainEffect = 'refused' | 'cutShort' | 'brokenOff';

/** A call that got no complete response during a stop. */
export type UnfinishedCall = {
	readonly requestId: RequestId;
	readonly kind: RouteKind;
	readonly effect: Exclude<DrainEffect, 'refused'>;
	/** Why it ended. */
	readonly cause: string;
};

/** Maximum number of unfinished calls that a stop names. */
const maxNamedCalls = 50;

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
	readonly #counts: Readonly<Record<DrainEffect, Map<RouteKind, number>>> = {refused: new Map(), cutShort: new Map(), brokenOff: new Map()};
	readonly #unfinished: string[] = [];
	#window: DrainWindow | undefined;
	#beganAt: Instant | undefined;

	constructor(private readonly clock: Clock) {}

	/** The drain in progress; undefined before it. */
	get window(): DrainWindow | undefined {
		return this.#window;
	}

	/** Time since the stop began, in milliseconds; undefined before it. */
	get elapsedMs(): number | undefined {
		return this.#beganAt === undefined ? undefined : Math.round(this.clock.now() - this.#beganAt);
	}

	/** Number of calls by what became of them and by kind of route, such as `safe 3, stream 1`. */
	get effects(): Readonly<Record<DrainEffect, string>> {
		return {refused: formatCounts(this.#counts.refused), cutShort: formatCounts(this.#counts.cutShort), brokenOff: formatCounts(this.#counts.brokenOff)};
	}

	/** The calls that got no complete response, each with its cause and when it ended, such as `cutShort stream 5c1e07a2: deadline, after 7500 ms`. */
	get unfinished(): string {
		return this.#unfinished.join('; ');
	}

	begin(window: DrainWindow): void {
		this.#window = window;
		this.#beganAt = this.clock.now();
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

	/** Records a call that got no complete response; before a stop it is no effect of one. */
	recordUnfinished({requestId, kind, effect, cause}: UnfinishedCall): void {
		if (this.#window === undefined) {
			return;
		}

		this.countEffect(effect, kind);
		if (this.#unfinished.length < maxNamedCalls) {
			this.#unfinished.push(`${effect} ${kind} ${requestId}: ${cause}, after ${this.elapsedMs} ms`);
		}
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
