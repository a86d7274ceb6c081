/** What an entry instance asks of control instances. */
import type {RoutingDocument} from '../control/routing-state.js';
import type {ListedServer} from '../server-list.js';
import type {DataCentreId, InstanceId, RoutingVersion} from '../ids.js';
import {defineRpcMethod} from './rpc-methods.js';

/** What the asker has already; the answer comes as soon as there is news, or after `waitMs`. */
export type WatchParams = {
	readonly instance: InstanceId;
	readonly routingVersion: RoutingVersion | undefined;
	readonly listDigest: string | undefined;
	/** Leader of the control log that the asker knows of. */
	readonly leader: InstanceId | undefined;
	readonly waitMs: number;
	/** Whether news come with their content; without, only versions are told. */
	readonly withContent: boolean;
	/** Whether the routing version must be confirmed by a majority. */
	readonly confirmed: boolean;
};

/** What a control instance knows. */
export type WatchResponse = {
	/** Where the control instance runs. */
	readonly dataCentre: DataCentreId;
	readonly routingVersion: RoutingVersion | undefined;
	/** Present when it is newer than the asker's and wanted. */
	readonly routing: RoutingDocument | undefined;
	/** Whether a majority of the control instances is heard. */
	readonly hearsQuorum: boolean;
	/** Whether the routing version was confirmed for this answer. */
	readonly confirmed: boolean;
	readonly listDigest: string | undefined;
	readonly list: readonly ListedServer[] | undefined;
	/** Age of the list, in milliseconds; undefined before the first reading. */
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
