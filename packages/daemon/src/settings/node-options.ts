/** The options of Node.js that follow from a daemon's settings. */
import {heapLimits} from '@baobabpier/core';
import {defaultMachineSettings} from './parse-settings.js';
import type {Settings} from './parse-settings.js';

const bytesPerMegabyte = 1024 * 1024;

/**
 * Options with which the heap of a daemon fits its machine. Node.js takes them only when it starts.
 *
 * @example
 * nodeOptionsOf({machine: {memoryMegabytes: 178, descriptors: 4100}}); // ['--max-old-space-size=64', '--max-semi-space-size=2']
 */
export const nodeOptionsOf = ({machine = defaultMachineSettings}: Pick<Settings, 'machine'>): readonly string[] => {
	const {oldSpaceMegabytes, semiSpaceMegabytes} = heapLimits(machine.memoryMegabytes * bytesPerMegabyte);
	return [`--max-old-space-size=${oldSpaceMegabytes}`, `--max-semi-space-size=${semiSpaceMegabytes}`];
};
