import {expect, test} from 'vitest';
import {ManualClock, toId} from '@baobabpier/core';
import type {EngineId} from '@baobabpier/core';
import {EngineSuspects} from '../../pools/engine-suspects.js';

const engine = toId<EngineId>('e1');

type Step = 'responded' | 'failed' | 'served' | 'unreachable' | number;

const cases: ReadonlyArray<{readonly name: string; readonly steps: readonly Step[]; readonly isSuspect: boolean}> = [
	{name: 'one failure', steps: ['failed'], isSuspect: false},
	{name: 'two failures', steps: ['failed', 'failed'], isSuspect: true},
	{name: 'two failures with successful calls between them', steps: ['failed', 'served', 'served', 'failed'], isSuspect: false},
	{name: 'failures of an engine that responds to status requests', steps: ['failed', 'failed', 10, 'responded'], isSuspect: true},
	{name: 'unreachable engine that responds again', steps: ['unreachable', 10, 'responded'], isSuspect: false},
	{name: 'failing and unreachable engine that responds again', steps: ['failed', 'failed', 'unreachable', 10, 'responded'], isSuspect: true},
	{name: 'failures that expired after a second', steps: ['failed', 'failed', 1100], isSuspect: false},
	{name: 'another failure after that, doubled exclusion', steps: ['failed', 'failed', 1100, 'failed', 1100], isSuspect: true},
	{name: 'another failure after successful calls', steps: ['failed', 'failed', 1100, 'served', 'served', 'served', 'failed'], isSuspect: false},
];

test.each(cases)('$name: suspect $isSuspect', ({steps, isSuspect}) => {
	const clock = new ManualClock();
	const suspects = new EngineSuspects(clock, () => undefined);
	for (const step of steps) {
		switch (step) {
			case 'failed': {
				suspects.recordFailure(engine);
				break;
			}

			case 'served': {
				suspects.recordSuccess(engine);
				break;
			}

			case 'unreachable': {
				suspects.markUnreachable([engine]);
				break;
			}

			case 'responded': {
				suspects.recordResponse(engine, clock.now());
				break;
			}

			default: {
				clock.advance(step);
				suspects.expire();
			}
		}
	}

	expect(suspects.ids.has(engine)).toBe(isSuspect);
});
