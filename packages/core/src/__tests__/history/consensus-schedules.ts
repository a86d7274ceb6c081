/** Fault profiles, and runs of schedules generated from them. */
import {ConsensusSimulation} from './consensus-simulation.js';
import type {Action, Mutation, Profile} from './consensus-simulation.js';

const baseWeights: Record<Action, number> = {
	advance: 12, deliver: 60, sync: 24, command: 8, read: 3, drop: 0, repeat: 0, crash: 0, loseDisk: 0, cut: 0, heal: 0, freeze: 0, compact: 0, transfer: 0, fillDisk: 0,
};

/** Profiles by the faults that they inject. */
export const profiles = {
	network: {
		replicas: 3, steps: 300, maxEntriesPerMessage: 4, weights: {
			...baseWeights, drop: 6, repeat: 8, cut: 3, heal: 2,
		},
	},
	crashes: {
		replicas: 3, steps: 300, maxEntriesPerMessage: 4, weights: {
			...baseWeights, drop: 2, crash: 4, compact: 2,
		},
	},
	disks: {
		replicas: 3, steps: 450, maxEntriesPerMessage: 4, weights: {
			...baseWeights, crash: 2, loseDisk: 3, compact: 2, drop: 1,
		},
	},
	fullDisks: {
		replicas: 3, steps: 450, maxEntriesPerMessage: 4, weights: {
			...baseWeights, fillDisk: 3, crash: 1, loseDisk: 1, compact: 2, transfer: 1, drop: 1,
		},
	},
	freezes: {
		replicas: 3, steps: 400, maxEntriesPerMessage: 4, weights: {
			...baseWeights, freeze: 1, transfer: 1, cut: 1, heal: 1,
		},
	},
	replacements: {
		replicas: 6, voters: 3, steps: 900, maxEntriesPerMessage: 4, weights: {
			...baseWeights, deliver: 150, sync: 60, freeze: 2, crash: 2, cut: 1, heal: 1, compact: 1,
		},
	},
	leaders: {
		replicas: 3, steps: 400, maxEntriesPerMessage: 1, weights: {
			...baseWeights, advance: 20, command: 12, crash: 4, cut: 4, heal: 3, sync: 40,
		},
	},
	everything: {
		replicas: 5, steps: 600, maxEntriesPerMessage: 2, weights: {
			...baseWeights, deliver: 150, sync: 50, drop: 4, repeat: 5, crash: 2, loseDisk: 1, cut: 1, heal: 2, freeze: 1, compact: 1, transfer: 1,
		},
	},
} as const satisfies Record<string, Profile>;

/** Runs schedules of a profile; the error message of a failure contains its seed. */
export const runSchedules = (profile: Profile, from: number, count: number, mutation?: Mutation): number => {
	let acknowledgedCount = 0;
	for (let seed = from; seed < from + count; seed++) {
		const simulation = new ConsensusSimulation(seed, profile, mutation);
		try {
			simulation.run();
		} catch (error) {
			throw new Error(`seed ${seed}: ${(error as Error).message}`, {cause: error});
		}

		acknowledgedCount += simulation.acknowledgedCount;
	}

	return acknowledgedCount;
};
