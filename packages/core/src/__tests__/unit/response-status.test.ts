import {expect, test} from 'vitest';
import {judgeStatus} from '../../index.js';

test.each([
	{statuses: [200, 204, 299, 304, 404, 421, 503, 599], verdict: 'final'},
	{statuses: [100, 102, 103], verdict: 'interim'},
	{
		statuses: [0, 1, 99, 101, 104, 199, 600, 999], verdict: 'invalid',
	},
])('$statuses are $verdict', ({statuses, verdict}) => {
	expect(statuses.map(status => judgeStatus(status))).toEqual(statuses.map(() => verdict));
});
