/** Random numbers in the core: the source is passed in. */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** A source of uniform random numbers. */
export type RandomSource = {
	/** Returns a number in [0, 1). */
	next(): number;
};

/**
 * Creates a source that repeats its numbers for the same seed.
 *
 * @example
 * const random = createSeededRandom(7);
 * random.next(); // The same number in every run
 */
export const createSeededRandom = (seed: number): RandomSource => {
	const generator = xoroshiro128plus(seed);
	return {next: () => uniformFloat64(generator)};
};

/**
 * Returns a whole number in [0, bound).
 *
 * @example
 * pickIndex(random, 3); // 0, 1 or 2
 */
export const pickIndex = (random: RandomSource, bound: number): number => Math.floor(random.next() * bound);
