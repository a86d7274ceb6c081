import {expect, test} from 'vitest';
import {profiles, runSchedules} from './consensus-schedules.js';

test('no schedule of the profile "leaders" breaks the log', () => {
	const acknowledgedCount = runSchedules(profiles.leaders, 1, 16_000);
	expect(acknowledgedCount).toBeGreaterThan(8000);
});
