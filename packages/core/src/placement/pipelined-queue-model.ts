/** Models the prefill queue of an engine that answers a fixed latency after it finished the work on a prompt. */
import type {EngineHold} from '../engine/engine-client.js';
import {addMs} from '../time.js';
import type {Instant} from '../time.js';
import {holdKey} from './hold-table.js';
import type {PrefillSpeed} from './prefill-speed-model.js';
import {markOvertaken} from './serial-queue-model.js';
import type {QueueModel} from './serial-queue-model.js';

/** Weight of the newest completion in the learned rate. */
const learningWeight = 0.1;
/** Measured rates are clamped to within this factor of the learned one: larger deviations have other causes. */
const maxRateFactor = 3;

type Job = {
	readonly tokens: number;
	readonly readyAt: Instant;
	startsAt: Instant;
	endsAt: Instant;
	/** Whether a later job was completed. */
	isOvertaken: boolean;
};

/**
 * Predicts when an engine can begin its next prefill. The time between the end of the work and the answer
 * does not occupy the engine, so that the next prefill starts before the last one is answered.
 * Handles prompts that other instances sent to the engine: a late completion postpones all following jobs by the same
 * time and does not lower the rate, since the engine worked on something else.
 *
 * @example
 * const queue = new PipelinedQueueModel({tokensPerMs: 45, latencyMs: 120});
 * queue.add(hold, 4500, now);
 * queue.availableAt(now); // 100 ms later, though the answer comes after 220 ms
 */
export class PipelinedQueueModel implements QueueModel {
	readonly #jobs = new Map<string, Job>();
	#freeAt: Instant | undefined;
	#lastCompletedAt: Instant | undefined;
	#tokensPerMs: number;

	/** `speed` may change: its latency is read at each completion. */
	constructor(private readonly speed: PrefillSpeed) {
		this.#tokensPerMs = speed.tokensPerMs;
	}

	get tokensPerMs(): number {
		return this.#tokensPerMs;
	}

	get jobCount(): number {
		return this.#jobs.size;
	}

	durationMs(tokens: number): number {
		return tokens / this.#tokensPerMs;
	}

	add(hold: EngineHold, tokens: number, readyAt: Instant): void {
		const startsAt = Math.max(readyAt, this.#freeAt ?? readyAt) as Instant;
		const endsAt = addMs(startsAt, this.durationMs(tokens));
		this.#jobs.set(holdKey(hold), {
			tokens, readyAt, startsAt, endsAt, isOvertaken: false,
		});
		this.#freeAt = endsAt;
	}

	remove(hold: EngineHold, now: Instant, completed: boolean): void {
		const key = holdKey(hold);
		const job = this.#jobs.get(key);
		if (job === undefined) {
			return;
		}

		if (completed) {
			markOvertaken(this.#jobs, key);
		}

		this.#jobs.delete(key);
		if (!completed) {
			this.#reclaimTime(job, now);
			return;
		}

		const endedAt = addMs(now, -this.speed.latencyMs);
		this.#postpone(Math.max(0, endedAt - job.endsAt));
		// One that is reported after a later one says nothing of the rate
		if (this.#lastCompletedAt === undefined || endedAt >= this.#lastCompletedAt) {
			this.#learn(job, endedAt);
			this.#lastCompletedAt = endedAt;
		}
	}

	availableAt(now: Instant): Instant {
		return Math.max(now, this.#freeAt ?? now) as Instant;
	}

	overdueMs(now: Instant): number {
		const oldest = [...this.#jobs.values()].find(({isOvertaken}) => !isOvertaken);
		return oldest === undefined ? 0 : Math.max(0, now - oldest.endsAt - this.speed.latencyMs);
	}

	/** Postpones the jobs that remain, if there are any. */
	#postpone(ms: number): void {
		if (this.#jobs.size === 0 || ms === 0) {
			return;
		}

		this.#freeAt = addMs(this.#freeAt!, ms);
		for (const job of this.#jobs.values()) {
			job.startsAt = addMs(job.startsAt, ms);
			job.endsAt = addMs(job.endsAt, ms);
		}
	}

	/** Updates the rate from a prefill that started when the previous one ended, or on an idle engine. */
	#learn(job: Job, endedAt: Instant): void {
		const isBackToBack = this.#lastCompletedAt !== undefined && this.#lastCompletedAt >= job.readyAt;
		const startedAt = isBackToBack ? this.#lastCompletedAt! : job.startsAt;
		const rate = job.tokens / Math.max(1, endedAt - startedAt);
		const clampedRate = Math.min(this.#tokensPerMs * maxRateFactor, Math.max(this.#tokensPerMs / maxRateFactor, rate));
		this.#tokensPerMs += learningWeight * (clampedRate - this.#tokensPerMs);
	}

	/** Reclaims the unused time of a cancelled prefill. */
	#reclaimTime(job: Job, now: Instant): void {
		const unusedMs = job.endsAt - Math.max(job.startsAt, now);
		if (unusedMs > 0 && this.#freeAt !== undefined) {
			this.#freeAt = (this.#freeAt - unusedMs) as Instant;
		}
	}
}
