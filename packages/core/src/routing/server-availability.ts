/** Which servers take requests of this instance, by what they say of themselves in their responses. */
import type {BackendId} from '../ids.js';
import {addMs} from '../time.js';
import type {Instant} from '../time.js';

/** Time after which an unlisted server is forgotten, in milliseconds: a list that lacks it may be older than its response, or incomplete. */
const forgetAfterMs = 5000;
/** Maximum number of servers that are remembered. */
const maxServers = 20_000;
/** Longest time that a server may be held back for by one response, in milliseconds. */
const maxHoldBackMs = 300_000;
/** Time for which a server is held back whose time can't be read, in milliseconds. */
const defaultHoldBackMs = 1000;
/** Number of calls that return capacity to a server which may be sent while it is held back. */
const maxReleasesHeldBack = 1;
/** Duration of one step of the slow start after a hold-back, in milliseconds; each step allows twice the requests of the step before. */
const rampStepMs = 50;
/** Number of steps of the slow start. */
const rampSteps = 6;
/** Time after which a server list may show a replacement of a server that leaves, in milliseconds. */
const replacementMs = 1000;
/** Minimum width of the jitter of suggested retry delays, in milliseconds. */
const minSpreadMs = 200;
/** Width of the jitter of suggested retry delays, relative to the delay. */
const spreadFraction = 0.5;

/** What a request means for its server: it takes capacity (`work`), returns some (`release`), or only asks for its state (`probe`). */
export type SendEffect = 'work' | 'release' | 'probe';

/** Why a server gets no requests: it leaves, it asked for time, or it gets few requests after such a time. */
export type SendBlock = 'leaving' | 'heldBack' | 'slowStart';

/** The time for which a server is held back after a response. */
export type HoldBack = {
	/** Duration, in milliseconds. */
	readonly ms: number;
	/** Whether the server's own time was unreadable or out of bounds and is not used as it is. */
	readonly isBounded: boolean;
};

type ServerState = {
	isLeaving: boolean;
	/** End of the latest time that the server asked for; undefined when neither it nor the slow start after it is in force. */
	heldBackUntil: Instant | undefined;
	/** Calls that returned capacity during the hold-back in force. */
	releases: number;
	/** Requests of the slow start. */
	rampSends: number;
	/** When a list first lacked the server; undefined while it is listed. */
	missingSince: Instant | undefined;
};

/**
 * Returns the time for which a server is held back that asked for `requestedMs`; NaN stands for a time that can't be read.
 *
 * @example
 * boundHoldBack(1500); // {ms: 1500, isBounded: false}
 * boundHoldBack(Number.NaN); // {ms: 1000, isBounded: true}
 */
export const boundHoldBack = (requestedMs: number): HoldBack => {
	const ms = requestedMs >= 0 ? Math.min(requestedMs, maxHoldBackMs) : defaultHoldBackMs;
	return {ms, isBounded: ms !== requestedMs};
};

/**
 * Returns the retry delay for a refused caller, in milliseconds: not before a server is available, and spread, so that callers refused
 * together don't return together. `draw` is from 0 to 1.
 *
 * @example
 * spreadRetryDelay(2000, random.next()); // from 2000 to 3000
 */
export const spreadRetryDelay = (availableInMs: number, draw: number): number => availableInMs + (draw * Math.max(minSpreadMs, availableInMs * spreadFraction));

/**
 * Remembers the servers that leave and those that asked for time.
 *
 * A server that leaves gets no more work, whatever later lists say of it, until it is forgotten as unlisted. A server that asked for time gets no
 * request until the time is over, except one that returns capacity, and then a slow start.
 *
 * @example
 * const availability = new ServerAvailability();
 * availability.recordHoldBack(server, 2000, now);
 * availability.findBlock(server, 'work', now); // 'heldBack'
 * availability.availableInMs([server], now); // 2000
 */
export class ServerAvailability {
	readonly #servers = new Map<BackendId, ServerState>();
	#listed: ReadonlySet<BackendId> = new Set();

	/** Number of servers that are remembered. */
	get size(): number {
		return this.#servers.size;
	}

	/** The servers that leave. */
	get leaving(): readonly BackendId[] {
		return [...this.#servers].filter(([, {isLeaving}]) => isLeaving).map(([id]) => id);
	}

	/** The servers that asked for time which is not over. */
	heldBack(now: Instant): readonly BackendId[] {
		return [...this.#servers].filter(([, state]) => isHeldBack(state, now)).map(([id]) => id);
	}

	/** Marks a server as leaving; returns whether it wasn't marked before. */
	recordLeaving(id: BackendId, now: Instant): boolean {
		const state = this.#stateOf(id, now);
		const isNew = !state.isLeaving;
		state.isLeaving = true;
		return isNew;
	}

	/** Holds a server back that refused a request and asked for `requestedMs`; NaN stands for a time that can't be read. */
	recordHoldBack(id: BackendId, requestedMs: number, now: Instant): HoldBack {
		const holdBack = boundHoldBack(requestedMs);
		if (holdBack.ms === 0) {
			return holdBack;
		}

		const state = this.#stateOf(id, now);
		if (!isHeldBack(state, now)) {
			state.releases = 0;
		}

		state.rampSends = 0;
		state.heldBackUntil = addMs(now, Math.max(holdBack.ms, (state.heldBackUntil ?? now) - now));
		return holdBack;
	}

	/** Why a request may not be sent now; undefined when it may. */
	findBlock(id: BackendId, effect: SendEffect, now: Instant): SendBlock | undefined {
		const state = this.#servers.get(id);
		if (state === undefined) {
			return undefined;
		}

		if (state.isLeaving && effect === 'work') {
			return 'leaving';
		}

		if (isHeldBack(state, now)) {
			return effect === 'release' && state.releases < maxReleasesHeldBack ? undefined : 'heldBack';
		}

		return effect === 'work' && isSlowStarting(state, now) && state.rampSends >= allowedRampSends(state.heldBackUntil!, now) ? 'slowStart' : undefined;
	}

	/** Counts a request that is sent now. */
	recordSend(id: BackendId, effect: SendEffect, now: Instant): void {
		const state = this.#servers.get(id);
		if (state === undefined) {
			return;
		}

		if (effect === 'release' && isHeldBack(state, now)) {
			state.releases += 1;
		} else if (effect === 'work') {
			state.rampSends += 1;
		}
	}

	/** Time until one of the servers takes work, in milliseconds; 0 when one does now. Without a time of their own, servers may be replaced. */
	availableInMs(ids: Iterable<BackendId>, now: Instant): number {
		let earliestMs = replacementMs;
		let isTimeKnown = false;
		for (const id of ids) {
			const block = this.findBlock(id, 'work', now);
			if (block === undefined) {
				return 0;
			}

			if (block !== 'leaving') {
				const until = this.#servers.get(id)!.heldBackUntil!;
				const ms = block === 'heldBack' ? until - now : rampStepMs - ((now - until) % rampStepMs);
				earliestMs = isTimeKnown ? Math.min(earliestMs, ms) : ms;
				isTimeKnown = true;
			}
		}

		return earliestMs;
	}

	/** When the next hold-back ends; undefined when none is in force. */
	nextEnd(now: Instant): Instant | undefined {
		const ends = [...this.#servers.values()].filter(state => isHeldBack(state, now)).map(({heldBackUntil}) => heldBackUntil!);
		return ends.length === 0 ? undefined : Math.min(...ends) as Instant;
	}

	/**
	 * Takes note of the servers that are listed; returns those that are forgotten. A mark survives lists that lack its server for a short time,
	 * since they may be older than the mark, or incomplete.
	 */
	retain(listed: ReadonlySet<BackendId>, now: Instant): readonly BackendId[] {
		this.#listed = listed;
		const forgotten: BackendId[] = [];
		for (const [id, state] of this.#servers) {
			const isOver = state.missingSince !== undefined && now - state.missingSince >= forgetAfterMs;
			if (isOver || !isInForce(state, now)) {
				this.#servers.delete(id);
				forgotten.push(id);
			} else if (listed.has(id)) {
				state.missingSince = undefined;
			} else {
				state.missingSince ??= now;
			}
		}

		return forgotten;
	}

	#stateOf(id: BackendId, now: Instant): ServerState {
		const existing = this.#servers.get(id);
		if (existing !== undefined) {
			return existing;
		}

		if (this.#servers.size >= maxServers) {
			this.#evict();
		}

		const state: ServerState = {
			isLeaving: false, heldBackUntil: undefined, releases: 0, rampSends: 0, missingSince: this.#listed.has(id) ? undefined : now,
		};
		this.#servers.set(id, state);
		return state;
	}

	/** Forgets the oldest unlisted server, or else the oldest one. */
	#evict(): void {
		const oldest = [...this.#servers].find(([, {missingSince}]) => missingSince !== undefined)?.[0] ?? this.#servers.keys().next().value;
		if (oldest !== undefined) {
			this.#servers.delete(oldest);
		}
	}
}

const isHeldBack = ({heldBackUntil}: ServerState, now: Instant): boolean => heldBackUntil !== undefined && now < heldBackUntil;

const isSlowStarting = ({heldBackUntil}: ServerState, now: Instant): boolean => heldBackUntil !== undefined && now >= heldBackUntil && now - heldBackUntil < rampSteps * rampStepMs;

const isInForce = (state: ServerState, now: Instant): boolean => state.isLeaving || isHeldBack(state, now) || isSlowStarting(state, now);

/** Requests that the slow start allows from its start to now: 1 in its first step, 3 until the end of the second. */
const allowedRampSends = (startedAt: Instant, now: Instant): number => (2 ** (1 + Math.floor((now - startedAt) / rampStepMs))) - 1;
