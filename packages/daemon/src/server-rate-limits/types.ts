/** What the availability gate asks about the limits that servers name. */
import type {BackendId, Instant} from '@baobabpier/core';
import type {
	CallKind, PermitSeeker, SendPermit, SendRecord,
} from '../transport/types.js';

/** Grants permits for limited servers and learns of limits from responses. */
export type ServerRateLimits = {
	/** Number of servers with a limit in force. */
	readonly size: number;
	/** The servers of which no request gets a permit now. */
	readonly exhausted: readonly BackendId[];
	/** When the next server gets permits again; undefined when none is exhausted. */
	readonly nextEnd: Instant | undefined;
	isLimited(server: BackendId): boolean;
	/** The limit in force, in requests a second; undefined when there is none. */
	requestsPerSecond(server: BackendId): number | undefined;
	/** Time until a permit may be had, in milliseconds; 0 when one may be had now. */
	availableInMs(server: BackendId, isUrgent: boolean): number;
	acquire(seeker: PermitSeeker, signal: AbortSignal): Promise<SendPermit | undefined>;
	/** What is known of a server's limit, for a request that is sent now. */
	record(server: BackendId, permit: SendPermit | undefined): SendRecord;
	/** Takes note of the limit that a response names: undefined for none, NaN for one that can't be read. */
	observe(server: BackendId, kind: CallKind, requestsPerSecond: number | undefined, record: SendRecord): void;
	retain(listed: ReadonlySet<BackendId>): void;
	stop(): void;
};
