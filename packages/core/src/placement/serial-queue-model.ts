/** Models a FIFO queue whose service rate is learned from its completions. */
import type {EngineHold} from '../engine/engine-client.js';
import {addMs} from '../time.js';
import type {Instant} from '../time.js';
import {holdKey} from './hold-table.js';

/** Weight of the newest completion in the learned rate. */
const learningWeight = 0.1;

type Job = {
	readonly tokens: number;
	/** Earliest start of the job. */
	readonly readyAt: Instant;
	/** Whether a later job was completed: the engine is working, and the answer to this job was lost. */
	isOvertaken: boolean;
};

/** Predicts the jobs of one engine or link. */
export type QueueModel = {
	/** The learned rate. */
	readonly tokensPerMs: number;
	/** Number of jobs that have not ended. */
	readonly jobCount: number;
	/** How long the oldest job that no later completion has overtaken is overdue, in milliseconds; 0 when none is. */
	overdueMs(now: Instant): number;
	/** How long `tokens` take, in milliseconds. */
	durationMs(tokens: number): number;
	/** Appends a job that can start at `readyAt`. */
	add(hold: EngineHold, tokens: number, readyAt: Instant): void;
	/** Removes a job: completed ones update the rate, others were cancelled. */
	remove(hold: EngineHold, now: Instant, completed: boolean): void;
	/** When the next job can start. */
	availableAt(now: Instant): Instant;
};

/** Marks the jobs before a completed one as overtaken. */
export const markOvertaken = (jobs: ReadonlyMap<string, {isOvertaken: boolean}>, completed: string): void => {
	for (const [key, job] of jobs) {
		if (key === completed) {
			return;
		}

		job.isOvertaken = true;
	}
};

/**
 * Predicts when a queue drains: the prefills of one engine, or the transfers over one link.
 *
 * @example
 * const queue = new SerialQueueModel(20); // Initial rate, in tokens per millisecond
 * queue.add(hold, 4000, now);
 * queue.availableAt(now); // 200 ms later
 */
export class SerialQueueModel implements QueueModel {
	readonly #jobs = new Map<string, Job>();
	#pendingTokens = 0;
	#tokensPerMs: number;
	/** When the job at the head started. */
	#headStartedAt: Instant | undefined;

	constructor(initialTokensPerMs: number) {
		this.#tokensPerMs = initialTokensPerMs;
	}

	get tokensPerMs(): number {
		return this.#tokensPerMs;
	}

	get jobCount(): number {
		return this.#jobs.size;
	}

	/** How long `tokens` take, in milliseconds. */
	durationMs(tokens: number): number {
		return tokens / this.#tokensPerMs;
	}

	/** Appends a job that can start at `readyAt`. */
	add(hold: EngineHold, tokens: number, readyAt: Instant): void {
		if (this.#jobs.size === 0) {
			this.#headStartedAt = readyAt;
		}

		this.#jobs.set(holdKey(hold), {tokens, readyAt, isOvertaken: false});
		this.#pendingTokens += tokens;
	}

	/** Removes a job: completed ones update the rate, others were cancelled. */
	remove(hold: EngineHold, now: Instant, completed: boolean): void {
		const key = holdKey(hold);
		const job = this.#jobs.get(key);
		if (job === undefined) {
			return;
		}

		const [head] = this.#jobs.keys();
		if (completed) {
			markOvertaken(this.#jobs, key);
		}

		this.#jobs.delete(key);
		this.#pendingTokens -= job.tokens;
		if (head !== key) {
			return;
		}

		const elapsedMs = now - Math.max(this.#headStartedAt!, job.readyAt);
		if (completed && elapsedMs > 0) {
			this.#tokensPerMs += learningWeight * ((job.tokens / elapsedMs) - this.#tokensPerMs);
		}

		const [next] = this.#jobs.values();
		this.#headStartedAt = next === undefined ? undefined : Math.max(now, next.readyAt) as Instant;
	}

	overdueMs(now: Instant): number {
		const head = [...this.#jobs.values()].find(({isOvertaken}) => !isOvertaken);
		return head === undefined ? 0 : Math.max(0, now - Math.max(this.#headStartedAt!, head.readyAt) - this.durationMs(this.#pendingTokens));
	}

	/** When all jobs will be done; `now` for an empty queue. */
	availableAt(now: Instant): Instant {
		if (this.#headStartedAt === undefined) {
			return now;
		}

		const end = addMs(this.#headStartedAt, this.durationMs(this.#pendingTokens));
		return Math.max(now, end) as Instant;
	}
}
