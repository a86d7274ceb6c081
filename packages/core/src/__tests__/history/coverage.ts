/** Counts of what a run of histories reached. */
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

/** Adds one to a count. */
export const increment = (counts: Map<string, number>, key: string): void => {
	counts.set(key, (counts.get(key) ?? 0) + 1);
};
