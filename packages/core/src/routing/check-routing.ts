/** Checks a routing configuration as a whole. */
import type {RoutingFault, RoutingTable} from './types.js';

/**
 * Lists every fault that makes a configuration unusable.
 *
 * @example
 * checkRouting(table); // [] when it is valid
 */
export const validateRouting = ({routes, services}: RoutingTable): readonly RoutingFault[] => {
	const faults: RoutingFault[] = [];
	const places = new Set<string>();
	const names = new Set<string>();
	for (const [index, route] of routes.entries()) {
		const add = (field: string, value: unknown, problem: string): void => {
			faults.push({field: `routes.${index}.${field}`, value: String(value), problem});
		};

		const place = `${route.host}${route.prefix}`;
		if (places.has(place)) {
			add('prefix', place, 'another route has the same host and prefix');
		}

		if (names.has(route.name)) {
			add('name', route.name, 'another route has the same name');
		}

		places.add(place);
		names.add(route.name);
		for (const {service} of route.targets) {
			if (!services.has(service)) {
				add('targets', service, 'names no service of this configuration');
			}
		}

		if (route.targets.reduce((sum, {weight}) => sum + weight, 0) <= 0) {
			add('targets', route.targets.map(({weight}) => weight).join(','), 'the weights add up to 0');
		}

		if (route.timeoutMs <= 0) {
			add('timeout', route.timeoutMs, 'must be over 0 ms');
		}
	}

	return faults;
};
