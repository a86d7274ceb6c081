/** Dependencies of the control log of an instance. */
import type {Clock, InstanceId, RandomSource} from '@baobabpier/core';
import type {Peers} from '../rpc/peers.js';
import type {InstanceEntry} from '../settings/parse-settings.js';
import type {FileSystem} from '../storage/file-system.js';

/** Dependencies of the control log of an instance. */
export type ControlLogParts = {
	readonly self: InstanceEntry;
	readonly instances: readonly InstanceEntry[];
	/** Data folder; undefined on instances that hold no replica. */
	readonly folder: string | undefined;
	readonly peers: Peers;
	readonly clock: Clock;
	readonly random: RandomSource;
	/** The instances that create the log together; the listed replicas when undefined, none where the log is certain to exist. */
	readonly founders?: readonly InstanceId[];
	/** Further instances that may hold replicas, discovered at run time. */
	readonly discovered?: () => readonly InstanceId[];
	/** Target number of voters; unbounded when undefined. */
	readonly voters?: number;
	/** Where the replica's files are; the machine's file system when undefined. */
	readonly fileSystem?: FileSystem;
};
