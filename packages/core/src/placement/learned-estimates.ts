/** Estimates that a pool's owner learned about its engines, handed over to the next owner. */
import type {OutputMoments} from './output-length-model.js';
import type {PrefillSpeed} from './prefill-speed-model.js';

/** Learned estimates for one service, as JSON values. */
export type LearnedEstimates = {
	/** Read speed of prefill engines; undefined before the first measured prompt. */
	readonly prefill: PrefillSpeed | undefined;
	/** Read speed of decode engines; undefined before the first measured prompt. */
	readonly direct: PrefillSpeed | undefined;
	/** Moments of the output length as a fraction of the maximum that callers allow. */
	readonly outputs: OutputMoments | undefined;
	readonly reads: {
		/** Mean time between outputs, in milliseconds; 0 before the first stream. */
		readonly betweenMs: number;
		/** Pause of running streams per token that a decode engine reads, as a fraction of the time that reading the token takes. */
		readonly stoppedPart: number;
	};
};

/** Relative change of an estimate above which the estimates are stored again. */
const significantChange = 0.1;

const collectNumbers = (value: unknown): readonly number[] => {
	if (typeof value === 'number') {
		return [value];
	}

	return typeof value === 'object' && value !== null ? Object.values(value).flatMap(item => collectNumbers(item)) : [];
};

/**
 * Whether the estimates differ so much from the stored ones that a new owner would decide differently.
 *
 * @example
 * if (differSignificantly(state.learned(service), pool.learned)) submit(pool.learned);
 */
export const differSignificantly = (before: LearnedEstimates | undefined, now: LearnedEstimates): boolean => {
	const [earlier, later] = [collectNumbers(before), collectNumbers(now)];
	return earlier.length !== later.length || later.some((estimate, index) => Math.abs(estimate - earlier[index]!) > significantChange * Math.abs(earlier[index]!));
};
