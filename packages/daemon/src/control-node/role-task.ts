/** Orders engines to change their role while this instance leads, as the role planner says. */
import {RolePlanner, toId} from '@baobabpier/core';
import type {
	BackendId, Clock, EngineId, EngineRole, EngineStart, FencingToken, Instant, InstanceId, InstanceStatus, ListedServer, RequestId, RoleChange, ServiceName, ExpectedMix,
} from '@baobabpier/core';
import {createLog} from '../log.js';
import type {ServerTransport} from '../gateway/server-transport.js';

const log = createLog('roles');
/** How often the load is sampled and changes are planned, in milliseconds. */
const sampleMs = 200;
/** How long a new leader gives no orders, in milliseconds: longer than any lease under which an earlier one may still act. */
const settleMs = 5000;
/** Longest time for a report or an order, in milliseconds. */
const callMs = 1000;
/** How long an engine may take to come back in its new role, in milliseconds. */
const changeMs = 15_000;

/** What an engine says of itself. */
export type EngineStatus = {
	readonly role: EngineRole;
	/** Orders that it accepted so far. */
	readonly sequence: number;
	/** When the engine started, by its own clock; undefined where it does not tell. */
	readonly start: EngineStart | undefined;
	/** Whether an order is being carried out. */
	readonly isBusy: boolean;
	/** Tokens of memory in use, by running streams, leases and arriving transfers; undefined where the engine reports none or an impossible figure. */
	readonly usedTokens: number | undefined;
	/** The impossible figures of the report, which count as missing. */
	readonly faults: ReadonlyArray<{readonly field: string; readonly value: unknown}>;
	/** The requests that run on it, with the tokens that each has in memory. */
	readonly runs: ReadonlyArray<{readonly requestId: RequestId; readonly tokens: number}>;
};

/** A call to an engine. */
export type EngineCall = {
	readonly method: string;
	readonly target: string;
	readonly headers: string[];
	readonly body: Uint8Array | undefined;
};

/** Translates orders to engines. */
export type OrderDialect = {
	/** Asks an engine for its status; another engine at its address refuses the call. */
	statusCall(engine: BackendId): EngineCall;
	readStatus(body: Uint8Array): EngineStatus | undefined;
	/** An order that holds only while the engine has accepted `sequence` orders. */
	orderCall(engine: BackendId, role: EngineRole, holder: InstanceId, fencing: FencingToken, sequence: number): EngineCall;
};

/** What a role task works with. */
export type RoleTaskParts = {
	readonly self: InstanceId;
	readonly clock: Clock;
	readonly transport: ServerTransport;
	readonly dialect: OrderDialect;
	readonly servers: () => readonly ListedServer[];
	readonly pools: () => InstanceStatus['pools'];
	/** The number of this instance's lead; undefined while it does not surely lead. */
	readonly fencing: () => FencingToken | undefined;
	/** Memory pieces of one engine of a service. */
	readonly piecesOf: (service: ServiceName) => number | undefined;
	/** Rate at which a service's prefill engines read. */
	readonly prefillTokensPerMs: (service: ServiceName) => number;
	/** Mix of prompts and answers until requests teach it. */
	readonly expectedMix: ExpectedMix;
	/** Whether no earlier leader can have given orders. */
	readonly isFirstLead: () => boolean;
	/** Called when the engines that are changing are others than before. */
	readonly onChanging: () => void;
};

/** Samples the pools, and gives orders one engine after the other. */
export class RoleTask {
	readonly #planners = new Map<ServiceName, RolePlanner>();
	readonly #changing = new Map<EngineId, {readonly role: EngineRole; readonly until: number}>();
	#timer: NodeJS.Timeout | undefined;
	#leadingSince: Instant | undefined;
	#steppedAt: Instant | undefined;

	constructor(private readonly parts: RoleTaskParts) {}

	/** Engines that are changing their role: they get no work. */
	get changing(): ReadonlySet<EngineId> {
		return new Set(this.#changing.keys());
	}

	start(): void {
		this.#timer = setInterval(() => {
			this.#sample();
		}, sampleMs);
	}

	stop(): void {
		clearInterval(this.#timer);
	}

	/** Counts a prompt that was given to an engine. */
	noteGrant(service: ServiceName, promptTokens: number): void {
		this.#planners.get(service)?.recordGrant(promptTokens);
	}

	#sample(): void {
		const now = this.parts.clock.now();
		// After a freeze the lead must be confirmed anew before it counts
		const wasFrozen = this.#steppedAt !== undefined && now - this.#steppedAt > settleMs / 2;
		this.#steppedAt = now;
		const fencing = this.parts.fencing();
		if (fencing === undefined || wasFrozen) {
			this.#leadingSince = undefined;
			this.#planners.clear();
			return;
		}

		this.#leadingSince ??= now;
		this.#dropChanged(now);
		for (const pool of this.parts.pools()) {
			this.#plan(pool, fencing, now);
		}
	}

	#plan({service, engines}: InstanceStatus['pools'][number], fencing: FencingToken, now: Instant): void {
		const pieces = this.parts.piecesOf(service);
		if (pieces === undefined) {
			return;
		}

		const planner = this.#planners.get(service) ?? new RolePlanner({pieces}, this.parts.expectedMix);
		this.#planners.set(service, planner);
		const used = engines.filter(({role}) => role === 'decode').reduce((sum, engine) => sum + engine.pieces - engine.freePieces, 0);
		planner.setPrefillRate(this.parts.prefillTokensPerMs(service));
		planner.recordMemoryUse(used, now);
		if ((now - this.#leadingSince! < settleMs && !this.parts.isFirstLead()) || this.#changing.size > 0) {
			return;
		}

		const candidates = engines.filter(({leaving}) => !leaving).map(engine => ({
			id: engine.id, role: engine.role as EngineRole, running: engine.pieces - engine.freePieces, queuedTokens: 0,
		}));
		for (const change of planner.plan(candidates, now)) {
			log('An engine is to change its role.', {
				engine: change.engine, role: change.role, service, prefillPart: Number((planner.prefillFraction ?? 0).toFixed(3)), prefilling: candidates.filter(({role}) => role === 'prefill').length, engines: candidates.length, fencing,
			});
			this.#changing.set(change.engine, {role: change.role, until: now + changeMs});
			void this.#order(change, fencing);
		}

		if (this.#changing.size > 0) {
			this.parts.onChanging();
		}
	}

	/** Forgets engines that are listed in their new role, or that took too long. */
	#dropChanged(now: Instant): void {
		const servers = new Map(this.parts.servers().map(server => [toId<EngineId>(server.id), server]));
		let isChanged = false;
		for (const [id, {role, until}] of this.#changing) {
			const server = servers.get(id);
			if (server === undefined || server.role === role || now > until) {
				log('An engine\'s change of role is over.', {
					engine: id, role, listedRole: server?.role, isLate: now > until,
				});
				this.#changing.delete(id);
				isChanged = true;
			}
		}

		if (isChanged) {
			this.parts.onChanging();
		}
	}

	async #order({engine, role}: RoleChange, fencing: FencingToken): Promise<void> {
		const server = this.parts.servers().find(({id}) => toId<EngineId>(id) === engine);
		const report = server === undefined ? undefined : await this.#report(server);
		// The lead is checked right before the order goes out
		if (server === undefined || report === undefined || report.isBusy || report.role === role || this.parts.fencing() !== fencing) {
			log('An order is not given.', {
				engine, role, isReported: report !== undefined, isBusy: report?.isBusy, reportedRole: report?.role,
			});
			this.#changing.delete(engine);
			this.parts.onChanging();
			return;
		}

		const answer = await this.#call(server, this.parts.dialect.orderCall(server.id, role, this.parts.self, fencing, report.sequence));
		const isAccepted = answer !== undefined && answer.status >= 200 && answer.status < 300;
		log('An order was given.', {
			engine, role, fencing, sequence: report.sequence, status: answer?.status, isAccepted,
		});
		// Without an answer it may still be carried out: the engine stays out until it is listed or the time is over
		if (answer !== undefined && !isAccepted) {
			this.#changing.delete(engine);
			this.parts.onChanging();
		}
	}

	async #report(server: ListedServer): Promise<EngineStatus | undefined> {
		const answer = await this.#call(server, this.parts.dialect.statusCall(server.id));
		return answer?.status === 200 ? this.parts.dialect.readStatus(answer.body) : undefined;
	}

	async #call(server: ListedServer, call: EngineCall): Promise<{readonly status: number; readonly body: Uint8Array} | undefined> {
		const answer = await this.parts.transport.sendRequest({address: server.address, ...call, signal: AbortSignal.timeout(callMs)});
		const body = answer.kind === 'head' ? await this.parts.transport.readBody(answer) : answer;
		if (answer.kind !== 'head' || 'kind' in body) {
			log('An engine did not answer.', {engine: server.id, detail: 'detail' in body ? body.detail : undefined});
			return undefined;
		}

		return {status: answer.status, body};
	}
}
