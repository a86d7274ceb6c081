/** Validates a routing configuration as a whole. */
import type {KeyDigest, TeamName} from '../ids.js';
import type {Team} from '../teams/types.js';
import type {RoutingFault, RoutingTable} from './types.js';

/** Stands for a key in faults: keys are secrets. */
const hiddenKey = '(hidden)';

const validateTeams = (teams: readonly Team[]): readonly RoutingFault[] => {
	const faults: RoutingFault[] = [];
	const holders = new Map<KeyDigest, TeamName>();
	const names = new Set<TeamName>();
	for (const [index, {name, keys}] of teams.entries()) {
		if (names.has(name)) {
			faults.push({field: `teams.${index}.name`, value: name, problem: 'another team has the same name'});
		}

		names.add(name);
		for (const [keyIndex, key] of keys.entries()) {
			const holder = holders.get(key) ?? name;
			holders.set(key, holder);
			if (holder !== name) {
				faults.push({field: `teams.${index}.keys.${keyIndex}`, value: hiddenKey, problem: `the team ${holder} has the same key`});
			}
		}
	}

	return faults;
};

/**
 * Lists every fault that makes a configuration unusable.
 *
 * @example
 * validateRouting(table); // [] when it is valid
 */
export const validateRouting = ({routes, services, teams = []}: RoutingTable): readonly RoutingFault[] => {
	const faults: RoutingFault[] = [...validateTeams(teams)];
	const hostPrefixes = new Set<string>();
	const names = new Set<string>();
	for (const [index, route] of routes.entries()) {
		const addFault = (field: string, value: unknown, problem: string): void => {
			faults.push({field: `routes.${index}.${field}`, value: String(value), problem});
		};

		const hostPrefix = `${route.host}${route.prefix}`;
		if (hostPrefixes.has(hostPrefix)) {
			addFault('prefix', hostPrefix, 'another route has the same host and prefix');
		}

		if (names.has(route.name)) {
			addFault('name', route.name, 'another route has the same name');
		}

		hostPrefixes.add(hostPrefix);
		names.add(route.name);
		for (const {service} of route.targets) {
			if (!services.has(service)) {
				addFault('targets', service, 'names no service of this configuration');
			}
		}

		if (route.targets.reduce((sum, {weight}) => sum + weight, 0) <= 0) {
			addFault('targets', route.targets.map(({weight}) => weight).join(','), 'the weights add up to 0');
		}

		if (route.timeoutMs <= 0) {
			addFault('timeout', route.timeoutMs, 'must be over 0 ms');
		}
	}

	return faults;
};
