/** The number of connections that this instance may keep to a server. */
import type {RoutedService, ServiceName} from '@baobabpier/core';

/** Kept connections to an address that belongs to no known service. */
const unlistedConnections = 4;
/** Fraction of a server's connections that all instances together may use. */
const connectionShare = 0.8;
/** Least number of connections of one instance. */
const minConnections = 2;

/**
 * Divides the connections that the configuration allows to a server among the instances. The servers of a service that the configuration
 * drops keep their maximum, since calls in progress still need them.
 *
 * @example
 * const limits = new ConnectionLimits();
 * limits.setServices(table.services);
 * limits.maxTo(toId<ServiceName>('desk'), 4); // Connections to one of its servers, of one of four instances
 */
export class ConnectionLimits {
	readonly #maxByService = new Map<ServiceName, number>();
	#services: ReadonlyMap<ServiceName, RoutedService> = new Map();

	/** Applies the services of a new configuration. */
	setServices(services: ReadonlyMap<ServiceName, RoutedService>): void {
		this.#services = services;
		for (const {name, maxConnections} of services.values()) {
			this.#maxByService.set(name, maxConnections);
		}
	}

	/** Forgets the services that the configuration dropped and that have no listed server any more. */
	retain(listed: ReadonlySet<ServiceName>): void {
		for (const name of this.#maxByService.keys()) {
			if (!this.#services.has(name) && !listed.has(name)) {
				this.#maxByService.delete(name);
			}
		}
	}

	/** Maximum number of connections to a server of a service; undefined stands for an address without a known service. */
	maxTo(service: ServiceName | undefined, instances: number): number {
		const max = service === undefined ? undefined : this.#maxByService.get(service);
		return max === undefined ? unlistedConnections : Math.max(minConnections, Math.floor((max * connectionShare) / instances));
	}
}
