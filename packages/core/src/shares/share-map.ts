/** Who owns what: engine pools and parts of limits, until when, under which fencing number. */
import type {
	DataCentreId, FencingToken, InstanceId, ServiceName,
} from '../ids.js';
import type {Instant} from '../time.js';

/** What can be owned: the engines, or the limits, of one service in one data centre. */
export type ShareId = {
	readonly kind: 'engines' | 'limits';
	readonly service: ServiceName;
	readonly dataCentre: DataCentreId;
};

/** One share and its holder. */
export type Share = ShareId & {
	readonly holder: InstanceId;
	readonly fencing: FencingToken;
	/** When the lease ends on this instance's clock; undefined for a share without a lease. */
	readonly until: Instant | undefined;
};

/** The share map as the rest of the system reads it. */
export type ShareMap = {
	/** The holder of a share as far as this instance knows; undefined while nobody holds it. */
	find(id: ShareId, now: Instant): Share | undefined;
	/** Whether this instance may act as the share's holder now. */
	holds(id: ShareId, now: Instant): boolean;
};
