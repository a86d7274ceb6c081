/** The long-polling method that entry instances call on control instances. */
import type {RoutingDocument} from '../control/routing-state.js';
import type {ListedServer} from '../server-list.js';
import type {DataCentreId, InstanceId, RoutingVersion} from '../ids.js';
import type {RateLimitsSnapshot} from '../server-rate-limits/types.js';
import type {RelayPartner} from '../relay/choose-partners.js';
import type {SegmentSet} from '../quarantine/types.js';
import type {SuspectsSnapshot} from './quarantine-methods.js';
import {defineRpcMethod} from './rpc-methods.js';

/** Versions that the watcher already has; the call returns as soon as one changes, or after `waitMs`. */
export type WatchParams = {
	readonly instance: InstanceId;
	readonly routingVersion: RoutingVersion | undefined;
	readonly listDigest: string | undefined;
	/** Leader of the control log as last seen by the watcher. */
	readonly leader: InstanceId | undefined;
	readonly waitMs: number;
	/** Revision of the quarantine that the watcher applies; absent before the first. */
	readonly quarantineRevision?: number | undefined;
	/** Version of the suspects that the watcher has. */
	readonly suspectsVersion?: string | undefined;
	/** Version of the servers' limits that the watcher has. */
	readonly limitsVersion?: string | undefined;
	/** Where the watcher takes relayed calls, and whether it does now; absent where it never does. */
	readonly relay?: Omit<RelayPartner, 'id'> & {readonly isTaking: boolean} | undefined;
	/** Whether the watcher identifies the teams of requests; one that doesn't gets no configuration with teams. */
	readonly knowsTeams?: boolean | undefined;
	/** Whether changes include their content; otherwise only versions are returned. */
	readonly withContent: boolean;
	/** Whether the routing version must be confirmed by a majority. */
	readonly confirmed: boolean;
};

/** Current state at a control instance. */
export type WatchResponse = {
	/** Where the control instance runs. */
	readonly dataCentre: DataCentreId;
	readonly routingVersion: RoutingVersion | undefined;
	/** Present when it is newer than the watcher's and content was requested. */
	readonly routing: RoutingDocument | undefined;
	/** Whether the control instance is in contact with a majority of the control instances. */
	readonly hearsQuorum: boolean;
	/** Whether a majority confirmed the routing version for this response. */
	readonly confirmed: boolean;
	readonly listDigest: string | undefined;
	readonly list: readonly ListedServer[] | undefined;
	/** Age of the list, in milliseconds; undefined before the first read. */
	readonly listAgeMs: number | undefined;
	readonly leader: InstanceId | undefined;
	/** Present when it is newer than the watcher's. */
	readonly quarantine?: {readonly revision: number; readonly sets: readonly SegmentSet[]} | undefined;
	/** Present at the leader when it is not the watcher's. */
	readonly suspects?: SuspectsSnapshot | undefined;
	/** Present at the leader when they are not the watcher's. */
	readonly limits?: RateLimitsSnapshot | undefined;
	/** All known control instances. */
	readonly controls: readonly InstanceId[];
	/** Number of entry instances that watch. */
	readonly entries: number;
	/** Entry instances that take relayed calls of the watcher. */
	readonly partners?: readonly RelayPartner[] | undefined;
};

/** Watches the routing configuration, the server list and the control instances. */
// eslint-disable-next-line @typescript-eslint/naming-convention
export const CONTROL_WATCH = defineRpcMethod<WatchParams, WatchResponse>('control.watch');
