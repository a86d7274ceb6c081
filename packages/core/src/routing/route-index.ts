/** Looks up the route of a call. */
import type {Route} from './types.js';

/** The routes of one host. */
type HostRoutes = {
	readonly byPrefix: Map<string, Route>;
	/** Lengths of the prefixes, the longest first. */
	lengths: readonly number[];
};

/**
 * Indexes routes by host and prefix. A look-up costs one step per length that prefixes of the host have, however many routes there are and
 * however long the path is.
 *
 * @example
 * const index = new RouteIndex(table.routes);
 * index.match('hire.example', '/drafts/7'); // The route with the longest prefix of the path
 */
export class RouteIndex {
	readonly #hosts = new Map<string, HostRoutes>();

	constructor(routes: readonly Route[]) {
		for (const route of routes) {
			const host = this.#hosts.get(route.host) ?? {byPrefix: new Map<string, Route>(), lengths: []};
			host.byPrefix.set(route.prefix, route);
			this.#hosts.set(route.host, host);
		}

		for (const host of this.#hosts.values()) {
			host.lengths = [...new Set([...host.byPrefix.keys()].map(({length}) => length))].toSorted((a, b) => b - a);
		}
	}

	/** The route of a host and a path, without its query; undefined when there is none. */
	match(host: string, path: string): Route | undefined {
		const routes = this.#hosts.get(host.toLowerCase());
		for (const length of routes?.lengths ?? []) {
			// Every prefix ends with a slash
			const route = path[length - 1] === '/' ? routes!.byPrefix.get(path.slice(0, length)) : undefined;
			if (route !== undefined) {
				return route;
			}
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
