/** Power of two choices on free memory pieces. */
import {routerError} from '../errors.js';
import type {RandomSource} from '../random.js';
import type {EngineRole} from '../catalogue/types.js';
import {findEngine} from './find-engine.js';
import type {
	EngineIndex, EngineView, PlacementDecision, PlacementPolicy, PlacementRequest,
} from './types.js';

/** Number of random samples of a role before falling back to the least loaded engine. */
const maxSamples = 4;

/**
 * Samples two engines of each role and chooses the less loaded one.
 *
 * @see Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001.
 */
export class TwoChoicesPolicy implements PlacementPolicy {
	readonly #random: RandomSource;

	constructor(random: RandomSource) {
		this.#random = random;
	}

	get name(): string {
		return 'two-choices';
	}

	decide(req: PlacementRequest, engines: EngineIndex): PlacementDecision {
		const isUsable = (engine: EngineView): boolean => !req.excluded.includes(engine.id);
		const prefill = this.#pickOfTwo(engines, 'prefill', isUsable, engine => engine.queuedTokens);
		const anyDecode = this.#firstUsable(engines, 'decode', isUsable);
		if (prefill === undefined || anyDecode === undefined) {
			return {kind: 'refuse', error: routerError('noBackend')};
		}

		if (engines.largestPieces < req.pieces) {
			return {kind: 'refuse', error: routerError('promptTooLong', `${req.promptTokens} tokens need ${req.pieces} pieces`)};
		}

		const decode = this.#pickOfTwo(engines, 'decode', engine => isUsable(engine) && engine.freePieces >= req.pieces, engine => -engine.freePieces);
		return decode === undefined ? {kind: 'wait', shortage: 'other'} : {kind: 'reserve', decode, prefill};
	}

	#pickOfTwo(engines: EngineIndex, role: EngineRole, isUsable: (engine: EngineView) => boolean, cost: (engine: EngineView) => number): EngineView | undefined {
		const samples: EngineView[] = [];
		for (let index = 0; index < maxSamples && samples.length < 2; index++) {
			const engine = engines.sample(role, this.#random);
			if (engine !== undefined && isUsable(engine)) {
				samples.push(engine);
			}
		}

		const [first, second] = samples;
		if (first === undefined) {
			return this.#firstUsable(engines, role, isUsable);
		}

		return second !== undefined && cost(second) < cost(first) ? second : first;
	}

	#firstUsable(engines: EngineIndex, role: EngineRole, isUsable: (engine: EngineView) => boolean): EngineView | undefined {
		return findEngine(engines.byLoad(role), isUsable);
	}
}
