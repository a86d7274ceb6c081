/** What a pool's owner learned of its engines, to be handed to the next owner. */
import type {OutputMoments} from './output-sizes.js';
import type {PrefillSpeed} from './read-speed.js';

/** Learned figures of one service, as JSON values. */
export type LearnedEstimates = {
	/** How prefill engines read; undefined where no prompt taught it. */
	readonly prefill: PrefillSpeed | undefined;
	/** How decode engines read. */
	readonly direct: PrefillSpeed | undefined;
	/** Powers of the outputs as parts of the most that callers allow. */
	readonly outputs: OutputMoments | undefined;
	readonly reads: {
		/** Mean time between outputs, in milliseconds; 0 before the first stream. */
		readonly betweenMs: number;
		/** Pause for each token that a decode engine reads, as a part of the time that the read takes. */
		readonly stoppedPart: number;
	};
};

/** Change of a figure, as a part of it, from which the figures are worth writing down again. */
const significantChange = 0.1;

const collectNumbers = (value: unknown): readonly number[] => {
	if (typeof value === 'number') {
		return [value];
	}

	return typeof value === 'object' && value !== null ? Object.values(value).flatMap(item => collectNumbers(item)) : [];
};

/**
 * Whether figures differ so much from those written down that a new owner would decide otherwise.
 *
 * @example
 * if (areNotable(state.figures.get(service), pool.learned)) submit(pool.learned);
 */
export const differSignificantly = (before: LearnedEstimates | undefined, now: LearnedEstimates): boolean => {
	const [earlier, later] = [collectNumbers(before), collectNumbers(now)];
	return earlier.length !== later.length || later.some((estimate, index) => Math.abs(estimate - earlier[index]!) > significantChange * Math.abs(earlier[index]!));
};
