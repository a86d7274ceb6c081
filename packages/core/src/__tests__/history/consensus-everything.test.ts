import {expect, test} from 'vitest';
import {profiles, runSchedules} from './consensus-schedules.js';

test('no schedule of the profile "everything" breaks the log', () => {
	const acknowledgedCount = runSchedules(profiles.everything, 1, 16_000);
	expect(acknowledgedCount).toBeGreaterThan(8000);
});
