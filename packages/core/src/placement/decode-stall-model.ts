/** Models how long direct prefills stall the streams of a decode engine between two outputs. */
import type {EngineId} from '../ids.js';
import type {Instant} from '../time.js';
import type {LearnedEstimates} from './learned-estimates.js';

/** Weight of the newest stream in the moving averages, once several were measured. */
const learningWeight = 0.05;
/** Initial estimate of the stall, as a fraction of the prefill's duration. */
const initialStalledFraction = 0.6;
/** How long prefills are kept for the streams that they delayed, in milliseconds: several times the duration of a stream. */
const prefillHistoryMs = 30_000;
/** Safety factor: a stall may be longer than the mean by this much. */
const stallMargin = 1.3;

type RecordedPrefill = {
	readonly at: Instant;
	readonly tokens: number;
	/** Tokens prefilled within the target gap before this prefill, itself included. */
	readonly windowTokens: number;
};

/** Measured gaps between the outputs of a stream on a decode engine. */
export type StreamGapSample = {
	readonly startedAt: Instant;
	/** Mean time between its outputs, in milliseconds. */
	readonly betweenMs: number;
	/** Longest time between two of its outputs, in milliseconds. */
	readonly longestMs: number;
};

/**
 * Learns how long an engine's streams stall during a prefill, and predicts whether they stay within the target gap
 * during one more. Limits the effect of losing an engine under load: its streams are prefilled again elsewhere, and
 * doing so all at once would delay every stream there.
 *
 * @see Agrawal et al., "Taming Throughput-Latency Tradeoff in LLM Inference with Sarathi-Serve", 2024, on stalls of decodes by prefills.
 * @example
 * const stalls = new DecodeStallModel();
 * if (stalls.staysWithinGap(engine, 4000, 0.04, 300, now)) stalls.recordPrefill(engine, 4000, 300, now);
 */
export class DecodeStallModel {
	readonly #prefills = new Map<EngineId, RecordedPrefill[]>();
	#betweenMs: number;
	/** Stall as a fraction of the prefill's duration. */
	#stalledFraction: number;
	#streams = 0;

	constructor(learned?: LearnedEstimates['reads']) {
		this.#betweenMs = learned?.betweenMs ?? 0;
		this.#stalledFraction = learned?.stoppedPart ?? initialStalledFraction;
	}

	/** The learned figures. */
	get learned(): LearnedEstimates['reads'] {
		return {betweenMs: this.#betweenMs, stoppedPart: this.#stalledFraction};
	}

	/** Whether streams stay within `gapMs` between outputs when the engine prefills `tokens` more now, at `msPerToken`. */
	staysWithinGap(engine: EngineId, tokens: number, msPerToken: number, gapMs: number, now: Instant): boolean {
		const stallMs = (this.#windowTokens(engine, gapMs, now) + tokens) * msPerToken * this.#stalledFraction * stallMargin;
		return this.#betweenMs + stallMs <= gapMs;
	}

	/** Records a prefill that starts now. */
	recordPrefill(engine: EngineId, tokens: number, gapMs: number, now: Instant): void {
		const recorded = (this.#prefills.get(engine) ?? []).filter(({at}) => now - at < prefillHistoryMs);
		recorded.push({at: now, tokens, windowTokens: this.#windowTokens(engine, gapMs, now) + tokens});
		this.#prefills.set(engine, recorded);
	}

	/** Learns from a stream that ended on an engine. */
	learn(engine: EngineId, {startedAt, betweenMs, longestMs}: StreamGapSample, msPerToken: number): void {
		this.#betweenMs += (this.#betweenMs === 0 ? 1 : learningWeight * 2) * (betweenMs - this.#betweenMs);
		const maxWindowTokens = Math.max(0, ...(this.#prefills.get(engine) ?? []).filter(({at}) => at > startedAt).map(({windowTokens}) => windowTokens));
		if (maxWindowTokens === 0) {
			return;
		}

		// Longer stalls have other causes, such as a preemption
		const fraction = Math.min(1, Math.max(0, longestMs - betweenMs) / (maxWindowTokens * msPerToken));
		this.#streams += 1;
		this.#stalledFraction += Math.max(learningWeight, 1 / (this.#streams + 2)) * (fraction - this.#stalledFraction);
	}

	#windowTokens(engine: EngineId, gapMs: number, now: Instant): number {
		return (this.#prefills.get(engine) ?? []).filter(({at}) => now - at < gapMs).reduce((sum, {tokens}) => sum + tokens, 0);
	}
}
