/** Orders engines to change their roles according to the role planner while this instance leads. */
import {RolePlanner, softwareVersionOf, toId} from '@baobabpier/core';
import type {
	BackendId, Clock, EngineId, EngineRole, EngineStart, FencingToken, Instant, InstanceId, InstanceStatus, ListedServer, RequestId, RoleChange, ServiceName, SoftwareVersion, ExpectedMix,
} from '@baobabpier/core';
import {createPolledSignal} from '../polled-timeout.js';
import {createLog} from '../log.js';
import type {NoticeDialect} from '../gateway/types.js';
import type {ServerTransport} from '../transport/server-transport.js';

const log = createLog('roles');
/** Interval at which the load is sampled and changes are planned, in milliseconds. */
const sampleIntervalMs = 200;
/** How long an instance must lead before it orders anything, in milliseconds: longer than the lease under which an earlier leader may still act. */
const minLeadMs = 5000;
/** Timeout of a report request or an order, in milliseconds. */
const callTimeoutMs = 1000;
/** How long an engine may take until it is listed in its new role, in milliseconds. */
const changeTimeoutMs = 15_000;

/** An engine's report of its own state. */
export type EngineStatus = {
	readonly role: EngineRole;
	/** Number of orders that the engine has accepted. */
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
export type OrderDialect = NoticeDialect & {
	/** Creates the request for an engine's report; another engine at its address refuses it. */
	statusCall(engine: BackendId): EngineCall;
	readStatus(body: Uint8Array): EngineStatus | undefined;
	/** Creates an order that applies only if the engine has accepted `sequence` orders. */
	orderCall(engine: BackendId, role: EngineRole, holder: InstanceId, fencing: FencingToken, sequence: number): EngineCall;
};

/** Dependencies of a role task. */
export type RoleTaskParts = {
	readonly self: InstanceId;
	readonly clock: Clock;
	readonly transport: ServerTransport;
	readonly dialect: OrderDialect;
	readonly servers: () => readonly ListedServer[];
	readonly pools: () => InstanceStatus['pools'];
	/** Fencing token of this instance's leadership; undefined while it is not certain to lead. */
	readonly fencing: () => FencingToken | undefined;
	/** Memory pieces of one engine of a service. */
	readonly piecesOf: (service: ServiceName) => number | undefined;
	/** Prefill rate of a service's engines, in tokens per millisecond. */
	readonly prefillTokensPerMs: (service: ServiceName) => number;
	/** Request mix that is assumed until enough requests were observed. */
	readonly expectedMix: ExpectedMix;
	/** Whether no earlier leader can have sent orders. */
	readonly isFirstLead: () => boolean;
	/** Called when the set of engines that are changing their role changes. */
	readonly onChanging: () => void;
};

/** Samples the pools and orders the changes, one engine after another. */
export class RoleTask {
	/** By service and software version: a prompt is read and decoded at one version. */
	readonly #planners = new Map<string, RolePlanner>();
	readonly #changing = new Map<EngineId, {readonly role: EngineRole; readonly until: number}>();
	#timer: NodeJS.Timeout | undefined;
	#leadingSince: Instant | undefined;
	#steppedAt: Instant | undefined;

	constructor(private readonly parts: RoleTaskParts) {}

	/** Engines that are changing their role and get no work. */
	get changing(): ReadonlySet<EngineId> {
		return new Set(this.#changing.keys());
	}

	start(): void {
		this.#timer = setInterval(() => {
			this.#sample();
		}, sampleIntervalMs);
	}

	stop(): void {
		clearInterval(this.#timer);
	}

	/** Counts a prompt that was placed on an engine. */
	recordGrant(service: ServiceName, promptTokens: number, version: SoftwareVersion): void {
		this.#planners.get(plannerKey(service, version))?.recordGrant(promptTokens);
	}

	#sample(): void {
		const now = this.parts.clock.now();
		// After a pause of the process, leadership must be confirmed again before it counts
		const wasFrozen = this.#steppedAt !== undefined && now - this.#steppedAt > minLeadMs / 2;
		this.#steppedAt = now;
		const fencing = this.parts.fencing();
		if (fencing === undefined || wasFrozen) {
			this.#leadingSince = undefined;
			this.#planners.clear();
			return;
		}

		this.#leadingSince ??= now;
		this.#dropChanged(now);
		const planned = new Set<string>();
		for (const {service, engines} of this.parts.pools()) {
			for (const version of new Set(engines.map(engine => softwareVersionOf(engine)))) {
				planned.add(plannerKey(service, version));
				this.#plan(service, version, engines.filter(engine => softwareVersionOf(engine) === version), fencing, now);
			}
		}

		for (const key of this.#planners.keys()) {
			if (!planned.has(key)) {
				this.#planners.delete(key);
			}
		}
	}

	// eslint-disable-next-line max-params
	#plan(service: ServiceName, version: SoftwareVersion, engines: InstanceStatus['pools'][number]['engines'], fencing: FencingToken, now: Instant): void {
		const pieces = this.parts.piecesOf(service);
		if (pieces === undefined) {
			return;
		}

		const key = plannerKey(service, version);
		const planner = this.#planners.get(key) ?? new RolePlanner({pieces}, this.parts.expectedMix);
		this.#planners.set(key, planner);
		const used = engines.filter(({role}) => role === 'decode').reduce((sum, engine) => sum + engine.pieces - engine.freePieces, 0);
		planner.setPrefillRate(this.parts.prefillTokensPerMs(service));
		planner.recordMemoryUse(used, now);
		if ((now - this.#leadingSince! < minLeadMs && !this.parts.isFirstLead()) || this.#changing.size > 0) {
			return;
		}

		const candidates = engines.filter(({leaving}) => !leaving).map(engine => ({
			id: engine.id, role: engine.role as EngineRole, running: engine.pieces - engine.freePieces, queuedTokens: 0,
		}));
		for (const change of planner.plan(candidates, now)) {
			log('An engine is to change its role.', {
				engine: change.engine, role: change.role, service, softwareVersion: version, prefillPart: Number((planner.prefillFraction ?? 0).toFixed(3)), prefilling: candidates.filter(({role}) => role === 'prefill').length, engines: candidates.length, fencing,
			});
			this.#changing.set(change.engine, {role: change.role, until: now + changeTimeoutMs});
			void this.#order(change, fencing);
		}

		if (this.#changing.size > 0) {
			this.parts.onChanging();
		}
	}

	/** Removes the engines that are listed in their new role, or that exceeded the timeout. */
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
		// Leadership is checked immediately before the order is sent
		if (server === undefined || report === undefined || report.isBusy || report.role === role || this.parts.fencing() !== fencing) {
			log('An order is not given.', {
				engine, role, isReported: report !== undefined, isBusy: report?.isBusy, reportedRole: report?.role,
			});
			this.#changing.delete(engine);
			this.parts.onChanging();
			return;
		}

		const answer = await this.#call(server, 'order', this.parts.dialect.orderCall(server.id, role, this.parts.self, fencing, report.sequence));
		const isAccepted = answer !== undefined && answer.status >= 200 && answer.status < 300;
		log('An order was given.', {
			engine, role, fencing, sequence: report.sequence, status: answer?.status, isAccepted,
		});
		// An order without a response may still be carried out: the engine gets no work until it is listed in its new role or the timeout passes
		if (answer !== undefined && !isAccepted) {
			this.#changing.delete(engine);
			this.parts.onChanging();
		}
	}

	async #report(server: ListedServer): Promise<EngineStatus | undefined> {
		const answer = await this.#call(server, 'report', this.parts.dialect.statusCall(server.id));
		return answer?.status === 200 ? this.parts.dialect.readStatus(answer.body) : undefined;
	}

	async #call(server: ListedServer, kind: 'order' | 'report', call: EngineCall): Promise<{readonly status: number; readonly body: Uint8Array} | undefined> {
		const answer = await this.parts.transport.sendRequest({
			kind, binding: {kind: 'ownConnection'}, server: server.id, address: server.address, ...call, signal: createPolledSignal(callTimeoutMs),
		});
		const body = answer.kind === 'head' ? await this.parts.transport.readBody(answer) : answer;
		if (answer.kind !== 'head' || 'kind' in body) {
			log('An engine did not answer.', {engine: server.id, detail: 'detail' in body ? body.detail : undefined});
			return undefined;
		}

		return {status: answer.status, body};
	}
}

const plannerKey = (service: ServiceName, version: SoftwareVersion): string => `${service}@${version}`;
