import {expect, test} from 'vitest';
import {profiles, runSchedules} from './consensus-schedules.js';

test('no schedule of the profile "crashes" breaks the log', () => {
	const acknowledgedCount = runSchedules(profiles.crashes, 1, 16_000);
	expect(acknowledgedCount).toBeGreaterThan(8000);
});
