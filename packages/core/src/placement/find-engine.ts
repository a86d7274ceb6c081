/** Looks for an engine among the least loaded ones. */
import type {EngineView} from './types.js';

/** Engines looked at by one decision, at most. */
export const maxEnginesExamined = 8;

/**
 * The first engine that is usable among the first `maxExamined`; undefined without one.
 *
 * @example
 * findEngine(index.byLoad('decode'), engine => engine.freePieces >= 4);
 */
export const findEngine = (engines: Iterable<EngineView>, isUsable: (engine: EngineView) => boolean): EngineView | undefined => {
	let examined = 0;
	for (const engine of engines) {
		if (isUsable(engine)) {
			return engine;
		}

		examined += 1;
		if (examined >= maxEnginesExamined) {
			return undefined;
		}
	}

	return undefined;
};
