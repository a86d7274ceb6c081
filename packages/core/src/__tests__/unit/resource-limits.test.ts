/** The limits of a process. Guards against a heap that V8 sizes by the host's memory, of which the process may use a part. */
import {expect, test} from 'vitest';
import {heapLimits} from '@baobabpier/core';

const mebibyte = 1024 * 1024;

test.each([
	{megabytes: 16, expected: {oldSpaceMegabytes: 64, semiSpaceMegabytes: 2}},
	{megabytes: 178, expected: {oldSpaceMegabytes: 64, semiSpaceMegabytes: 2}},
	{megabytes: 512, expected: {oldSpaceMegabytes: 264, semiSpaceMegabytes: 8}},
	{megabytes: 4096, expected: {oldSpaceMegabytes: 2414, semiSpaceMegabytes: 16}},
])('heap on a machine with $megabytes MB', ({megabytes, expected}) => {
	expect(heapLimits(megabytes * mebibyte)).toEqual(expected);
});
