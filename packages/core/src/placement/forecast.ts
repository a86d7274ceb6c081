/** What an engine pool's owner expects: ends of prefills, transfer slots, batch sizes and the queue's speed. */
import type {EngineHold} from '../engine/engine-client.js';
import {countPieces} from '../engine/tokens.js';
import type {EngineId} from '../ids.js';
import {addMs} from '../time.js';
import type {Instant} from '../time.js';
import {BatchModel} from './batch-model.js';
import {holdKey} from './hold-table.js';
import type {LearnedFigures} from './learned-figures.js';
import {OutputSizes} from './output-sizes.js';
import {PipelinedLine} from './pipelined-line.js';
import {ReadPauses} from './read-pauses.js';
import type {
	EngineView, PlacementRequest, PolicyEvent,
} from './types.js';
import {ReadSpeed} from './read-speed.js';
import type {ReadSpeedEstimate} from './read-speed.js';
import {WorkLine} from './work-line.js';
import type {Line} from './work-line.js';

const initialPrefillTokensPerMs = 20;
const initialLinkTokensPerMs = 50;
/** Time constant of the queue's learned speed. */
const drainMemoryMs = 5000;

/** A prefill engine gets no further prompts when one is overdue by this, in milliseconds: several usual prompts. */
const stalledMs = 500;
/** Standard deviations of the memory that running streams hold, kept free: overrun five times out of six below it. */
const reserveDeviations = 1;
/** Weight of the last engine's rate in the usual rate of a prefill. */
const usualWeight = 0.1;

type Stream = {
	readonly decode: EngineId;
	readonly prefill: EngineId;
	readonly tokens: number;
	readonly maxTokens: number;
	/** When its engine could begin to read the prompt; undefined where other prompts make that uncertain. */
	readonly readableAt: Instant | undefined;
	/** Stream-milliseconds of its engine when its decode started; undefined before. */
	startedArea: number | undefined;
	startedAt: Instant | undefined;
};

type Batch = {
	readonly model: BatchModel;
	/** Places granted, also those that an earlier owner granted. */
	granted: number;
	/** Granted places whose prefill or transfer is under way. */
	pending: number;
	/** Integral of the decoding streams over time, in stream-milliseconds. */
	area: number;
	changedAt: Instant;
};

/** What is known of a deployment's engines beforehand. */
export type ForecastOptions = {
	/** `ample` where each engine has a link on which transfers hardly wait; else all transfers share one. */
	readonly links?: 'shared' | 'ample';
	/**
	 * Speed of prefill engines until completions teach it, where an engine works on the next prompt during the latency of
	 * the last; an engine is taken to be busy until its answer where undefined.
	 */
	readonly prefill?: ReadSpeedEstimate;
	/** Speed at which a decode engine reads a prompt itself, until completions teach it; undefined where it can't. */
	readonly direct?: ReadSpeedEstimate;
	/** How streams are counted in memory; by what they ask for where undefined. */
	readonly memory?: MemoryOptions;
	/** What an earlier owner learned; goes before the other options. */
	readonly learned?: LearnedFigures | undefined;
};

/** How the memory of streams is forecast. */
export type MemoryOptions = {
	/** Tokens in one memory piece. */
	readonly pieceTokens: number;
	/** Part of the most output that running streams hold, until streams teach it. */
	readonly expectedOutputPart: number;
};

/** When the parts of one request are expected. */
export type Prediction = {
	readonly prefillStartsAt: Instant;
	readonly prefillEndsAt: Instant;
	readonly transferStartsAt: Instant;
	readonly transferEndsAt: Instant;
};

/**
 * Learns from a pool's events and predicts. All transfers of the pool share one link.
 *
 * @example
 * const forecast = new Forecast();
 * forecast.observe(event, now);
 * forecast.predict(prefillEngine, 4000, now).transferEndsAt;
 */
export class Forecast {
	readonly #streams = new Map<string, Stream>();
	readonly #prefillLines = new Map<EngineId, Line>();
	readonly #link = new WorkLine(initialLinkTokensPerMs);
	readonly #isLinkShared: boolean;
	readonly #prefillSpeed: ReadSpeed | undefined;
	readonly #directSpeed: ReadSpeed | undefined;
	readonly #batches = new Map<EngineId, Batch>();
	readonly #pauses: ReadPauses;
	readonly #sizes: OutputSizes | undefined;
	/** Usual variance of the memory that a running stream holds, in pieces squared. */
	#pieceVariance = 0;
	#usualTokensPerMs = initialPrefillTokensPerMs;
	#drainedTokens = 0;
	#drainMs = 0;
	#grantedAt: Instant | undefined;

	constructor(private readonly options: ForecastOptions = {}) {
		this.#isLinkShared = options.links !== 'ample';
		const {prefill, direct, memory, learned} = options;
		this.#prefillSpeed = prefill === undefined ? undefined : new ReadSpeed(learned?.prefill ?? prefill);
		this.#directSpeed = direct === undefined ? undefined : new ReadSpeed(learned?.direct ?? direct);
		this.#sizes = memory === undefined ? undefined : new OutputSizes(learned?.outputs ?? memory.expectedOutputPart);
		this.#pauses = new ReadPauses(learned?.reads);
	}

	/** What was learned so far, by this owner or before it. */
	get learned(): LearnedFigures {
		const {learned} = this.options;
		return {
			prefill: this.#prefillSpeed?.learned ?? learned?.prefill,
			direct: this.#directSpeed?.learned ?? learned?.direct,
			outputs: this.#sizes?.moments ?? learned?.outputs,
			reads: this.#pauses.figures,
		};
	}

	/** Rate at which prefill engines read, in tokens per millisecond: the estimate while a few prompts say little. */
	get prefillTokensPerMs(): number {
		const {prefill, learned} = this.options;
		return (this.#prefillSpeed?.learned ?? learned?.prefill ?? prefill)?.tokensPerMs ?? this.#usualTokensPerMs;
	}

	get #prefillLatencyMs(): number {
		return this.#prefillSpeed?.latencyMs ?? 0;
	}

	/** Whether decode engines can read prompts themselves. */
	get canReadDirectly(): boolean {
		return this.#directSpeed !== undefined;
	}

	/** Memory pieces that a stream is expected to hold while it runs. */
	piecesOf({promptTokens, maxTokens, pieces}: PlacementRequest): number {
		const {memory} = this.options;
		return memory === undefined ? pieces : countPieces(promptTokens + Math.ceil(this.#sizes!.expected(maxTokens)), memory.pieceTokens);
	}

	/** Memory pieces to keep free beside running streams: their outputs vary, and the varying parts add up by their squares. */
	reservePieces(streams: number): number {
		return Math.ceil(reserveDeviations * Math.sqrt(streams * this.#pieceVariance));
	}

	/** Predicts a prefill of `tokens` that is ordered now. */
	predict(prefill: EngineId, tokens: number, now: Instant): Prediction {
		const line = this.#line(prefill);
		const prefillStartsAt = line.endsAt(now);
		const prefillEndsAt = addMs(prefillStartsAt, line.durationMs(tokens) + this.#prefillLatencyMs);
		const transferStartsAt = this.#isLinkShared ? Math.max(prefillEndsAt, this.#link.endsAt(now)) as Instant : prefillEndsAt;
		const transferEndsAt = addMs(transferStartsAt, this.#linkMs(tokens));
		return {
			prefillStartsAt, prefillEndsAt, transferStartsAt, transferEndsAt,
		};
	}

	/** Whether an engine owes an answer for so long that it may not answer at all. */
	isStalled(prefill: EngineId, now: Instant): boolean {
		return this.#line(prefill).overdueMs(now) > stalledMs;
	}

	/** Predicts the first output of a decode engine that reads a prompt itself; undefined where engines can't. */
	predictDirect(decode: EngineId, tokens: number, now: Instant): {readonly startsAt: Instant; readonly firstOutputAt: Instant} | undefined {
		if (this.#directSpeed === undefined) {
			return undefined;
		}

		const line = this.#line(decode, this.#directSpeed);
		const startsAt = line.endsAt(now);
		return {startsAt, firstOutputAt: addMs(startsAt, line.durationMs(tokens) + this.#directSpeed.latencyMs)};
	}

	/** How long a prefill of `tokens` and its transfer take on idle engines, in milliseconds. */
	aloneMs(tokens: number): number {
		return (this.#prefillSpeed?.predictMs(tokens) ?? tokens / this.#usualTokensPerMs) + this.#linkMs(tokens);
	}

	/** How long a queue of `tokens` takes to drain, in milliseconds; 0 while unknown. */
	queueMs(tokens: number): number {
		return this.#drainedTokens === 0 ? 0 : (tokens * this.#drainMs) / this.#drainedTokens;
	}

	/** Streams that keep a decode engine within the target; undefined while unknown. */
	maxStreams(engine: EngineId, betweenMs: number): number | undefined {
		return this.#batches.get(engine)?.model.maxStreams(betweenMs);
	}

	/** Whether the streams of a decode engine stay steady while it reads one more prompt itself. */
	keepsSteady({id, running}: Pick<EngineView, 'id' | 'running'>, {promptTokens, steadyGapMs}: PlacementRequest, now: Instant): boolean {
		return running === 0 || steadyGapMs === undefined || this.#pauses.fits(id, promptTokens, this.#msPerDirectToken(id), steadyGapMs, now);
	}

	observe(event: PolicyEvent, now: Instant): void {
		switch (event.kind) {
			case 'granted': {
				this.#granted(event, now);
				break;
			}

			case 'streams': {
				this.#batch(event.engine, now).granted = event.streams;
				break;
			}

			case 'prefillDone': {
				this.#prefillDone(event.hold, now);
				break;
			}

			case 'transferDone': {
				this.#transferDone(event.hold, now);
				break;
			}

			case 'released': {
				this.#released(event, now);
				break;
			}
		}
	}

	#granted({req, decode, prefill, waiting}: Extract<PolicyEvent, {kind: 'granted'}>, now: Instant): void {
		if (this.options.memory !== undefined) {
			const variance = this.#sizes!.variance(req.maxTokens) / (this.options.memory.pieceTokens ** 2);
			this.#pieceVariance += usualWeight * (variance - this.#pieceVariance);
		}

		this.#learnDrain(req, waiting, now);
		const isDirect = prefill === decode;
		const {prefillEndsAt} = this.predict(prefill, req.promptTokens, now);
		const line = this.#line(prefill, isDirect ? this.#directSpeed : this.#prefillSpeed);
		const freeAt = line.endsAt(now);
		// Behind an unanswered prompt, a wait inside the engine would pass for latency
		const isCertain = freeAt <= now && line.jobs === 0;
		line.add(req, req.promptTokens, now);
		if (isDirect && req.steadyGapMs !== undefined) {
			this.#pauses.noteRead(decode, req.promptTokens, req.steadyGapMs, now);
		}

		if (this.#isLinkShared) {
			this.#link.add(req, req.promptTokens, prefillEndsAt);
		}

		this.#streams.set(holdKey(req), {
			decode, prefill, tokens: req.promptTokens, maxTokens: req.maxTokens, readableAt: isCertain ? freeAt : undefined, startedArea: undefined, startedAt: undefined,
		});
		this.#batch(decode, now).pending += 1;
	}

	#prefillDone(hold: EngineHold, now: Instant): void {
		const stream = this.#streams.get(holdKey(hold));
		if (stream === undefined) {
			return;
		}

		const isDirect = stream.prefill === stream.decode;
		const line = this.#line(stream.prefill, isDirect ? this.#directSpeed : this.#prefillSpeed);
		line.remove(hold, now, true);
		if (stream.readableAt !== undefined) {
			(isDirect ? this.#directSpeed : this.#prefillSpeed)?.learn(stream.tokens, now - stream.readableAt);
		}

		if (!isDirect) {
			this.#usualTokensPerMs += usualWeight * (line.tokensPerMs - this.#usualTokensPerMs);
		}
	}

	/** Counts the tokens granted and the time between grants while requests were waiting. */
	#learnDrain(req: PlacementRequest, waiting: number, now: Instant): void {
		const gapMs = now - (this.#grantedAt ?? now);
		this.#grantedAt = now;
		if (waiting === 0) {
			this.#grantedAt = undefined;
		}

		const kept = Math.exp(-gapMs / drainMemoryMs);
		if (gapMs > 0 || waiting > 0) {
			this.#drainedTokens = (this.#drainedTokens * kept) + req.promptTokens;
			this.#drainMs = (this.#drainMs * kept) + gapMs;
		}
	}

	#transferDone(hold: EngineHold, now: Instant): void {
		const stream = this.#streams.get(holdKey(hold));
		if (stream === undefined || stream.startedAt !== undefined) {
			return;
		}

		this.#link.remove(hold, now, true);
		const batch = this.#batch(stream.decode, now);
		stream.startedAt = now;
		stream.startedArea = batch.area;
		batch.pending -= 1;
	}

	#released({hold, pace, outputTokens}: Extract<PolicyEvent, {kind: 'released'}>, now: Instant): void {
		const key = holdKey(hold);
		const stream = this.#streams.get(key);
		if (stream === undefined) {
			return;
		}

		this.#streams.delete(key);
		if (outputTokens !== undefined) {
			this.#sizes?.learn(outputTokens, stream.maxTokens);
		}

		this.#line(stream.prefill).remove(hold, now, false);
		this.#link.remove(hold, now, false);
		const batch = this.#batch(stream.decode, now);
		if (stream.startedAt === undefined) {
			batch.pending -= 1;
			return;
		}

		const lifeMs = now - stream.startedAt;
		if (pace !== undefined && lifeMs > 0) {
			batch.model.learn((batch.area - stream.startedArea!) / lifeMs, pace.betweenMs);
		}

		if (pace?.longestMs !== undefined) {
			const {betweenMs, longestMs} = pace;
			this.#pauses.learn(stream.decode, {startedAt: stream.startedAt, betweenMs, longestMs}, this.#msPerDirectToken(stream.decode));
		}
	}

	#msPerDirectToken(decode: EngineId): number {
		return this.#line(decode, this.#directSpeed).durationMs(1);
	}

	#linkMs(tokens: number): number {
		return this.#isLinkShared ? this.#link.durationMs(tokens) : 0;
	}

	#line(engine: EngineId, speed: ReadSpeed | undefined = this.#prefillSpeed): Line {
		const line = this.#prefillLines.get(engine) ?? (speed === undefined ? new WorkLine(initialPrefillTokensPerMs) : new PipelinedLine(speed));
		this.#prefillLines.set(engine, line);
		return line;
	}

	/** The engine's batch with its integral brought up to now. */
	#batch(decode: EngineId, now: Instant): Batch {
		const batch = this.#batches.get(decode) ?? {
			model: new BatchModel(), granted: 0, pending: 0, area: 0, changedAt: now,
		};
		batch.area += Math.max(0, batch.granted - batch.pending) * (now - batch.changedAt);
		batch.changedAt = now;
		this.#batches.set(decode, batch);
		return batch;
	}
}
