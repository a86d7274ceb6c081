/** The planned stop of this instance: not ready, a delay, the drain, then the end. */
import {setTimeout as sleep} from 'node:timers/promises';
import {toId} from '@baobabpier/core';
import type {InstanceId, OrderId, StopPlanResult} from '@baobabpier/core';
import {createLog} from '../log.js';

const pollMs = 50;
const reportMs = 5000;
const recordRetryMs = 500;
const completeMs = 2000;
const log = createLog('stop');

/** Timings of a stop, in milliseconds. */
export type StopTimings = {
	/** How long the instance goes on serving after it said that it is not ready. */
	readonly readinessDelayMs: number;
	/** How long a signalled stop waits until the other replicas can spare this one. */
	readonly quorumWaitMs: number;
	/** How long the drain should take at most; it goes on when it takes longer. */
	readonly withinMs: number;
};

/** What an instance's stop needs. */
export type InstanceStopParts = {
	readonly self: InstanceId;
	readonly timings: StopTimings;
	/** Requests, claimed calls and cancels in progress. */
	readonly inProgress: () => number;
	readonly setClosing: (closing: boolean) => void;
	readonly plan: (orderId: OrderId, withinMs: number) => Promise<StopPlanResult>;
	/** Records that the drain is over; false when the stop was cancelled before. */
	readonly complete: (orderId: OrderId) => Promise<boolean>;
};

/** Drives the stop; a second order while it runs joins the first. */
export class InstanceStop {
	#order: OrderId | undefined;
	#drained: Promise<boolean> | undefined;
	#cancelled = false;

	constructor(private readonly parts: InstanceStopParts) {}

	/** Whether a stop is under way. */
	get isStopping(): boolean {
		return this.#drained !== undefined;
	}

	/** Drains after a signal: records the stop first, so that other stops see it. */
	async drainOnSignal(): Promise<boolean> {
		this.#drained ??= this.#drain(toId<OrderId>(`signal-${this.parts.self}-${Date.now()}`), this.parts.timings.withinMs, true);
		return this.#drained;
	}

	/** Drains for a stop that is in force; resolves to false when it was cancelled. */
	async drainForOrder(orderId: OrderId, withinMs: number): Promise<boolean> {
		if (this.#cancelled) {
			await this.#drained;
		}

		this.#drained ??= this.#drain(orderId, withinMs, false);
		return this.#drained;
	}

	/** Goes back to serving; a signalled stop can't be cancelled. */
	cancel(orderId: OrderId): void {
		this.#cancelled ||= this.#order === orderId;
	}

	async #drain(orderId: OrderId, withinMs: number, signalled: boolean): Promise<boolean> {
		log('A planned stop begins.', {orderId, inProgress: this.parts.inProgress()});
		this.#order = signalled ? undefined : orderId;
		this.parts.setClosing(true);
		const recorded = signalled ? this.#record(orderId, withinMs) : orderId;
		await sleep(this.parts.timings.readinessDelayMs);
		await this.#waitUntilIdle(withinMs);
		const order = await recorded;
		if (this.#cancelled) {
			return this.#resume();
		}

		const isOver = await this.#complete(order);
		return isOver || signalled ? true : this.#resume();
	}

	#resume(): boolean {
		log('The planned stop was cancelled.', {orderId: this.#order});
		this.parts.setClosing(false);
		this.#order = undefined;
		this.#drained = undefined;
		this.#cancelled = false;
		return false;
	}

	async #waitUntilIdle(withinMs: number): Promise<void> {
		let waitedMs = 0;
		while (this.parts.inProgress() > 0 && !this.#cancelled) {
			if (waitedMs > 0 && waitedMs % reportMs === 0) {
				log(waitedMs > withinMs ? 'The stop takes longer than its limit and goes on waiting.' : 'The stop waits.', {inProgress: this.parts.inProgress(), waitedMs});
			}

			// eslint-disable-next-line no-await-in-loop
			await sleep(pollMs);
			waitedMs += pollMs;
		}
	}

	/** Asks for the stop until it is taken, or as long as a signalled instance may wait. */
	async #record(orderId: OrderId, withinMs: number): Promise<OrderId | undefined> {
		const deadline = Date.now() + this.parts.timings.quorumWaitMs;
		for (let tries = 1; ; tries++) {
			// Each try is an order of its own: a refusal stands for its order
			// eslint-disable-next-line no-await-in-loop
			const planned = await this.#tryPlan(toId<OrderId>(`${orderId}-${tries}`), withinMs);
			if (planned !== undefined || Date.now() >= deadline) {
				return planned;
			}

			// eslint-disable-next-line no-await-in-loop
			await sleep(recordRetryMs);
		}
	}

	async #tryPlan(orderId: OrderId, withinMs: number): Promise<OrderId | undefined> {
		try {
			const verdict = await this.parts.plan(orderId, withinMs);
			if (verdict.kind === 'planned') {
				return verdict.stop.orderId;
			}

			log('The stop must wait.', {reason: verdict.reason});
		} catch (error) {
			log('The stop could not be recorded.', {reason: (error as Error).message});
		}

		return undefined;
	}

	/** Records the end of the drain; false when the stop turns out to have been cancelled. */
	async #complete(orderId: OrderId | undefined): Promise<boolean> {
		if (orderId === undefined) {
			return true;
		}

		try {
			return await Promise.race([this.parts.complete(orderId), sleep(completeMs, true, {ref: false})]);
		} catch (error) {
			log('The end of the stop could not be recorded.', {reason: (error as Error).message});
			return true;
		}
	}
}
