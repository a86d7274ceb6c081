/** Checks whether an engine has ended since a point in time. */
import {toId} from '@baobabpier/core';
import type {BackendId, EngineId} from '@baobabpier/core';
import {createPolledSignal} from '../polled-timeout.js';
import type {ServerTransport} from '../transport/server-transport.js';
import type {OrderDialect} from './role-task.js';

/** Timeout of a check, in milliseconds. */
const checkTimeoutMs = 250;
/** Tolerance between the clocks of engines and instances, in milliseconds. */
const clockToleranceMs = 500;
/** Status with which another engine at the address refuses a request. */
const misdirected = 421;

/** Whether an engine ended; `unknown` when it can't be reached otherwise than by a refused connection. */
export type EngineState = 'ended' | 'running' | 'unknown';

/** Dependencies of the liveness checks. */
export type EngineLivenessParts = {
	readonly transport: ServerTransport;
	readonly dialect: Pick<OrderDialect, 'statusCall' | 'readStatus'>;
};

/**
 * Tells an engine that ended from one whose connections broke: nothing listens at its address, another engine answers there,
 * or it reports a start after that time.
 *
 * @example
 * await liveness.check(engine, '10.0.0.9:8080', Date.now() - 40); // 'ended'
 */
export class EngineLiveness {
	readonly #starts = new Map<EngineId, number>();

	constructor(private readonly parts: EngineLivenessParts) {}

	/** Forgets the engines that are no longer listed. */
	retain(engines: ReadonlySet<EngineId>): void {
		for (const id of this.#starts.keys()) {
			if (!engines.has(id)) {
				this.#starts.delete(id);
			}
		}
	}

	/** Checks whether an engine ended at or after `since`, in milliseconds since the epoch. */
	async check(engine: EngineId, address: string, since: number): Promise<EngineState> {
		const {transport, dialect} = this.parts;
		const response = await transport.sendRequest({
			kind: 'liveness', binding: {kind: 'ownConnection'}, server: toId<BackendId>(engine), address, ...dialect.statusCall(toId<BackendId>(engine)), signal: createPolledSignal(checkTimeoutMs),
		});
		if (response.kind !== 'head') {
			return response.kind === 'unsent' && response.isRefused === true ? 'ended' : 'unknown';
		}

		const body = await transport.readBody(response);
		if (response.status === misdirected) {
			return 'ended';
		}

		// A plain server has no report, but says that it is the one that is addressed
		if (response.status >= 400 && response.status < 500) {
			return 'running';
		}

		const status = 'kind' in body || response.status !== 200 ? undefined : dialect.readStatus(body);
		if (status?.start === undefined) {
			return status === undefined ? 'unknown' : 'running';
		}

		const known = this.#starts.get(engine);
		this.#starts.set(engine, status.start);
		return (known !== undefined && known !== status.start) || status.start >= since - clockToleranceMs ? 'ended' : 'running';
	}
}
