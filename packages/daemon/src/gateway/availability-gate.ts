/** Keeps requests from servers that say in their responses that they leave, that ask for time, or that take only so many requests a second. */
import {ServerAvailability} from '@baobabpier/core';
import type {BackendId, Clock, SendEffect} from '@baobabpier/core';
import {createLog} from '../log.js';
import type {ServerRateLimits} from '../server-rate-limits/types.js';
import type {
	CallKind, PermitSeeker, SendPermit, SendRecord, ServerGate,
} from '../transport/types.js';
import type {NoticeDialect} from './types.js';

const log = createLog('availability');
/** What the kinds of calls mean for their servers; all others are work. */
const effects: ReadonlyMap<CallKind, SendEffect> = new Map<CallKind, SendEffect>([['release', 'release'], ['free', 'release'], ['report', 'probe'], ['liveness', 'probe']]);
/** Status with which servers refuse requests that they have no capacity for. */
const refusedStatus = 503;
/** Status with which another server at the address refuses a request. */
const misdirectedStatus = 421;
/** Servers whose unusable times are remembered as logged, at most. */
const maxLoggedServers = 10_000;

/** What the gate counts: servers that leave, times asked for, limits that begin, change or end, requests that were not sent, and requests that were sent although work is not. */
export type GateEvent = 'marked' | 'asked' | 'limit_changed' | 'held_back' | 'sent_anyway';

/** Dependencies of an availability gate. */
export type AvailabilityGateParts = {
	readonly clock: Clock;
	readonly dialect: NoticeDialect;
	readonly limits: ServerRateLimits;
	readonly count: (event: GateEvent, kind: CallKind) => void;
	/** Called when a server begins or ceases to leave, to be held back or to have used up its limit. */
	readonly onChange: () => void;
};

/**
 * Decides for all calls of this instance whether a server may get them now. Each instance acts at once on the responses that it saw itself,
 * whether or not it reaches others; a limit of a server is kept by permits, which the leader grants.
 *
 * @example
 * const permit = gate.needsPermit(server.id) ? await gate.acquirePermit({server: server.id, kind: 'run', requestId, isUrgent}, signal) : undefined;
 * if (gate.maySend(server.id, 'run', permit)) send();
 */
export class AvailabilityGate implements ServerGate {
	readonly #availability = new ServerAvailability();
	readonly #loggedTimes = new Set<BackendId>();
	/** Limits that servers named in their latest responses, in requests a second. */
	readonly #limits = new Map<BackendId, number>();
	#timer: NodeJS.Timeout | undefined;
	#isStopped = false;

	constructor(private readonly parts: AvailabilityGateParts) {}

	/** The servers that get no work because they leave, asked for time, or have used up their limit. */
	get unavailable(): ReadonlySet<BackendId> {
		return new Set([...this.#availability.leaving, ...this.#availability.heldBack(this.parts.clock.now()), ...this.parts.limits.exhausted]);
	}

	get leavingCount(): number {
		return this.#availability.leaving.length;
	}

	get heldBackCount(): number {
		return this.#availability.heldBack(this.parts.clock.now()).length;
	}

	stop(): void {
		this.#isStopped = true;
		clearTimeout(this.#timer);
		this.parts.limits.stop();
	}

	/** Whether a server may get work now. */
	isAvailable(server: BackendId, isUrgent = true): boolean {
		return this.#availability.findBlock(server, 'work', this.parts.clock.now()) === undefined && this.parts.limits.availableInMs(server, isUrgent) === 0;
	}

	/** Time until one of the servers gets work, in milliseconds; 0 when one may get it now. */
	availableInMs(servers: Iterable<BackendId>, isUrgent = true): number {
		const {clock, limits} = this.parts;
		const permitTimes: number[] = [];
		const others = [...servers].filter(server => {
			const ms = limits.availableInMs(server, isUrgent);
			permitTimes.push(...ms > 0 ? [ms] : []);
			return ms === 0;
		});
		return Math.min(...permitTimes, ...others.length === 0 && permitTimes.length > 0 ? [] : [this.#availability.availableInMs(others, clock.now())]);
	}

	needsPermit(server: BackendId): boolean {
		return this.parts.limits.isLimited(server);
	}

	/** Resolves with a permit for a request to a limited server; with undefined when its limit is used up. */
	async acquirePermit(seeker: PermitSeeker, signal: AbortSignal): Promise<SendPermit | undefined> {
		const permit = await this.parts.limits.acquire(seeker, signal);
		if (permit === undefined) {
			this.parts.count('held_back', seeker.kind);
		}

		return permit;
	}

	/** Whether a request may be sent now; asked right before its first byte is written. */
	maySend(server: BackendId, kind: CallKind, permit?: SendPermit): boolean {
		const now = this.parts.clock.now();
		const isBlocked = this.#availability.findBlock(server, effectOf(kind), now) !== undefined || (this.parts.limits.isLimited(server) && (permit === undefined || now >= permit.until));
		if (isBlocked) {
			this.parts.count('held_back', kind);
		}

		return !isBlocked;
	}

	/** Counts a request that is sent now. */
	recordSend(server: BackendId, kind: CallKind, permit?: SendPermit): SendRecord {
		const now = this.parts.clock.now();
		const block = this.#availability.findBlock(server, 'work', now);
		this.#availability.recordSend(server, effectOf(kind), now);
		if (block !== undefined) {
			this.parts.count('sent_anyway', kind);
		}

		return this.parts.limits.record(server, permit);
	}

	/** Takes note of what a server says of itself in the head of a response. */
	recordResponse(server: BackendId, kind: CallKind, {status, rawHeaders}: {readonly status: number; readonly rawHeaders: readonly string[]}, record: SendRecord): void {
		const {isLeaving, retryAfterMs, requestsPerSecond} = this.parts.dialect.readNotice(rawHeaders);
		const now = this.parts.clock.now();
		let isChanged = false;
		if (isLeaving && this.#availability.recordLeaving(server, now)) {
			log('A server says that it leaves, and gets no more work.', {server, kind, status});
			this.parts.count('marked', kind);
			isChanged = true;
		}

		if (status === refusedStatus && retryAfterMs !== undefined) {
			isChanged = this.#holdBack(server, kind, retryAfterMs) || isChanged;
		}

		// Another server at the address says nothing of this one
		if (status !== misdirectedStatus) {
			this.#logLimit(server, kind, requestsPerSecond);
			this.parts.limits.observe(server, kind, requestsPerSecond, record);
		}

		if (isChanged) {
			this.#applyChange();
		}
	}

	/** Takes note of the servers that are listed. */
	retain(listed: ReadonlySet<BackendId>): void {
		const now = this.parts.clock.now();
		this.parts.limits.retain(listed);
		const before = new Set(this.#availability.leaving);
		for (const server of this.#availability.retain(listed, now)) {
			if (before.has(server)) {
				log('A server that left is forgotten.', {server});
			}
		}

		for (const server of [...this.#loggedTimes, ...this.#limits.keys()]) {
			if (!listed.has(server)) {
				this.#loggedTimes.delete(server);
				this.#limits.delete(server);
			}
		}
	}

	/** Tells of a change of the limits. */
	handleLimitChange(): void {
		this.#applyChange();
	}

	#logLimit(server: BackendId, kind: CallKind, requestsPerSecond: number | undefined): void {
		const before = this.#limits.get(server);
		if (Object.is(requestsPerSecond, before)) {
			return;
		}

		if (requestsPerSecond === undefined) {
			this.#limits.delete(server);
		} else if (this.#limits.size < maxLoggedServers) {
			this.#limits.set(server, requestsPerSecond);
		}

		this.parts.count('limit_changed', kind);
		log('A server names another limit of requests.', {
			server, kind, requestsPerSecond: String(requestsPerSecond ?? 'none'), before: String(before ?? 'none'),
		});
	}

	#holdBack(server: BackendId, kind: CallKind, retryAfterMs: number): boolean {
		const now = this.parts.clock.now();
		const wasHeldBack = this.#availability.heldBack(now).includes(server);
		const {ms, isBounded} = this.#availability.recordHoldBack(server, retryAfterMs, now);
		if (isBounded && !this.#loggedTimes.has(server) && this.#loggedTimes.size < maxLoggedServers) {
			this.#loggedTimes.add(server);
			log('A server asks for a time that is unreadable or out of bounds.', {
				server, kind, requestedMs: Number.isNaN(retryAfterMs) ? 'unreadable' : retryAfterMs, heldBackMs: ms,
			});
		}

		if (ms === 0) {
			return false;
		}

		this.parts.count('asked', kind);
		if (!wasHeldBack) {
			log('A server asks for time, and gets no requests until it is over.', {server, kind, heldBackMs: Math.round(ms)});
		}

		return !wasHeldBack;
	}

	#applyChange(): void {
		if (this.#isStopped) {
			return;
		}

		this.#scheduleEnd();
		this.parts.onChange();
	}

	/** Calls `onChange` when the next server takes requests again. */
	#scheduleEnd(): void {
		const now = this.parts.clock.now();
		const ends = [this.#availability.nextEnd(now), this.parts.limits.nextEnd].filter(end => end !== undefined);
		clearTimeout(this.#timer);
		this.#timer = ends.length === 0
			? undefined
			: setTimeout(() => {
				this.#applyChange();
			}, Math.ceil(Math.min(...ends) - now));
		this.#timer?.unref();
	}
}

const effectOf = (kind: CallKind): SendEffect => effects.get(kind) ?? 'work';
