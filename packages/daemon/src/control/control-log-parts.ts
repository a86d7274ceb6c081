/** What the control log of an instance is made with. */
import type {Clock, InstanceId, RandomSource} from '@baobabpier/core';
import type {Peers} from '../rpc/peers.js';
import type {InstanceEntry} from '../settings/parse-settings.js';

/** What the control log of an instance works with. */
export type ControlLogParts = {
	readonly self: InstanceEntry;
	readonly instances: readonly InstanceEntry[];
	/** Data folder; undefined on instances that hold no replica. */
	readonly folder: string | undefined;
	readonly peers: Peers;
	readonly clock: Clock;
	readonly random: RandomSource;
	/** The instances that begin the log together; the listed replicas when undefined, none where it surely exists. */
	readonly founders?: readonly InstanceId[];
	/** Further instances that may hold replicas, found at run time. */
	readonly discovered?: () => readonly InstanceId[];
	/** Voters wanted; unbounded when undefined. */
	readonly voters?: number;
	/** Opens a failed storage again this often, in milliseconds; never when undefined. */
	readonly reopenMs?: number;
};
