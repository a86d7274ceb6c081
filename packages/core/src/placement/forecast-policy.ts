/** Starts a prefill only if its result will find a decode place and a transfer slot, and sheds what can't meet its target. */
import type {LatencyTargets, ServiceClass} from '../catalogue/types.js';
import {routerError} from '../errors.js';
import type {EngineId} from '../ids.js';
import {addMs} from '../time.js';
import type {Instant} from '../time.js';
import {findEngine, maxExamined} from './find-engine.js';
import {Forecast} from './forecast.js';
import type {ForecastOptions, Prediction} from './forecast.js';
import type {LearnedFigures} from './learned-figures.js';
import type {
	Admission, EngineIndex, EngineView, PlacementDecision, PlacementPolicy, PlacementRequest, PolicyEvent, QueueView,
} from './types.js';

/** How long before its engine is free a prefill may be ordered: covers the way of the order. */
const orderAheadMs = 30;
/** How long an engine keeps a prefill's result. */
const resultKeptMs = 800;

/**
 * The part of `resultKeptMs` that a result may be expected to wait for the link.
 * Urgent requests take the risk of a wasted prefill, patient ones wait for a free link.
 */
const linkWaitPart: Readonly<Record<ServiceClass, number>> = {urgent: 0.8, patient: 0.3};
/** A prompt is read by a decode engine itself when the prefill engines are busy for longer than this, in milliseconds. */
const directAfterMs = 80;
/** A broken stream goes on regardless of the pause that it causes when its wait ends within this, in milliseconds. */
const lastChanceMs = 300;
/** The part of the time to the first output that a new request's predicted wait may take. */
const admittedPart = 0.8;

/**
 * Places requests on the least loaded engines by what they will have free, not by what they have.
 *
 * @example
 * const policy = new ForecastPolicy(service.targets);
 * const pool = new EnginePool(self, policy, service.limits, timings);
 */
export class ForecastPolicy implements PlacementPolicy {
	readonly #forecast: Forecast;

	constructor(private readonly targets: Pick<LatencyTargets, 'betweenOutputsMs'>, options?: ForecastOptions) {
		this.#forecast = new Forecast(options);
	}

	get name(): string {
		return 'forecast';
	}

	admit(req: PlacementRequest, queue: QueueView, now: Instant): Admission {
		if (req.readsDirectly === true) {
			return {kind: 'queue'};
		}

		if (req.firstOutputBy !== undefined && addMs(now, this.#forecast.aloneMs(req.promptTokens) + this.targets.betweenOutputsMs) > req.firstOutputBy) {
			return {kind: 'defer'};
		}

		const targetMs = req.firstOutputBy === undefined ? Number.POSITIVE_INFINITY : (req.firstOutputBy - now) * admittedPart;
		const allowedMs = Math.min(targetMs, req.acceptWaitMs ?? Number.POSITIVE_INFINITY);
		const waitMs = queue.length === 0 ? 0 : this.#forecast.queueMs(queue.tokensAhead(req) + req.promptTokens);
		return waitMs > allowedMs ? {kind: 'refuse', error: routerError('overloaded', undefined, Math.ceil(waitMs - allowedMs))} : {kind: 'queue'};
	}

	decide(req: PlacementRequest, engines: EngineIndex, now: Instant, late = false): PlacementDecision {
		const isUsable = (engine: EngineView): boolean => !req.excluded.includes(engine.id);
		const choice = req.readsDirectly === true ? undefined : this.#choosePrefill(req, engines, isUsable, now);
		if (findEngine(engines.byLoad('decode'), isUsable) === undefined) {
			return {kind: 'refuse', error: routerError('noBackend')};
		}

		if (engines.largestPieces < req.pieces) {
			return {kind: 'refuse', error: routerError('promptTooLong', `${req.promptTokens} tokens need ${req.pieces} pieces`)};
		}

		const isPrefillBusy = choice === undefined || choice.prediction.prefillStartsAt - now > directAfterMs;
		const direct = isPrefillBusy ? this.#chooseDirect(req, engines, isUsable, choice?.prediction, now) : undefined;
		if (direct !== undefined) {
			return {kind: 'reserve', decode: direct, prefill: direct};
		}

		if (choice === undefined) {
			return this.#forecast.canReadDirectly ? {kind: 'wait', lacks: 'memory'} : {kind: 'refuse', error: routerError('noBackend')};
		}

		const firstOutputAt = addMs(choice.prediction.transferEndsAt, this.targets.betweenOutputsMs);
		if (!late && req.firstOutputBy !== undefined && firstOutputAt > req.firstOutputBy) {
			return req.class === 'urgent' ? {kind: 'refuse', error: routerError('overloaded')} : {kind: 'defer'};
		}

		const {prefillStartsAt, prefillEndsAt, transferStartsAt} = choice.prediction;
		if (prefillStartsAt - now > orderAheadMs || transferStartsAt - prefillEndsAt > resultKeptMs * linkWaitPart[req.class]) {
			return {kind: 'wait', lacks: 'other'};
		}

		const decode = findEngine(engines.byLoad('decode'), engine => isUsable(engine) && engine.freePieces >= req.pieces && engine.running < engine.maxStreams);
		return decode === undefined ? {kind: 'wait', lacks: 'memory'} : {kind: 'reserve', decode, prefill: choice.engine};
	}

	observe(event: PolicyEvent, now: Instant): void {
		this.#forecast.observe(event, now);
	}

	get learned(): LearnedFigures {
		return this.#forecast.learned;
	}

	/** Rate at which prefill engines read, in tokens per millisecond. */
	get prefillTokensPerMs(): number {
		return this.#forecast.prefillTokensPerMs;
	}

	piecesOf(req: PlacementRequest): number {
		return this.#forecast.piecesOf(req);
	}

	reservePieces(streams: number): number {
		return this.#forecast.reservePieces(streams);
	}

	maxStreams(engine: EngineId): number | undefined {
		return this.#forecast.maxStreams(engine, this.targets.betweenOutputsMs);
	}

	/** A decode engine that reads the prompt itself, if it has room, reads no other prompt, and answers sooner than a prefill engine. */
	#chooseDirect(req: PlacementRequest, engines: EngineIndex, isUsable: (engine: EngineView) => boolean, busy: Prediction | undefined, now: Instant): EngineView | undefined {
		// A broken stream that reads too long for the others delays those of one engine rather than end unfinished
		const isLastChance = req.readsDirectly === true && req.deadline - now < lastChanceMs;
		const apartAt = busy === undefined ? Number.POSITIVE_INFINITY : addMs(busy.transferEndsAt, this.targets.betweenOutputsMs);
		return findEngine(engines.byLoad('decode'), engine => {
			const direct = this.#forecast.predictDirect(engine.id, req.promptTokens, now);
			return direct !== undefined && isUsable(engine) && engine.freePieces >= req.pieces && engine.running < engine.maxStreams
				&& direct.startsAt - now <= orderAheadMs && direct.firstOutputAt < apartAt && (isLastChance || this.#forecast.keepsSteady(engine, req, now));
		});
	}

	/** The engine that ends the prefill first, among the least loaded. */
	#choosePrefill(req: PlacementRequest, engines: EngineIndex, isUsable: (engine: EngineView) => boolean, now: Instant): {engine: EngineView; prediction: Prediction} | undefined {
		let best: {engine: EngineView; prediction: Prediction} | undefined;
		let stalled: typeof best;
		let examined = 0;
		for (const engine of engines.byLoad('prefill')) {
			if (isUsable(engine)) {
				const prediction = this.#forecast.predict(engine.id, req.promptTokens, now);
				if (this.#forecast.isStalled(engine.id, now)) {
					stalled ??= {engine, prediction};
				} else {
					best = best === undefined || prediction.transferEndsAt < best.prediction.transferEndsAt ? {engine, prediction} : best;
				}
			}

			examined += 1;
			if (examined >= maxExamined) {
				break;
			}
		}

		return best ?? stalled;
	}
}
