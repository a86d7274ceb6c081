/** The platform's list of the servers of all services. */
import type {EngineRole} from './catalogue/types.js';
import {toId} from './ids.js';
import type {
	BackendId, DataCentreId, ServiceName, SoftwareVersion,
} from './ids.js';

/** A plain server or an engine of the server list. */
export type ListedServer = {
	readonly id: BackendId;
	readonly service: ServiceName;
	/** `host:port`, where the host is an IP address. */
	readonly address: string;
	readonly dataCentre: DataCentreId;
	/** Number of requests that it runs concurrently. */
	readonly slots: number;
	/** Whether it is about to stop; it receives no new work. */
	readonly leaving: boolean;
	/** Role of an engine in its service; undefined for a plain server. */
	readonly role: EngineRole | undefined;
	/** Version of its software; absent where the list states none. */
	readonly softwareVersion?: SoftwareVersion | undefined;
};

/** One reading of the platform's list. */
export type ServerListReading = {
	readonly servers: readonly ListedServer[];
	/** Whether the list was read to its end; otherwise it may have more servers. */
	readonly isWhole: boolean;
};

/**
 * Returns the list in force after a reading that did not get to the end of the list: servers that it lacks stay as they were, but for
 * those whose addresses others have now.
 *
 * @example
 * mergeServerLists([a, b], [bLeaving, c]); // [bLeaving, c, a]
 */
export const mergeServerLists = (before: readonly ListedServer[], read: readonly ListedServer[]): readonly ListedServer[] => {
	const ids = new Set(read.map(({id}) => id));
	const addresses = new Set(read.map(({address}) => address));
	return [...read, ...before.filter(({id, address}) => !ids.has(id) && !addresses.has(address))];
};

/** Stands for the software version of engines for which none is stated. */
export const unstatedVersion: SoftwareVersion = toId<SoftwareVersion>('');

/** Returns the software version of an engine; those without a stated one have the same. */
export const softwareVersionOf = ({softwareVersion = unstatedVersion}: {readonly softwareVersion?: SoftwareVersion | undefined}): SoftwareVersion => softwareVersion;

/**
 * Returns a digest of a server list, so that only changes are forwarded.
 *
 * @example
 * digestServerList(servers) === digestServerList([...servers]); // True
 */
export const digestServerList = (servers: readonly ListedServer[]): string => {
	let hash = 5381;
	for (const {id, service, address, leaving, role, slots, softwareVersion} of servers) {
		for (const character of `${id}|${service}|${address}|${leaving}|${role ?? ''}|${slots}|${softwareVersion ?? ''};`) {
			hash = ((hash * 33) ^ character.codePointAt(0)!) >>> 0; // eslint-disable-line no-bitwise
		}
	}

	return `${servers.length}-${hash.toString(36)}`;
};
