/** A first-in-first-out line of work whose rate is learned from its completions. */
import type {EngineHold} from '../engine/engine-client.js';
import {addMs} from '../time.js';
import type {Instant} from '../time.js';
import {holdKey} from './hold-table.js';

/** Weight of the newest completion in the learned rate. */
const learningWeight = 0.1;

type Job = {
	readonly tokens: number;
	/** When the job can start at the earliest. */
	readonly readyAt: Instant;
	/** Whether a later job was completed: the engine works, and this one's answer was lost. */
	isOvertaken: boolean;
};

/** A line of work on one engine or link. */
export type Line = {
	/** The learned rate. */
	readonly tokensPerMs: number;
	/** Jobs that have not ended. */
	readonly jobs: number;
	/** How long the oldest job is overdue of those that no later completion has overtaken, in milliseconds; 0 when none is. */
	overdueMs(now: Instant): number;
	/** How long `tokens` take, in milliseconds. */
	durationMs(tokens: number): number;
	/** Appends a job that can start at `readyAt`. */
	add(hold: EngineHold, tokens: number, readyAt: Instant): void;
	/** Removes a job: `completed` ones teach the rate, others were given up. */
	remove(hold: EngineHold, now: Instant, completed: boolean): void;
	/** When the next job can start. */
	endsAt(now: Instant): Instant;
};

/** Marks the jobs before a completed one. */
export const markOvertaken = (jobs: ReadonlyMap<string, {isOvertaken: boolean}>, completed: string): void => {
	for (const [key, job] of jobs) {
		if (key === completed) {
			return;
		}

		job.isOvertaken = true;
	}
};

/**
 * Predicts when a line of jobs ends: the prefills of one engine, or the transfers over one link.
 *
 * @example
 * const line = new WorkLine(20); // Tokens per millisecond, until completions teach better
 * line.add(hold, 4000, now);
 * line.endsAt(now); // 200 ms later
 */
export class WorkLine implements Line {
	readonly #jobs = new Map<string, Job>();
	#tokens = 0;
	#tokensPerMs: number;
	/** When the job at the head started. */
	#headStartedAt: Instant | undefined;

	constructor(initialTokensPerMs: number) {
		this.#tokensPerMs = initialTokensPerMs;
	}

	get tokensPerMs(): number {
		return this.#tokensPerMs;
	}

	get jobs(): number {
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
		this.#tokens += tokens;
	}

	/** Removes a job: `completed` ones teach the rate, others were given up. */
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
		this.#tokens -= job.tokens;
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
		return head === undefined ? 0 : Math.max(0, now - Math.max(this.#headStartedAt!, head.readyAt) - this.durationMs(this.#tokens));
	}

	/** When all jobs of the line will be done; `now` for an empty line. */
	endsAt(now: Instant): Instant {
		if (this.#headStartedAt === undefined) {
			return now;
		}

		const end = addMs(this.#headStartedAt, this.durationMs(this.#tokens));
		return Math.max(now, end) as Instant;
	}
}
