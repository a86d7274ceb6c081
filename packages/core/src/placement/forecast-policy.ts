/** Starts a prefill only if a decode slot and a transfer slot will be free for its result, and sheds requests that can't meet their target. */
import type {LatencyTargets, ServiceClass} from '../catalogue/types.js';
import {routerError} from '../errors.js';
import type {EngineId} from '../ids.js';
import {addMs} from '../time.js';
import type {Instant} from '../time.js';
import {findEngine, maxEnginesExamined} from './find-engine.js';
import {Forecast} from './forecast.js';
import type {ForecastOptions, PrefillPrediction} from './forecast.js';
import type {LearnedEstimates} from './learned-estimates.js';
import type {
	PlacementAdmission, EngineIndex, EngineView, MemoryDemand, PlacementDecision, PlacementPolicy, PlacementRequest, PolicyEvent, QueueView,
} from './types.js';

/** How long before its engine is free a prefill may be dispatched: covers the network latency of the dispatch. */
const dispatchAheadMs = 30;
/** How long an engine keeps a prefill's result, in milliseconds. */
const resultTtlMs = 800;

/**
 * Fraction of `resultTtlMs` that a result may be predicted to wait for the link.
 * Urgent requests risk a wasted prefill; patient ones wait for a free link.
 */
const linkWaitFraction: Readonly<Record<ServiceClass, number>> = {urgent: 0.8, patient: 0.3};
/** A decode engine runs the prefill itself when the prefill engines are busy for longer than this, in milliseconds. */
const directPrefillThresholdMs = 80;
/** A broken stream resumes regardless of the stall that it causes when its wait ends within this many milliseconds. */
const finalAttemptMs = 300;
/** Fraction of the time to the first output that a new request's predicted wait may take. */
const admittedFraction = 0.8;

/**
 * Places requests on the least loaded engines by their predicted free capacity instead of their current one.
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

	admit(req: PlacementRequest, queue: QueueView, now: Instant): PlacementAdmission {
		if (req.readsDirectly === true) {
			return {kind: 'queue'};
		}

		if (req.firstOutputDeadline !== undefined && addMs(now, this.#forecast.unloadedMs(req.promptTokens) + this.targets.betweenOutputsMs) > req.firstOutputDeadline) {
			return {kind: 'defer'};
		}

		const targetMs = req.firstOutputDeadline === undefined ? Number.POSITIVE_INFINITY : (req.firstOutputDeadline - now) * admittedFraction;
		const allowedMs = Math.min(targetMs, req.acceptWaitMs ?? Number.POSITIVE_INFINITY);
		const waitMs = queue.length === 0 ? 0 : this.#forecast.queueDrainMs(queue.tokensAhead(req) + req.promptTokens);
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

		const isPrefillBusy = choice === undefined || choice.prediction.prefillStartsAt - now > directPrefillThresholdMs;
		const direct = isPrefillBusy ? this.#chooseDirectPrefill(req, engines, isUsable, choice?.prediction, now) : undefined;
		if (direct !== undefined) {
			return {kind: 'reserve', decode: direct, prefill: direct};
		}

		if (choice === undefined) {
			return this.#forecast.supportsDirectPrefill ? {kind: 'wait', shortage: 'memory'} : {kind: 'refuse', error: routerError('noBackend')};
		}

		const firstOutputAt = addMs(choice.prediction.transferEndsAt, this.targets.betweenOutputsMs);
		if (!late && req.firstOutputDeadline !== undefined && firstOutputAt > req.firstOutputDeadline) {
			return req.class === 'urgent' ? {kind: 'refuse', error: routerError('overloaded')} : {kind: 'defer'};
		}

		const {prefillStartsAt, prefillEndsAt, transferStartsAt} = choice.prediction;
		if (prefillStartsAt - now > dispatchAheadMs || transferStartsAt - prefillEndsAt > resultTtlMs * linkWaitFraction[req.class]) {
			return {kind: 'wait', shortage: 'other'};
		}

		const decode = findEngine(engines.byLoad('decode'), engine => isUsable(engine) && engine.freePieces >= req.pieces && engine.running < engine.maxStreams);
		return decode === undefined ? {kind: 'wait', shortage: 'memory'} : {kind: 'reserve', decode, prefill: choice.engine};
	}

	observe(event: PolicyEvent, now: Instant): void {
		this.#forecast.observe(event, now);
	}

	get learned(): LearnedEstimates {
		return this.#forecast.learned;
	}

	/** Rate of prefill engines, in tokens per millisecond. */
	get prefillTokensPerMs(): number {
		return this.#forecast.prefillTokensPerMs;
	}

	expectedPieces(demand: MemoryDemand): number {
		return this.#forecast.expectedPieces(demand);
	}

	headroomPieces(streams: number): number {
		return this.#forecast.reservePieces(streams);
	}

	maxStreams(engine: EngineId): number | undefined {
		return this.#forecast.maxStreams(engine, this.targets.betweenOutputsMs);
	}

	/** A decode engine for a direct prefill: it has capacity, runs no other prefill, and answers sooner than a prefill engine. */
	#chooseDirectPrefill(req: PlacementRequest, engines: EngineIndex, isUsable: (engine: EngineView) => boolean, disaggregated: PrefillPrediction | undefined, now: Instant): EngineView | undefined {
		// Delaying the other streams of one engine is better than ending a broken stream unfinished
		const isFinalAttempt = req.readsDirectly === true && req.deadline - now < finalAttemptMs;
		const prefillEngineOutputAt = disaggregated === undefined ? Number.POSITIVE_INFINITY : addMs(disaggregated.transferEndsAt, this.targets.betweenOutputsMs);
		return findEngine(engines.byLoad('decode'), engine => {
			const direct = this.#forecast.predictDirectPrefill(engine.id, req.promptTokens, now);
			return direct !== undefined && isUsable(engine) && engine.freePieces >= req.pieces && engine.running < engine.maxStreams
				&& direct.startsAt - now <= dispatchAheadMs && direct.firstOutputAt < prefillEngineOutputAt && (isFinalAttempt || this.#forecast.keepsOutputGap(engine, req, now));
		});
	}

	/** The engine with the earliest predicted end of the transfer, among the least loaded. */
	#choosePrefill(req: PlacementRequest, engines: EngineIndex, isUsable: (engine: EngineView) => boolean, now: Instant): {engine: EngineView; prediction: PrefillPrediction} | undefined {
		let best: {engine: EngineView; prediction: PrefillPrediction} | undefined;
		let unresponsive: typeof best;
		let examined = 0;
		for (const engine of engines.byLoad('prefill')) {
			if (isUsable(engine)) {
				const prediction = this.#forecast.predict(engine.id, req.promptTokens, now);
				if (this.#forecast.isUnresponsive(engine.id, now)) {
					unresponsive ??= {engine, prediction};
				} else {
					best = best === undefined || prediction.transferEndsAt < best.prediction.transferEndsAt ? {engine, prediction} : best;
				}
			}

			examined += 1;
			if (examined >= maxEnginesExamined) {
				break;
			}
		}

		return best ?? unresponsive;
	}
}
