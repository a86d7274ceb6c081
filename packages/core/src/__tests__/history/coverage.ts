/** Counts of the states and faults that a run of histories covered. */
export type Coverage = {
	readonly transitions: Map<string, number>;
	readonly memory: Map<string, number>;
	readonly outcomes: Map<string, number>;
	readonly faults: Map<string, number>;
	histories: number;
};

export const createCoverage = (): Coverage => ({
	transitions: new Map(), memory: new Map(), outcomes: new Map(), faults: new Map(), histories: 0,
});

/** Increments a counter. */
export const increment = (counts: Map<string, number>, key: string): void => {
	counts.set(key, (counts.get(key) ?? 0) + 1);
};
