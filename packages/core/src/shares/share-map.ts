/** Ownership of shares (engine pools and limits): the holder, its lease and its fencing token. */
import type {
	DataCentreId, FencingToken, InstanceId, ServiceName,
} from '../ids.js';
import type {Instant} from '../time.js';

/** Identifies a share, the unit of ownership: the engines or the limits of one service in one data centre. */
export type ShareId = {
	readonly kind: 'engines' | 'limits';
	readonly service: ServiceName;
	readonly dataCentre: DataCentreId;
};

/** A share with its current holder. */
export type Share = ShareId & {
	readonly holder: InstanceId;
	readonly fencing: FencingToken;
	/** When the lease expires on this instance's clock; undefined for a share without a lease. */
	readonly until: Instant | undefined;
};

/** Read access to the holders of shares. */
export type ShareMap = {
	/** Returns a share and its holder in this instance's view; undefined while the share has no holder. */
	find(id: ShareId, now: Instant): Share | undefined;
	/** Returns whether this instance may act as the holder of the share at `now`. */
	holds(id: ShareId, now: Instant): boolean;
};
