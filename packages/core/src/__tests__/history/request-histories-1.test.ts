import {expect, test} from 'vitest';
import {
	allReservationTransitions, allRequestTransitions, runHistories, runsPerFile,
} from './run-histories.js';

test('12,500 histories violate no invariant and reach every transition, seed 1', () => {
	const coverage = runHistories(1, runsPerFile);
	expect(coverage.histories).toBe(runsPerFile);
	expect(allRequestTransitions.filter(name => !coverage.transitions.has(name))).toEqual([]);
	expect(allReservationTransitions.filter(name => !coverage.memory.has(name))).toEqual([]);
});
