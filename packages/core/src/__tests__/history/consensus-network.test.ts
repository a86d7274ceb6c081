import {expect, test} from 'vitest';
import {profiles, runSchedules} from './consensus-schedules.js';

test('no schedule of the profile "network" breaks the log', () => {
	const acknowledgedCount = runSchedules(profiles.network, 1, 16_000);
	expect(acknowledgedCount).toBeGreaterThan(8000);
});
