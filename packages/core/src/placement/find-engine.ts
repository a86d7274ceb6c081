/** Bounded search for a usable engine among the least loaded ones. */
import type {EngineView} from './types.js';

/** Maximum number of engines that one decision examines. */
export const maxEnginesExamined = 8;

/**
 * Returns the first usable engine among the first `maxEnginesExamined`; undefined when there is none.
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
