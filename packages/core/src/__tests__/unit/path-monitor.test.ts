import {expect, test} from 'vitest';
import {PathMonitor, toId} from '@baobabpier/core';
import type {BackendId, Instant, ProbeRound} from '@baobabpier/core';

const at = (ms: number): Instant => ms as Instant;

type Step =
	| {readonly kind: 'send' | 'response'; readonly ms: number}
	/** A failure of a server; of the same one where none is named. */
	| {readonly kind: 'failure'; readonly ms: number; readonly server?: string}
	/** Servers that rounds of probes reach of four, since the probe before. */
	| {readonly kind: 'probe'; readonly ms: number; readonly reached: number};

/** Applies the steps; returns the state and the number of rounds of probes. */
const run = (steps: readonly Step[]): readonly [string, number] => {
	const monitor = new PathMonitor();
	let rounds = 0;
	let now = 0;
	for (const [index, step] of steps.entries()) {
		const next = steps.slice(index).find(({kind}) => kind === 'probe');
		const reached = next?.kind === 'probe' ? next.reached : 4;
		for (; now <= step.ms; now += 10) {
			if (monitor.isProbeDue(at(now))) {
				rounds += 1;
				const round: ProbeRound = {tried: 4, reached};
				monitor.recordProbes(round, at(now));
			}
		}

		switch (step.kind) {
			case 'send': {
				monitor.recordSend(at(step.ms));

				break;
			}

			case 'response': {
				monitor.recordResponse();

				break;
			}

			case 'failure': {
				monitor.recordFailure(toId<BackendId>(step.server ?? 's'), at(step.ms));

				break;
			}
		// No default
		}
	}

	return [monitor.state, rounds];
};

test.each<{readonly name: string; readonly steps: readonly Step[]; readonly state: string; readonly rounds: number}>([
	{
		name: 'nothing was sent', steps: [{kind: 'probe', ms: 5000, reached: 0}], state: 'open', rounds: 0,
	},
	{
		name: 'a server that responds', steps: [{kind: 'send', ms: 0}, {kind: 'response', ms: 400}, {kind: 'probe', ms: 5000, reached: 0}], state: 'open', rounds: 0,
	},
	{
		name: 'a failed connection while others are reached', steps: [{kind: 'failure', ms: 0}, {kind: 'probe', ms: 300, reached: 1}], state: 'open', rounds: 1,
	},
	{
		name: 'one round that reaches none', steps: [{kind: 'failure', ms: 0}, {kind: 'probe', ms: 100, reached: 0}], state: 'doubtful', rounds: 1,
	},
	{
		name: 'two rounds that reach none', steps: [{kind: 'failure', ms: 0}, {kind: 'probe', ms: 300, reached: 0}], state: 'cut', rounds: 2,
	},
	{
		name: 'all servers are silent, and accept connections', steps: [{kind: 'send', ms: 0}, {kind: 'probe', ms: 700, reached: 4}], state: 'open', rounds: 1,
	},
	{
		name: 'no response, and no connection', steps: [{kind: 'send', ms: 0}, {kind: 'probe', ms: 900, reached: 0}], state: 'cut', rounds: 2,
	},
	{
		name: 'connections that live on while new ones fail', steps: [{kind: 'failure', ms: 0}, {kind: 'send', ms: 5}, {kind: 'response', ms: 50}, {kind: 'probe', ms: 300, reached: 0}], state: 'cut', rounds: 2,
	},
	{
		name: 'a path that is back', steps: [{kind: 'failure', ms: 0}, {kind: 'probe', ms: 300, reached: 0}, {kind: 'probe', ms: 1200, reached: 3}], state: 'open', rounds: 4,
	},
	{
		name: 'a path of which one server is back', steps: [{kind: 'failure', ms: 0}, {kind: 'probe', ms: 300, reached: 0}, {kind: 'probe', ms: 1200, reached: 1}], state: 'cut', rounds: 4,
	},
	{
		name: 'many failures of a lost server', steps: [...Array.from({length: 90}, (_, index): Step => ({kind: 'failure', ms: index * 10})), {kind: 'probe', ms: 950, reached: 4}], state: 'open', rounds: 1,
	},
	{
		name: 'a path that is lost right after a lost server', steps: [{kind: 'failure', ms: 0}, {kind: 'probe', ms: 90, reached: 3}, {kind: 'failure', ms: 300, server: 'other'}, {kind: 'probe', ms: 600, reached: 0}], state: 'cut', rounds: 3,
	},
	{
		name: 'a path that is lost within milliseconds of a lost server', steps: [{kind: 'failure', ms: 0}, {kind: 'probe', ms: 10, reached: 3}, {kind: 'failure', ms: 20, server: 'other'}, {kind: 'probe', ms: 400, reached: 0}], state: 'cut', rounds: 3,
	},
	{
		name: 'many failures of many lost servers', steps: [...Array.from({length: 90}, (_, index): Step => ({kind: 'failure', ms: index * 10, server: `s${index}`})), {kind: 'probe', ms: 950, reached: 4}], state: 'open', rounds: 10,
	},
])('$name', ({steps, state, rounds}) => {
	expect(run(steps)).toEqual([state, rounds]);
});
