/** The limits of servers at an instance that gets its permits from the leader. */
import {
	addMs, KnownRateLimits, RATE_LIMIT_REPORT, SERVER_PERMIT, toId,
} from '@baobabpier/core';
import type {
	BackendId, Clock, InstanceId, Instant, PermitClass, RequestId, ServerRateLimit, RateLimitsSnapshot, ServerPermitResponse,
} from '@baobabpier/core';
import {createLog} from '../log.js';
import type {Peers} from '../rpc/peers.js';
import type {
	CallKind, PermitSeeker, SendPermit, SendRecord,
} from '../transport/types.js';
import {canLiftLimit, permitClassOf, permitTtlMs} from './permit-class.js';
import type {ServerRateLimits} from './types.js';

const log = createLog('rate-limits');
/** Timeout of a question for a permit, in milliseconds. */
const permitTimeoutMs = 250;
/** Time for which a server counts as exhausted when the leader can't be asked, in milliseconds. */
const noLeaderBackoffMs = 500;
/** Time for which observations are collected into one report, in milliseconds. */
const collectMs = 15;
/** Timeout of a report, in milliseconds. */
const reportTimeoutMs = 600;
/** Interval at which a report that was not acknowledged is sent again, in milliseconds. */
const resendIntervalMs = 300;

/** Dependencies of the limits at an instance that asks a leader. */
export type RemoteRateLimitsParts = {
	readonly self: InstanceId;
	readonly clock: Clock;
	readonly peers: Peers;
	readonly leader: () => InstanceId | undefined;
	/** Called when a limit begins, changes or ends, and when a server is exhausted. */
	readonly onChange: () => void;
	readonly countPermit: (result: 'granted' | 'denied', permitClass: PermitClass) => void;
};

type Observation = {
	readonly requestsPerSecond: number | undefined;
	readonly sentAt: Instant;
	readonly isPermitted: boolean;
};

/**
 * Asks the leader for a permit before each request to a limited server, and reports to it what responses say.
 *
 * @example
 * const limits = new RemoteRateLimits({self, clock, peers, leader: () => watch.leader, onChange, countPermit});
 * const permit = await limits.acquire({server, kind: 'run', requestId, isUrgent: true}, signal);
 */
export class RemoteRateLimits implements ServerRateLimits {
	readonly #known: KnownRateLimits;
	/** The newest observation of each server that the leader has yet to hear. */
	readonly #unreported = new Map<BackendId, Observation>();
	#snapshot: Pick<RateLimitsSnapshot, 'term' | 'version'> | undefined;
	#hasRecordedToReport = false;
	#timer: NodeJS.Timeout | undefined;
	#isReporting = false;
	#isStopped = false;

	constructor(private readonly parts: RemoteRateLimitsParts) {
		this.#known = new KnownRateLimits(parts.self);
	}

	get size(): number {
		return this.#known.size;
	}

	get exhausted(): readonly BackendId[] {
		return this.#known.exhausted(this.parts.clock.now());
	}

	/** The limits in force, in requests a second. */
	get inForce(): ReadonlyArray<{readonly server: BackendId; readonly value: number}> {
		return this.#known.inForce;
	}

	/** Version of the leader's limits that is applied; undefined before the first. */
	get version(): string | undefined {
		return this.#snapshot?.version;
	}

	/** When the next server gets permits again; undefined when none is exhausted. */
	get nextEnd(): Instant | undefined {
		return this.#known.nextEnd(this.parts.clock.now());
	}

	stop(): void {
		this.#isStopped = true;
		clearTimeout(this.#timer);
	}

	isLimited(server: BackendId): boolean {
		return this.#known.isLimited(server);
	}

	requestsPerSecond(server: BackendId): number | undefined {
		return this.#known.requestsPerSecond(server);
	}

	availableInMs(server: BackendId, isUrgent: boolean): number {
		return this.#known.availableInMs(server, isUrgent, this.parts.clock.now());
	}

	/** Applies what the leader knows; one of another term is told what former leaders recorded. */
	apply(snapshot: RateLimitsSnapshot): void {
		const isNewTerm = this.#snapshot !== undefined && this.#snapshot.term !== snapshot.term;
		this.#snapshot = {term: snapshot.term, version: snapshot.version};
		this.#applyLimits(snapshot.limits);
		if (isNewTerm && this.#known.recorded.length > 0) {
			this.#hasRecordedToReport = true;
			this.#scheduleReport(0);
		}
	}

	async acquire(seeker: PermitSeeker, signal: AbortSignal): Promise<SendPermit | undefined> {
		const {clock, countPermit} = this.parts;
		const {server, kind} = seeker;
		const permitClass = permitClassOf(seeker);
		const isUrgent = permitClass === 'urgent';
		const deniedForMs = this.#known.availableInMs(server, isUrgent, clock.now());
		const response = deniedForMs > 0 ? undefined : await this.#ask(seeker, permitClass, signal);
		if (!this.#known.isLimited(server) || response?.decision.kind === 'granted') {
			countPermit('granted', permitClass);
			return {until: addMs(clock.now(), permitTtlMs)};
		}

		countPermit('denied', permitClass);
		if (deniedForMs === 0 && !signal.aborted) {
			this.#known.recordDenial(server, permitClass, response?.decision.kind === 'denied' ? response.decision.availableInMs : noLeaderBackoffMs, clock.now());
			this.parts.onChange();
		}

		log('A request is not sent to a server whose limit is used up.', {
			requestId: seeker.requestId, server, kind, requestsPerSecond: this.#known.requestsPerSecond(server), availableInMs: Math.round(this.#known.availableInMs(server, isUrgent, clock.now())),
		});
		return undefined;
	}

	record(server: BackendId, permit: SendPermit | undefined): SendRecord {
		return {sentAt: this.parts.clock.now(), isPermitted: permit !== undefined, limitRevision: this.#known.revisionOf(server)};
	}

	observe(server: BackendId, kind: CallKind, requestsPerSecond: number | undefined, {sentAt, isPermitted, limitRevision}: SendRecord): void {
		const isLimited = this.#known.isLimited(server);
		if (Number.isNaN(requestsPerSecond) || (requestsPerSecond === undefined && (!isLimited || !isPermitted || !canLiftLimit(kind)))) {
			return;
		}

		if (requestsPerSecond !== undefined && this.#known.name(server, requestsPerSecond, limitRevision, this.parts.clock.now())) {
			this.parts.onChange();
		}

		const unreported = this.#unreported.get(server);
		if (unreported === undefined || unreported.sentAt < sentAt) {
			this.#unreported.set(server, {requestsPerSecond, sentAt, isPermitted});
			this.#scheduleReport(collectMs);
		}
	}

	retain(listed: ReadonlySet<BackendId>): void {
		this.#known.retain(listed, this.parts.clock.now());
	}

	#applyLimits(limits: readonly ServerRateLimit[]): void {
		const changes = this.#known.apply(limits, this.parts.clock.now());
		for (const {server, before, requestsPerSecond} of changes) {
			log('The limit of a server changed.', {
				server, before: before ?? 'none', requestsPerSecond: requestsPerSecond ?? 'none', namedTo: limits.find(limit => limit.server === server)?.namedTo,
			});
		}

		if (changes.length > 0) {
			this.parts.onChange();
		}
	}

	/** Asks the leader; undefined when it can't be asked. */
	async #ask({server, requestId}: PermitSeeker, permitClass: PermitClass, signal: AbortSignal): Promise<ServerPermitResponse | undefined> {
		const {leader, peers, self} = this.parts;
		const leading = leader();
		if (leading === undefined) {
			return undefined;
		}

		try {
			const response = await peers.get(leading).call(SERVER_PERMIT, {
				instance: self,
				server,
				class: permitClass,
				requestId: requestId === undefined ? undefined : toId<RequestId>(requestId),
				requestsPerSecond: this.#known.requestsPerSecond(server) ?? 0,
				recorded: this.#known.recorded.find(limit => limit.server === server),
			}, permitTimeoutMs, signal);
			this.#applyLimits(response.limit === undefined ? [] : [response.limit]);
			return response;
		} catch (error) {
			log('A permit could not be requested.', {server, leader: leading, detail: (error as Error).message});
			return undefined;
		}
	}

	#scheduleReport(delayMs: number): void {
		if (!this.#isStopped) {
			this.#timer ??= setTimeout(() => {
				this.#timer = undefined;
				void this.#report();
			}, delayMs);
		}
	}

	async #report(): Promise<void> {
		const {clock, leader, peers, self} = this.parts;
		const leading = leader();
		if (this.#isReporting || leading === undefined) {
			this.#scheduleReport(resendIntervalMs);
			return;
		}

		const reported = [...this.#unreported];
		const recorded = this.#hasRecordedToReport ? this.#known.recorded : [];
		this.#isReporting = true;
		try {
			const {limits} = await peers.get(leading).call(RATE_LIMIT_REPORT, {
				instance: self,
				observations: reported.map(([server, {requestsPerSecond, sentAt, isPermitted}]) => ({
					server, requestsPerSecond, isPermitted, sentAgoMs: clock.now() - sentAt,
				})),
				recorded,
			}, reportTimeoutMs);
			for (const [server, observation] of reported) {
				if (this.#unreported.get(server) === observation) {
					this.#unreported.delete(server);
				}
			}

			this.#hasRecordedToReport &&= recorded.length === 0;
			this.#applyLimits(limits);
		} catch (error) {
			log('Limits of servers could not be reported; they are reported again.', {leader: leading, servers: reported.length, detail: (error as Error).message});
		} finally {
			this.#isReporting = false;
		}

		if (this.#unreported.size > 0 || this.#hasRecordedToReport) {
			this.#scheduleReport(resendIntervalMs);
		}
	}
}
