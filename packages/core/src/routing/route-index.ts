/** Looks up the route of a call. */
import type {Route} from './types.js';

/**
 * Indexes routes by host and prefix. A look-up costs one step per segment of the path, however many routes there are.
 *
 * @example
 * const index = new RouteIndex(table.routes);
 * index.match('hire.example', '/drafts/7'); // The route with the longest prefix of the path
 */
export class RouteIndex {
	readonly #hosts = new Map<string, Map<string, Route>>();

	constructor(routes: readonly Route[]) {
		for (const route of routes) {
			const prefixes = this.#hosts.get(route.host) ?? new Map<string, Route>();
			prefixes.set(route.prefix, route);
			this.#hosts.set(route.host, prefixes);
		}
	}

	/** The route of a host and a path, without its query; undefined when there is none. */
	match(host: string, path: string): Route | undefined {
		const prefixes = this.#hosts.get(host.toLowerCase());
		let end = prefixes === undefined ? -1 : path.lastIndexOf('/');
		while (end >= 0) {
			const route = prefixes!.get(path.slice(0, end + 1));
			if (route !== undefined) {
				return route;
			}

			end = end === 0 ? -1 : path.lastIndexOf('/', end - 1);
		}

		return undefined;
	}
}

/**
 * Picks the service of a call by the weights of its route.
 *
 * @example
 * pickTarget(route, random.next());
 */
export const pickTarget = ({targets}: Pick<Route, 'targets'>, draw: number): Route['targets'][number]['service'] | undefined => {
	const total = targets.reduce((sum, {weight}) => sum + weight, 0);
	let remaining = draw * total;
	for (const {service, weight} of targets) {
		remaining -= weight;
		if (weight > 0 && remaining < 0) {
			return service;
		}
	}

	return undefined;
};
