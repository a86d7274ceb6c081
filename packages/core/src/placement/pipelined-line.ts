/** The prefills of one engine that works on a prompt for a time and answers a fixed time after it. */
import type {EngineHold} from '../engine/engine-client.js';
import {addMs} from '../time.js';
import type {Instant} from '../time.js';
import {holdKey} from './hold-table.js';
import type {ReadSpeedEstimate} from './read-speed.js';
import {markOvertaken} from './work-line.js';
import type {Line} from './work-line.js';

/** Weight of the newest completion in the learned rate. */
const learningWeight = 0.1;
/** A completion teaches a rate within this factor of the learned one: what is beyond was held up by something else. */
const maxRateChange = 3;

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
 * Answers prompts that others gave to the engine: a completion that comes late shifts all that follow by as much,
 * and teaches no lower rate, since the engine worked on something else.
 *
 * @example
 * const line = new PipelinedLine({tokensPerMs: 45, latencyMs: 120});
 * line.add(hold, 4500, now);
 * line.endsAt(now); // 100 ms later, though the answer comes after 220 ms
 */
export class PipelinedLine implements Line {
	readonly #jobs = new Map<string, Job>();
	#freeAt: Instant | undefined;
	#lastEndedAt: Instant | undefined;
	#tokensPerMs: number;

	/** `speed` may learn: its latency is asked for at each completion. */
	constructor(private readonly speed: ReadSpeedEstimate) {
		this.#tokensPerMs = speed.tokensPerMs;
	}

	get tokensPerMs(): number {
		return this.#tokensPerMs;
	}

	get jobs(): number {
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
			this.#giveBack(job, now);
			return;
		}

		const endedAt = addMs(now, -this.speed.latencyMs);
		this.#shift(Math.max(0, endedAt - job.endsAt));
		this.#learn(job, endedAt);
		this.#lastEndedAt = endedAt;
	}

	endsAt(now: Instant): Instant {
		return Math.max(now, this.#freeAt ?? now) as Instant;
	}

	overdueMs(now: Instant): number {
		const oldest = [...this.#jobs.values()].find(({isOvertaken}) => !isOvertaken);
		return oldest === undefined ? 0 : Math.max(0, now - oldest.endsAt - this.speed.latencyMs);
	}

	/** Moves what the engine has still to do, where there is anything. */
	#shift(ms: number): void {
		if (this.#jobs.size === 0 || ms === 0) {
			return;
		}

		this.#freeAt = addMs(this.#freeAt!, ms);
		for (const job of this.#jobs.values()) {
			job.startsAt = addMs(job.startsAt, ms);
			job.endsAt = addMs(job.endsAt, ms);
		}
	}

	/** Learns the rate of a prefill that began when the one before it ended, or that found the engine free. */
	#learn(job: Job, endedAt: Instant): void {
		const isFollowing = this.#lastEndedAt !== undefined && this.#lastEndedAt >= job.readyAt;
		const beganAt = isFollowing ? this.#lastEndedAt! : job.startsAt;
		const rate = job.tokens / Math.max(1, endedAt - beganAt);
		const taught = Math.min(this.#tokensPerMs * maxRateChange, Math.max(this.#tokensPerMs / maxRateChange, rate));
		this.#tokensPerMs += learningWeight * (taught - this.#tokensPerMs);
	}

	/** Takes back the time of a prefill that was given up before it began. */
	#giveBack(job: Job, now: Instant): void {
		const unusedMs = job.endsAt - Math.max(job.startsAt, now);
		if (unusedMs > 0 && this.#freeAt !== undefined) {
			this.#freeAt = (this.#freeAt - unusedMs) as Instant;
		}
	}
}
