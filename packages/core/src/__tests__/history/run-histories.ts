/** Generates histories from a fixed seed and runs the simulation with them. */
import fc from 'fast-check';
import {createCoverage} from './coverage.js';
import type {Coverage} from './coverage.js';
import {actionCount, Simulation} from './simulation.js';
import type {SimulationOptions} from './simulation.js';
import {reservationTransitions, requestTransitions} from '@baobabpier/core';

const historyLength = {minLength: 30, maxLength: 150, size: 'max'} as const;

const history = fc.array(fc.nat({max: actionCount * 4096}), historyLength);

/** Number of histories in each of the eight test files, which run in parallel. */
export const runsPerFile = 12_500;

/** Every transition of the request table, as `from event to`. */
export const allRequestTransitions: readonly string[] = Object.entries(requestTransitions).flatMap(([from, events]) =>
	Object.entries(events as Record<string, readonly string[]>).flatMap(([event, targets]) => targets.map(to => `${from} ${event} ${to}`)));

/** Every transition of the reservation table, as `from to`. */
export const allReservationTransitions: readonly string[] = Object.entries(reservationTransitions).flatMap(([from, events]) =>
	Object.values(events as Record<string, {to: string}>).map(({to}) => `${from} ${to}`));

/** Runs `runs` histories; throws with a shrunk history when a check fails. */
export const runHistories = (seed: number, runs: number, options: SimulationOptions = {}): Coverage => {
	const coverage = createCoverage();
	fc.assert(fc.property(fc.boolean(), history, (hasLowFaultRate, choices) => {
		const simulation = new Simulation(options, coverage, hasLowFaultRate);
		for (const choice of choices) {
			simulation.runAction(choice);
		}

		simulation.settleAndCheck();
	}), {seed, numRuns: runs, endOnFailure: options.endsOnFailure});
	return coverage;
};

/** Runs histories until a check fails; returns its code, or undefined when none does. */
export const findViolation = (seed: number, runs: number, options: SimulationOptions): string | undefined => {
	try {
		runHistories(seed, runs, options);
		return undefined;
	} catch (error) {
		const {cause} = error as {cause?: {code?: string}};
		return cause?.code ?? String(error);
	}
};
