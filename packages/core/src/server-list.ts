/** The servers of all services, as the platform lists them. */
import type {EngineRole} from './catalogue/types.js';
import type {BackendId, DataCentreId, ServiceName} from './ids.js';

/** One plain server or engine of the list. */
export type ListedServer = {
	readonly id: BackendId;
	readonly service: ServiceName;
	/** `host:port` by IP number. */
	readonly address: string;
	readonly dataCentre: DataCentreId;
	/** Requests that it runs at once. */
	readonly slots: number;
	/** Whether it is about to stop: it gets no new work. */
	readonly leaving: boolean;
	/** What an engine does for its service; undefined for a plain server. */
	readonly role: EngineRole | undefined;
};

/**
 * Names the content of a list, so that only changes are sent on.
 *
 * @example
 * digestOf(servers) === digestOf([...servers]); // True
 */
export const digestServerList = (servers: readonly ListedServer[]): string => {
	let hash = 5381;
	for (const {id, service, address, leaving, role, slots} of servers) {
		for (const character of `${id}|${service}|${address}|${leaving}|${role ?? ''}|${slots};`) {
			hash = ((hash * 33) ^ character.codePointAt(0)!) >>> 0; // eslint-disable-line no-bitwise
		}
	}

	return `${servers.length}-${hash.toString(36)}`;
};
