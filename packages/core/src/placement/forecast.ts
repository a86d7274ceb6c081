/** Predicts prefill and transfer times, decode batch limits and the drain rate of the placement queue of an engine pool. */
import {countPieces} from '../engine/tokens.js';
import type {EngineId} from '../ids.js';
import {addMs} from '../time.js';
import type {Instant} from '../time.js';
import {BatchModel} from './batch-model.js';
import {holdKey} from './hold-table.js';
import type {LearnedEstimates} from './learned-estimates.js';
import {OutputLengthModel} from './output-length-model.js';
import {PipelinedQueueModel} from './pipelined-queue-model.js';
import {DecodeStallModel} from './decode-stall-model.js';
import type {
	EngineView, MemoryDemand, PlacementRequest, PolicyEvent, PlacementStep,
} from './types.js';
import {PrefillSpeedModel} from './prefill-speed-model.js';
import type {PrefillSpeed} from './prefill-speed-model.js';
import {SerialQueueModel} from './serial-queue-model.js';
import type {QueueModel} from './serial-queue-model.js';

const initialPrefillTokensPerMs = 20;
const initialLinkTokensPerMs = 50;
/** Time constant of the moving average of the placement queue's drain rate. */
const drainRateTimeConstantMs = 5000;

/** A prefill engine gets no further prompts when one is overdue by this many milliseconds: the time of several typical prompts. */
const unresponsiveAfterMs = 500;
/** Standard deviations of the memory held by running streams that are kept free: one covers five cases out of six. */
const reserveDeviations = 1;
/** Weight of the newest sample in the moving averages of the prefill rate and of the memory variance. */
const averagingWeight = 0.1;

type Stream = {
	readonly grantedAt: Instant;
	readonly decode: EngineId;
	readonly prefill: EngineId;
	readonly tokens: number;
	readonly maxTokens: number;
	/** When its engine could start the prefill; undefined where other prompts make that uncertain. */
	readonly prefillStartAt: Instant | undefined;
	/** Integral of its engine's decoding streams when its own decode started, in stream-milliseconds; undefined before. */
	streamTimeAtStartMs: number | undefined;
	startedAt: Instant | undefined;
};

/** When a step was done: its notification may be late, and the longer, the busier the owner or the holder is. */
const timeOfStep = ({grantedAt}: Pick<Stream, 'grantedAt'>, sinceGrantMs: number | undefined, now: Instant): Instant =>
	sinceGrantMs === undefined ? now : Math.min(now, addMs(grantedAt, Math.max(0, sinceGrantMs))) as Instant;

type DecodeBatch = {
	readonly model: BatchModel;
	/** Placements granted, including those that a previous owner granted. */
	granted: number;
	/** Granted placements whose prefill or transfer is in progress. */
	pending: number;
	/** Integral of the decoding streams over time, in stream-milliseconds. */
	streamTimeMs: number;
	changedAt: Instant;
};

/** Initial estimates of a deployment's engines. */
export type ForecastOptions = {
	/** `ample` where each engine has its own link and transfers hardly wait; otherwise all transfers share one link. */
	readonly links?: 'shared' | 'ample';
	/**
	 * Initial speed of prefill engines that work on the next prompt during the latency of the last one.
	 * Where undefined, an engine counts as busy until it answers.
	 */
	readonly prefill?: PrefillSpeed;
	/** Initial speed of direct prefills, which a decode engine runs itself; undefined where decode engines can't prefill. */
	readonly direct?: PrefillSpeed;
	/** How the memory of streams is estimated; where undefined, they count with the memory that they request. */
	readonly memory?: MemoryOptions;
	/** Figures learned by a previous owner; they take precedence over the other options. */
	readonly learned?: LearnedEstimates | undefined;
};

/** How the memory of streams is estimated. */
export type MemoryOptions = {
	/** Tokens in one memory piece. */
	readonly pieceTokens: number;
	/** Initial estimate of the fraction of the maximum output that a running stream holds. */
	readonly expectedOutputFraction: number;
};

/** Predicted times of one request's prefill and transfer. */
export type PrefillPrediction = {
	readonly prefillStartsAt: Instant;
	readonly prefillEndsAt: Instant;
	readonly transferStartsAt: Instant;
	readonly transferEndsAt: Instant;
};

/**
 * Predicts the timing of a pool's requests from models that are fitted to the pool's events.
 * All transfers of the pool share one link, unless the links are `ample`.
 *
 * @example
 * const forecast = new Forecast();
 * forecast.observe(event, now);
 * forecast.predict(prefillEngine, 4000, now).transferEndsAt;
 */
export class Forecast {
	readonly #streams = new Map<string, Stream>();
	readonly #prefillQueues = new Map<EngineId, QueueModel>();
	readonly #transferQueue = new SerialQueueModel(initialLinkTokensPerMs);
	readonly #isLinkShared: boolean;
	readonly #prefillSpeed: PrefillSpeedModel | undefined;
	readonly #directSpeed: PrefillSpeedModel | undefined;
	readonly #decodeBatches = new Map<EngineId, DecodeBatch>();
	readonly #stallModel: DecodeStallModel;
	readonly #outputLengths: OutputLengthModel | undefined;
	/** Mean variance of the memory that a running stream holds, in pieces squared. */
	#pieceVariance = 0;
	#meanPrefillTokensPerMs = initialPrefillTokensPerMs;
	#drainedTokens = 0;
	#drainMs = 0;
	#lastGrantedAt: Instant | undefined;

	constructor(private readonly options: ForecastOptions = {}) {
		this.#isLinkShared = options.links !== 'ample';
		const {prefill, direct, memory, learned} = options;
		this.#prefillSpeed = prefill === undefined ? undefined : new PrefillSpeedModel(learned?.prefill ?? prefill);
		this.#directSpeed = direct === undefined ? undefined : new PrefillSpeedModel(learned?.direct ?? direct);
		this.#outputLengths = memory === undefined ? undefined : new OutputLengthModel(learned?.outputs ?? memory.expectedOutputFraction);
		this.#stallModel = new DecodeStallModel(learned?.reads);
	}

	/** Figures learned by this owner or its predecessors. */
	get learned(): LearnedEstimates {
		const {learned} = this.options;
		return {
			prefill: this.#prefillSpeed?.learned ?? learned?.prefill,
			direct: this.#directSpeed?.learned ?? learned?.direct,
			outputs: this.#outputLengths?.moments ?? learned?.outputs,
			reads: this.#stallModel.learned,
		};
	}

	/** Rate of prefill engines, in tokens per millisecond; the initial estimate until enough prompts were measured. */
	get prefillTokensPerMs(): number {
		const {prefill, learned} = this.options;
		return (this.#prefillSpeed?.learned ?? learned?.prefill ?? prefill)?.tokensPerMs ?? this.#meanPrefillTokensPerMs;
	}

	get #prefillLatencyMs(): number {
		return this.#prefillSpeed?.latencyMs ?? 0;
	}

	/** Whether decode engines can run prefills themselves. */
	get supportsDirectPrefill(): boolean {
		return this.#directSpeed !== undefined;
	}

	/** Memory pieces that a stream is expected to hold while it runs. */
	expectedPieces({promptTokens, maxTokens, pieces}: MemoryDemand): number {
		const {memory} = this.options;
		return memory === undefined ? pieces : countPieces(promptTokens + Math.ceil(this.#outputLengths!.expectedTokens(maxTokens)), memory.pieceTokens);
	}

	/** Memory pieces to keep free beside running streams. Their output lengths vary independently, so that the variances add up. */
	reservePieces(streams: number): number {
		return Math.ceil(reserveDeviations * Math.sqrt(streams * this.#pieceVariance));
	}

	/** Predicts a prefill of `tokens` that is dispatched now. */
	predict(prefill: EngineId, tokens: number, now: Instant): PrefillPrediction {
		const queue = this.#prefillQueue(prefill);
		const prefillStartsAt = queue.availableAt(now);
		const prefillEndsAt = addMs(prefillStartsAt, queue.durationMs(tokens) + this.#prefillLatencyMs);
		const transferStartsAt = this.#isLinkShared ? Math.max(prefillEndsAt, this.#transferQueue.availableAt(now)) as Instant : prefillEndsAt;
		const transferEndsAt = addMs(transferStartsAt, this.#transferMs(tokens));
		return {
			prefillStartsAt, prefillEndsAt, transferStartsAt, transferEndsAt,
		};
	}

	/** Whether an engine's answer is so long overdue that it may never arrive. */
	isUnresponsive(prefill: EngineId, now: Instant): boolean {
		return this.#prefillQueue(prefill).overdueMs(now) > unresponsiveAfterMs;
	}

	/** Predicts a direct prefill on a decode engine; undefined where decode engines can't prefill. */
	predictDirectPrefill(decode: EngineId, tokens: number, now: Instant): {readonly startsAt: Instant; readonly firstOutputAt: Instant} | undefined {
		if (this.#directSpeed === undefined) {
			return undefined;
		}

		const queue = this.#prefillQueue(decode, this.#directSpeed);
		const startsAt = queue.availableAt(now);
		return {startsAt, firstOutputAt: addMs(startsAt, queue.durationMs(tokens) + this.#directSpeed.latencyMs)};
	}

	/** Duration of a prefill of `tokens` and of its transfer on idle engines, in milliseconds. */
	unloadedMs(tokens: number): number {
		return (this.#prefillSpeed?.predictMs(tokens) ?? tokens / this.#meanPrefillTokensPerMs) + this.#transferMs(tokens);
	}

	/** Time in which a queue of `tokens` drains, in milliseconds; 0 until a drain rate was measured. */
	queueDrainMs(tokens: number): number {
		return this.#drainedTokens === 0 ? 0 : (tokens * this.#drainMs) / this.#drainedTokens;
	}

	/** Largest number of streams that keeps a decode engine within the target between outputs; undefined until learned. */
	maxStreams(engine: EngineId, betweenMs: number): number | undefined {
		return this.#decodeBatches.get(engine)?.model.maxStreams(betweenMs);
	}

	/** Whether the streams of a decode engine stay within the target gap between outputs during one more direct prefill. */
	keepsOutputGap({id, running}: Pick<EngineView, 'id' | 'running'>, {promptTokens, steadyGapMs}: PlacementRequest, now: Instant): boolean {
		return running === 0 || steadyGapMs === undefined || this.#stallModel.staysWithinGap(id, promptTokens, this.#directPrefillMsPerToken(id), steadyGapMs, now);
	}

	observe(event: PolicyEvent, now: Instant): void {
		switch (event.kind) {
			case 'granted': {
				this.#onGranted(event, now);
				break;
			}

			case 'streams': {
				this.#advanceBatch(event.engine, now).granted = event.streams;
				break;
			}

			case 'prefillDone': {
				this.#onPrefillDone(event, now);
				break;
			}

			case 'transferDone': {
				this.#onTransferDone(event, now);
				break;
			}

			case 'released': {
				this.#onReleased(event, now);
				break;
			}
		}
	}

	#onGranted({req, decode, prefill, waiting}: Extract<PolicyEvent, {kind: 'granted'}>, now: Instant): void {
		if (this.options.memory !== undefined) {
			const variance = this.#outputLengths!.variance(req.maxTokens) / (this.options.memory.pieceTokens ** 2);
			this.#pieceVariance += averagingWeight * (variance - this.#pieceVariance);
		}

		this.#updateDrainRate(req, waiting, now);
		const isDirect = prefill === decode;
		const {prefillEndsAt} = this.predict(prefill, req.promptTokens, now);
		const queue = this.#prefillQueue(prefill, isDirect ? this.#directSpeed : this.#prefillSpeed);
		const availableAt = queue.availableAt(now);
		// Behind an unanswered prompt, queueing inside the engine would be measured as latency
		const isStartCertain = availableAt <= now && queue.jobCount === 0;
		queue.add(req, req.promptTokens, now);
		if (isDirect) {
			this.#stallModel.recordPrefill(decode, req.promptTokens, this.#directPrefillMsPerToken(decode), now);
		}

		if (this.#isLinkShared) {
			this.#transferQueue.add(req, req.promptTokens, prefillEndsAt);
		}

		this.#streams.set(holdKey(req), {
			grantedAt: now, decode, prefill, tokens: req.promptTokens, maxTokens: req.maxTokens, prefillStartAt: isStartCertain ? availableAt : undefined, streamTimeAtStartMs: undefined, startedAt: undefined,
		});
		this.#advanceBatch(decode, now).pending += 1;
	}

	#onPrefillDone({hold, sinceGrantMs}: PlacementStep, now: Instant): void {
		const stream = this.#streams.get(holdKey(hold));
		if (stream === undefined) {
			return;
		}

		const isDirect = stream.prefill === stream.decode;
		const queue = this.#prefillQueue(stream.prefill, isDirect ? this.#directSpeed : this.#prefillSpeed);
		const at = timeOfStep(stream, sinceGrantMs, now);
		queue.remove(hold, at, true);
		if (stream.prefillStartAt !== undefined) {
			(isDirect ? this.#directSpeed : this.#prefillSpeed)?.learn(stream.tokens, at - stream.prefillStartAt);
		}

		if (!isDirect) {
			this.#meanPrefillTokensPerMs += averagingWeight * (queue.tokensPerMs - this.#meanPrefillTokensPerMs);
		}
	}

	/** Averages the granted tokens and the time between grants while requests are waiting. */
	#updateDrainRate(req: PlacementRequest, waiting: number, now: Instant): void {
		const gapMs = now - (this.#lastGrantedAt ?? now);
		this.#lastGrantedAt = now;
		if (waiting === 0) {
			this.#lastGrantedAt = undefined;
		}

		const decay = Math.exp(-gapMs / drainRateTimeConstantMs);
		if (gapMs > 0 || waiting > 0) {
			this.#drainedTokens = (this.#drainedTokens * decay) + req.promptTokens;
			this.#drainMs = (this.#drainMs * decay) + gapMs;
		}
	}

	#onTransferDone({hold, sinceGrantMs}: PlacementStep, now: Instant): void {
		const stream = this.#streams.get(holdKey(hold));
		if (stream === undefined || stream.startedAt !== undefined) {
			return;
		}

		this.#transferQueue.remove(hold, timeOfStep(stream, sinceGrantMs, now), true);
		const batch = this.#advanceBatch(stream.decode, now);
		stream.startedAt = now;
		stream.streamTimeAtStartMs = batch.streamTimeMs;
		batch.pending -= 1;
	}

	#onReleased({hold, pace, outputTokens}: Extract<PolicyEvent, {kind: 'released'}>, now: Instant): void {
		const key = holdKey(hold);
		const stream = this.#streams.get(key);
		if (stream === undefined) {
			return;
		}

		this.#streams.delete(key);
		if (outputTokens !== undefined) {
			this.#outputLengths?.learn(outputTokens, stream.maxTokens);
		}

		this.#prefillQueue(stream.prefill).remove(hold, now, false);
		this.#transferQueue.remove(hold, now, false);
		const batch = this.#advanceBatch(stream.decode, now);
		if (stream.startedAt === undefined) {
			batch.pending -= 1;
			return;
		}

		const decodeMs = now - stream.startedAt;
		if (pace !== undefined && decodeMs > 0) {
			batch.model.learn((batch.streamTimeMs - stream.streamTimeAtStartMs!) / decodeMs, pace.betweenMs);
		}

		if (pace?.longestMs !== undefined) {
			const {betweenMs, longestMs} = pace;
			this.#stallModel.learn(stream.decode, {startedAt: stream.startedAt, betweenMs, longestMs});
		}
	}

	#directPrefillMsPerToken(decode: EngineId): number {
		return this.#prefillQueue(decode, this.#directSpeed).durationMs(1);
	}

	#transferMs(tokens: number): number {
		return this.#isLinkShared ? this.#transferQueue.durationMs(tokens) : 0;
	}

	#prefillQueue(engine: EngineId, speed: PrefillSpeedModel | undefined = this.#prefillSpeed): QueueModel {
		const queue = this.#prefillQueues.get(engine) ?? (speed === undefined ? new SerialQueueModel(initialPrefillTokensPerMs) : new PipelinedQueueModel(speed));
		this.#prefillQueues.set(engine, queue);
		return queue;
	}

	/** Returns the engine's batch after advancing its integral to `now`. */
	#advanceBatch(decode: EngineId, now: Instant): DecodeBatch {
		const batch = this.#decodeBatches.get(decode) ?? {
			model: new BatchModel(), granted: 0, pending: 0, streamTimeMs: 0, changedAt: now,
		};
		batch.streamTimeMs += Math.max(0, batch.granted - batch.pending) * (now - batch.changedAt);
		batch.changedAt = now;
		this.#decodeBatches.set(decode, batch);
		return batch;
	}
}
