/** What prompts read by decode engines cost the streams there: a pause between two of their outputs. */
import type {EngineId} from '../ids.js';
import type {Instant} from '../time.js';
import type {LearnedEstimates} from './learned-estimates.js';

/** Weight of the newest stream in the learned figures, once several were seen. */
const learningWeight = 0.05;
/** Pause for each token read as a part of the time that the read takes, until streams teach it. */
const initialStoppedPart = 0.6;
/** How long reads are remembered for the streams that they delayed, in milliseconds: several times a stream's length. */
const keptMs = 30_000;
/** A pause may come out longer than the mean by this factor. */
const spreadFactor = 1.3;

type Read = {
	readonly at: Instant;
	readonly tokens: number;
	/** Tokens read within the steady gap before this read, itself included. */
	readonly windowTokens: number;
};

/** What a stream met on a decode engine. */
export type StreamGapSample = {
	readonly startedAt: Instant;
	/** Mean time between its outputs, in milliseconds. */
	readonly betweenMs: number;
	/** Longest time between two of its outputs, in milliseconds. */
	readonly longestMs: number;
};

/**
 * Learns how long the outputs of an engine's streams pause while it reads a prompt, and says whether one more prompt
 * keeps them steady. Answers the loss of an engine under load: its streams are read again elsewhere, and read all at
 * once they make every stream there late.
 *
 * @see Agrawal et al., "Taming Throughput-Latency Tradeoff in LLM Inference with Sarathi-Serve", 2024, on stalls of decodes by prefills.
 * @example
 * const pauses = new ReadPauses();
 * if (pauses.fits(engine, 4000, 0.04, 300, now)) pauses.noteRead(engine, 4000, 300, now);
 */
export class DecodeStallModel {
	readonly #prefills = new Map<EngineId, Read[]>();
	#betweenMs: number;
	/** Pause for each token read, as a part of the time that the read takes. */
	#stalledFraction: number;
	#streams = 0;

	constructor(learned?: LearnedEstimates['reads']) {
		this.#betweenMs = learned?.betweenMs ?? 0;
		this.#stalledFraction = learned?.stoppedPart ?? initialStoppedPart;
	}

	/** The learned figures. */
	get learned(): LearnedEstimates['reads'] {
		return {betweenMs: this.#betweenMs, stoppedPart: this.#stalledFraction};
	}

	/** Whether streams stay within `gapMs` between outputs when the engine reads `tokens` more now, at `msPerToken`. */
	staysWithinGap(engine: EngineId, tokens: number, msPerToken: number, gapMs: number, now: Instant): boolean {
		const pauseMs = (this.#windowTokens(engine, gapMs, now) + tokens) * msPerToken * this.#stalledFraction * spreadFactor;
		return this.#betweenMs + pauseMs <= gapMs;
	}

	/** Takes note of a read that begins now. */
	recordPrefill(engine: EngineId, tokens: number, gapMs: number, now: Instant): void {
		const reads = (this.#prefills.get(engine) ?? []).filter(({at}) => now - at < keptMs);
		reads.push({at: now, tokens, windowTokens: this.#windowTokens(engine, gapMs, now) + tokens});
		this.#prefills.set(engine, reads);
	}

	/** Learns from a stream that ended on an engine. */
	learn(engine: EngineId, {startedAt, betweenMs, longestMs}: StreamGapSample, msPerToken: number): void {
		this.#betweenMs += (this.#betweenMs === 0 ? 1 : learningWeight * 2) * (betweenMs - this.#betweenMs);
		const most = Math.max(0, ...(this.#prefills.get(engine) ?? []).filter(({at}) => at > startedAt).map(({windowTokens}) => windowTokens));
		if (most === 0) {
			return;
		}

		// Longer pauses have other causes, such as a preemption
		const part = Math.min(1, Math.max(0, longestMs - betweenMs) / (most * msPerToken));
		this.#streams += 1;
		this.#stalledFraction += Math.max(learningWeight, 1 / (this.#streams + 2)) * (part - this.#stalledFraction);
	}

	#windowTokens(engine: EngineId, gapMs: number, now: Instant): number {
		return (this.#prefills.get(engine) ?? []).filter(({at}) => now - at < gapMs).reduce((sum, {tokens}) => sum + tokens, 0);
	}
}
