import {expect, test} from 'vitest';
import {profiles, runSchedules} from './consensus-schedules.js';

test('no schedule of the profile "disks" breaks the log', () => {
	const acknowledgedCount = runSchedules(profiles.disks, 1, 20_000);
	expect(acknowledgedCount).toBeGreaterThan(10_000);
});
