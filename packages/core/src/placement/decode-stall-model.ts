/** Models how long direct prefills stall the streams of a decode engine between two outputs. */
import type {EngineId} from '../ids.js';
import {addMs} from '../time.js';
import type {Instant} from '../time.js';
import type {LearnedEstimates} from './learned-estimates.js';

/** Weight of the newest stream in the moving average of the time between outputs. */
const learningWeight = 0.1;
/** Initial estimate of the stall, as a fraction of the prefill's duration. */
const initialStalledFraction = 1;
/** Fraction of the streams whose stall the learned fraction covers. */
const coveredStreams = 0.8;
/** Largest change of the learned fraction by one stream. */
const fractionStep = 0.05;
/** Fraction of the target gap that a predicted stall may use: the rest covers the events' way to the caller. */
const usableGapFraction = 0.9;
/** How long prefills are kept for the streams that they delayed, in milliseconds: several times the duration of a stream. */
const prefillHistoryMs = 30_000;
/** Time between the end of a prefill and the start of the next one after which every stream has had an output, in multiples of the mean time between outputs. */
const recoveryOutputs = 1.3;

type RecordedPrefill = {
	readonly at: Instant;
	/** Predicted duration of this prefill and of those before it that no output separates from it, in milliseconds. */
	readonly chainMs: number;
	readonly endsAt: Instant;
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
 * during one more. Prefills that follow each other before every stream had an output stall the streams together.
 * Limits the effect of a burst, and of losing an engine under load: its streams are prefilled again elsewhere, and
 * doing so all at once would delay every stream there.
 *
 * @see Agrawal et al., "Taming Throughput-Latency Tradeoff in LLM Inference with Sarathi-Serve", 2024, on stalls of decodes by prefills.
 * @example
 * const stalls = new DecodeStallModel();
 * if (stalls.staysWithinGap(engine, 4000, 0.04, 300, now)) stalls.recordPrefill(engine, 4000, 0.04, now);
 */
export class DecodeStallModel {
	readonly #prefills = new Map<EngineId, RecordedPrefill[]>();
	#betweenMs: number;
	/** Stall as a fraction of the prefill's duration. */
	#stalledFraction: number;

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
		const chainMs = this.#chainMs(engine, now) + (tokens * msPerToken);
		return this.#betweenMs + (chainMs * this.#stalledFraction) <= gapMs * usableGapFraction;
	}

	/** Records a prefill that starts now. */
	recordPrefill(engine: EngineId, tokens: number, msPerToken: number, now: Instant): void {
		const recorded = (this.#prefills.get(engine) ?? []).filter(({at}) => now - at < prefillHistoryMs);
		const startsAt = Math.max(now, recorded.at(-1)?.endsAt ?? now) as Instant;
		const durationMs = tokens * msPerToken;
		recorded.push({at: now, chainMs: this.#chainMs(engine, now) + durationMs, endsAt: addMs(startsAt, durationMs)});
		this.#prefills.set(engine, recorded);
	}

	/** Learns from a stream that ended on an engine. */
	learn(engine: EngineId, {startedAt, betweenMs, longestMs}: StreamGapSample): void {
		this.#betweenMs += (this.#betweenMs === 0 ? 1 : learningWeight) * (betweenMs - this.#betweenMs);
		const longestChainMs = Math.max(0, ...(this.#prefills.get(engine) ?? []).filter(({at}) => at > startedAt).map(({chainMs}) => chainMs));
		if (longestChainMs === 0) {
			return;
		}

		// Longer stalls have other causes, such as a preemption
		const fraction = Math.min(1, Math.max(0, longestMs - betweenMs) / longestChainMs);
		this.#stalledFraction += fractionStep * (fraction > this.#stalledFraction ? coveredStreams : coveredStreams - 1);
		this.#stalledFraction = Math.min(1, Math.max(0, this.#stalledFraction));
	}

	/** Duration of the prefills that a prefill starting now would prolong, in milliseconds. */
	#chainMs(engine: EngineId, now: Instant): number {
		const last = this.#prefills.get(engine)?.at(-1);
		return last === undefined || now >= addMs(last.endsAt, this.#betweenMs * recoveryOutputs) ? 0 : last.chainMs;
	}
}
