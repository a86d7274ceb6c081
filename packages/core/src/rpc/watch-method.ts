/** The method through which an entry instance watches control instances. */
import type {RoutingDocument} from '../control/routing-state.js';
import type {ListedServer} from '../server-list.js';
import type {DataCentreId, InstanceId, RoutingVersion} from '../ids.js';
import {defineRpcMethod} from './rpc-methods.js';

/** The versions that the watcher has; the response is sent once there is a change, or after `waitMs`. */
export type WatchParams = {
	readonly instance: InstanceId;
	readonly routingVersion: RoutingVersion | undefined;
	readonly listDigest: string | undefined;
	/** Leader of the control log in the watcher's view. */
	readonly leader: InstanceId | undefined;
	readonly waitMs: number;
	/** Whether the response includes changed content; otherwise it includes only versions. */
	readonly withContent: boolean;
	/** Whether the routing version must be confirmed by a majority. */
	readonly confirmed: boolean;
};

/** The state that a control instance reports to a watcher. */
export type WatchResponse = {
	/** Where the control instance runs. */
	readonly dataCentre: DataCentreId;
	readonly routingVersion: RoutingVersion | undefined;
	/** Present if it is newer than the watcher's and content was requested. */
	readonly routing: RoutingDocument | undefined;
	/** Whether a majority of the control instances is reachable. */
	readonly hearsQuorum: boolean;
	/** Whether the routing version was confirmed for this response. */
	readonly confirmed: boolean;
	readonly listDigest: string | undefined;
	readonly list: readonly ListedServer[] | undefined;
	/** Age of the list, in milliseconds; undefined before the first read. */
	readonly listAgeMs: number | undefined;
	readonly leader: InstanceId | undefined;
	/** All control instances known. */
	readonly controls: readonly InstanceId[];
	/** Entry instances that watch. */
	readonly entries: number;
};

/** Follows the routing configuration, the list of servers and the members of control. */
// eslint-disable-next-line @typescript-eslint/naming-convention
export const CONTROL_WATCH = defineRpcMethod<WatchParams, WatchResponse>('control.watch');
