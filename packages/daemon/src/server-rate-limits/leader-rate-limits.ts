/** The limits of servers at a control instance, which grants the permits while it leads. */
import {
	addMs, RATE_LIMIT_LIST, RATE_LIMIT_REPORT, SERVER_PERMIT, RateLimitTable, toId,
} from '@baobabpier/core';
import type {
	BackendId, Clock, EngineAdmission, EngineId, InstanceId, LimitChange, LimitObservation, PermitClass, PermitDecision, PermitRequest, RequestId, ServerRateLimit, RateLimitsSnapshot,
} from '@baobabpier/core';
import {createLog} from '../log.js';
import type {RpcServer} from '../rpc/rpc-server.js';
import type {
	CallKind, PermitSeeker, SendPermit, SendRecord,
} from '../transport/types.js';
import {canLiftLimit, permitClassOf, permitTtlMs} from './permit-class.js';
import type {ServerRateLimits} from './types.js';

const log = createLog('rate-limits');
const notLeading = 'this instance does not lead';

/** Dependencies of the limits at a control instance. */
export type LeaderRateLimitsParts = {
	readonly self: InstanceId;
	readonly clock: Clock;
	/** The term in which this instance is certain to lead; undefined when it doesn't. */
	readonly leadingTerm: () => number | undefined;
	/** Called when a limit begins, changes or ends. */
	readonly onChange: () => void;
	readonly countPermit: (result: 'granted' | 'denied', permitClass: PermitClass) => void;
};

/**
 * Decides at the leader for the requests of all instances, its own included. The table of another term is never used: that of a new one
 * starts without permits, which bounds what two leaders grant together.
 *
 * @example
 * limits.start(rpc);
 * limits.snapshot?.limits; // What the entry instances get to know
 */
export class LeaderRateLimits implements ServerRateLimits, EngineAdmission {
	#table: RateLimitTable | undefined;
	#tableTerm: number | undefined;

	constructor(private readonly parts: LeaderRateLimitsParts) {}

	/** The limits of all servers; undefined unless this instance leads. */
	get snapshot(): RateLimitsSnapshot | undefined {
		return this.#leadingTable()?.snapshot;
	}

	get size(): number {
		return this.#leadingTable()?.size ?? 0;
	}

	get exhausted(): readonly BackendId[] {
		return [];
	}

	get nextEnd(): undefined {
		return undefined;
	}

	/** The limits in force. */
	get inForce(): ReadonlyArray<ServerRateLimit & {readonly requestsPerSecond: number}> {
		return (this.snapshot?.limits ?? []).flatMap(limit => limit.requestsPerSecond === undefined ? [] : [{...limit, requestsPerSecond: limit.requestsPerSecond}]);
	}

	start(server: RpcServer): void {
		server.registerMethod(SERVER_PERMIT, ({instance, requestsPerSecond, recorded, ...request}) => {
			const table = this.#requireTable();
			const now = this.parts.clock.now();
			if (recorded !== undefined) {
				this.#adopt([recorded]);
			} else if (table.limitOf(request.server) === undefined) {
				this.#observe(table, {
					server: request.server, requestsPerSecond, sentAt: now, isPermitted: false, instance,
				});
			}

			return {decision: this.#decide(table, request), limit: table.limitOf(request.server)};
		});
		server.registerMethod(RATE_LIMIT_REPORT, ({instance, observations, recorded}) => {
			const table = this.#requireTable();
			const now = this.parts.clock.now();
			this.#adopt(recorded);
			for (const {sentAgoMs, ...observation} of observations) {
				this.#observe(table, {
					...observation, requestsPerSecond: observation.requestsPerSecond, instance, sentAt: addMs(now, -sentAgoMs),
				});
			}

			return {limits: observations.flatMap(({server: id}) => table.limitOf(id) ?? [])};
		});
		server.registerMethod(RATE_LIMIT_LIST, () => ({
			limits: this.inForce.map(({server: id, requestsPerSecond, namedTo}) => ({server: id, requestsPerSecond, namedTo})),
		}));
	}

	stop(): void {
		this.#table = undefined;
	}

	isLimited(server: BackendId): boolean {
		return this.requestsPerSecond(server) !== undefined;
	}

	requestsPerSecond(server: BackendId): number | undefined {
		return this.#leadingTable()?.limitOf(server)?.requestsPerSecond;
	}

	availableInMs(): number {
		return 0;
	}

	async acquire(seeker: PermitSeeker): Promise<SendPermit | undefined> {
		const table = this.#leadingTable();
		const {server, requestId} = seeker;
		const decision = table === undefined ? undefined : this.#decide(table, {server, class: permitClassOf(seeker), requestId: requestId === undefined ? undefined : toId<RequestId>(requestId)});
		return decision?.kind === 'granted' ? {until: addMs(this.parts.clock.now(), permitTtlMs)} : undefined;
	}

	record(_server: BackendId, permit: SendPermit | undefined): SendRecord {
		return {sentAt: this.parts.clock.now(), isPermitted: permit !== undefined, limitRevision: undefined};
	}

	observe(server: BackendId, kind: CallKind, requestsPerSecond: number | undefined, {sentAt, isPermitted}: SendRecord): void {
		const table = this.#leadingTable();
		if (table !== undefined && (requestsPerSecond !== undefined || canLiftLimit(kind))) {
			this.#observe(table, {
				server, requestsPerSecond, sentAt, isPermitted, instance: this.parts.self,
			});
		}
	}

	retain(listed: ReadonlySet<BackendId>): void {
		this.#leadingTable()?.retain(listed, this.parts.clock.now());
	}

	/** Whether a request may be placed on an engine. */
	isOpen(engine: EngineId): boolean {
		return this.#table?.isOpen(toId<BackendId>(engine), this.parts.clock.now()) ?? true;
	}

	/** Reserves the permits of a request that is placed on engines. */
	reserve(engine: EngineId, requestId: RequestId): void {
		this.#table?.reserve(toId<BackendId>(engine), requestId, this.parts.clock.now());
	}

	release(requestId: RequestId): void {
		this.#table?.release(requestId);
	}

	#decide(table: RateLimitTable, request: PermitRequest): PermitDecision {
		const decision = table.acquire(request, this.parts.clock.now());
		this.parts.countPermit(decision.kind, request.class);
		return decision;
	}

	#observe(table: RateLimitTable, observation: LimitObservation): void {
		const now = this.parts.clock.now();
		const change = table.observe(observation, now);
		if (change !== undefined) {
			this.#logChange(change, observation.instance, now - observation.sentAt);
			this.parts.onChange();
		}
	}

	#adopt(limits: readonly ServerRateLimit[]): void {
		const table = this.#requireTable();
		const {version} = table.snapshot;
		table.adopt(limits, this.parts.clock.now());
		if (table.snapshot.version !== version) {
			log('Limits of servers that a former leader knew are in force.', {servers: limits.map(({server}) => server).join(' ')});
			this.parts.onChange();
		}
	}

	#logChange({server, before, requestsPerSecond}: LimitChange, namedTo: InstanceId, ageMs: number): void {
		log('The limit of a server changed.', {
			server, before: before ?? 'none', requestsPerSecond: requestsPerSecond ?? 'none', namedTo, ageMs: Math.round(ageMs),
		});
	}

	#leadingTable(): RateLimitTable | undefined {
		const term = this.parts.leadingTerm();
		if (term === undefined) {
			return undefined;
		}

		if (this.#table === undefined || this.#tableTerm !== term) {
			this.#table = new RateLimitTable(term);
			this.#tableTerm = term;
		}

		return this.#table;
	}

	#requireTable(): RateLimitTable {
		const table = this.#leadingTable();
		if (table === undefined) {
			throw new Error(notLeading);
		}

		return table;
	}
}
