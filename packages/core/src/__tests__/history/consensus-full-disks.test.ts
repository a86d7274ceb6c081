import {expect, test} from 'vitest';
import {profiles, runSchedules} from './consensus-schedules.js';

test('no schedule of the profile "fullDisks" breaks the log', () => {
	const acknowledgedCount = runSchedules(profiles.fullDisks, 1, 20_000);
	expect(acknowledgedCount).toBeGreaterThan(12_000);
});
