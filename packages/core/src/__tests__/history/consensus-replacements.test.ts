import {expect, test} from 'vitest';
import {profiles, runSchedules} from './consensus-schedules.js';

// Guards against replicas that stay outside of the membership for good after a freeze, a cut or a restart
test.each([0, 2000])('replaced replicas are members again after all faults, seeds from %i', from => {
	expect(runSchedules(profiles.replacements, from, 2000)).toBeGreaterThan(2000);
});
