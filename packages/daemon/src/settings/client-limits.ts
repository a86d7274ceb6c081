/** The limits of clients that follow from a daemon's settings. */
import {resourceLimits} from '@baobabpier/core';
import type {ResourceLimits} from '@baobabpier/core';
import {defaultEntrySettings, defaultMachineSettings} from './parse-settings.js';
import type {Settings} from './parse-settings.js';

const bytesPerMegabyte = 1024 * 1024;

/**
 * What the machine allows, with what `[entry]` states in its place.
 *
 * @example
 * clientLimitsOf({machine: {memoryMegabytes: 178, descriptors: 4100}}).ports.callers.max; // 339
 */
export const clientLimitsOf = ({machine = defaultMachineSettings, entry = defaultEntrySettings}: Pick<Settings, 'entry' | 'machine'>): ResourceLimits => {
	const limits = resourceLimits({memoryBytes: machine.memoryMegabytes * bytesPerMegabyte, descriptors: machine.descriptors});
	const {callers, partners} = limits.ports;
	const max = entry.maxConnections ?? callers.max;
	return {
		bodyBytes: entry.maxBufferedBytes ?? limits.bodyBytes,
		connections: entry.maxConnections === undefined ? limits.connections : max + partners.max,
		ports: {...limits.ports, callers: {guaranteed: Math.min(max, entry.maxConnections ?? callers.guaranteed), max}},
	};
};
