/** Reports the origins of an instance's streams to one host, in batches, until it has them. */
import {addMs, ORIGIN_RECORD} from '@baobabpier/core';
import type {
	Clock, InstanceId, Instant, RequestId, OriginRecord,
} from '@baobabpier/core';
import {createLog} from '../log.js';
import type {Peers} from '../rpc/peers.js';

const log = createLog('origins');
/** Time for which origins are collected into one report, in milliseconds: a small part of what a first event may take. */
const collectMs = 2;
/** Timeout of a report, in milliseconds. */
const reportTimeoutMs = 400;
/** Delay of the next report after one that failed, in milliseconds. */
const retryDelayMs = 500;
/** Maximum number of origins in one report, and of those that wait for one; beyond it the oldest are dropped. */
const maxBatch = 2000;
const maxPending = 20_000;

/** Dependencies of an origin reporter. */
export type OriginReporterParts = {
	readonly host: InstanceId;
	readonly peers: Peers;
	readonly clock: Clock;
	/** Returns the origins that the host should have; used when it has started again. */
	readonly listAll: () => readonly OriginRecord[];
};

type Pending = {
	readonly origin: OriginRecord;
	readonly until: Instant;
	readonly resolve: () => void;
};

/**
 * One host's reports.
 *
 * @example
 * await new OriginReporter({host, peers, clock, listAll}).report(origin);
 */
export class OriginReporter {
	#pending = new Map<RequestId, Pending>();
	#timer: NodeJS.Timeout | undefined;
	#isSending = false;
	#isStopped = false;
	#hasFailed = false;
	#incarnation: string | undefined;

	constructor(private readonly parts: OriginReporterParts) {}

	/** Resolves once the host has the origin; never for one that expires before. */
	async report(origin: OriginRecord): Promise<void> {
		await new Promise<void>(resolve => {
			this.#add(origin, resolve);
			if (this.#timer === undefined && !this.#isSending) {
				this.#schedule(collectMs);
			}
		});
	}

	stop(): void {
		this.#isStopped = true;
		clearTimeout(this.#timer);
	}

	#add(origin: OriginRecord, resolve: () => void): void {
		this.#pending.set(origin.requestId, {origin, until: addMs(this.parts.clock.now(), origin.ttlMs), resolve});
		if (this.#pending.size > maxPending) {
			this.#pending.delete(this.#pending.keys().next().value!);
		}
	}

	#schedule(ms: number): void {
		this.#timer = setTimeout(() => {
			this.#timer = undefined;
			void this.#send();
		}, ms);
	}

	async #send(): Promise<void> {
		const {host, peers, clock} = this.parts;
		const now = clock.now();
		const batch = [...this.#pending].filter(([, {until}]) => until > now).slice(0, maxBatch);
		this.#pending = new Map([...this.#pending].filter(([, {until}]) => until > now));
		if (batch.length === 0) {
			return;
		}

		this.#isSending = true;
		let delayMs = collectMs;
		try {
			const {incarnation} = await peers.get(host).call(ORIGIN_RECORD, {
				origins: batch.map(([, {origin, until}]) => ({...origin, ttlMs: Math.ceil(until - now)})),
			}, reportTimeoutMs);
			this.#handleSuccess(batch, incarnation);
		} catch (error) {
			delayMs = retryDelayMs;
			if (!this.#hasFailed) {
				this.#hasFailed = true;
				log('Origins of streams can\'t be reported.', {host, origins: batch.length, detail: (error as Error).message});
			}
		} finally {
			this.#isSending = false;
		}

		if (this.#pending.size > 0 && !this.#isStopped) {
			this.#schedule(delayMs);
		}
	}

	#handleSuccess(batch: ReadonlyArray<readonly [RequestId, Pending]>, incarnation: string): void {
		for (const [id, pending] of batch) {
			if (this.#pending.get(id) === pending) {
				this.#pending.delete(id);
			}

			pending.resolve();
		}

		if (this.#hasFailed) {
			this.#hasFailed = false;
			log('Origins of streams are reported again.', {host: this.parts.host, origins: batch.length});
		}

		if (this.#incarnation !== undefined && this.#incarnation !== incarnation) {
			const reported = new Set(batch.map(([id]) => id));
			for (const origin of this.parts.listAll().filter(({requestId}) => !reported.has(requestId))) {
				this.#add(origin, () => undefined);
			}

			log('A host of origins has started again; it is told all.', {host: this.parts.host, origins: this.#pending.size});
		}

		this.#incarnation = incarnation;
	}
}
