/** Methods by which instances ask the leader whether requests are within their team's quota. */
import type {InstanceId, TeamName} from '../ids.js';
import type {QuotaAnswer} from '../teams/quota-table.js';
import {defineRpcMethod} from './rpc-methods.js';

/** The credit that a request needs. */
export type QuotaTakeParams = {
	readonly instance: InstanceId;
	readonly team: TeamName;
	/** In the unit of the team's quota. */
	readonly cost: number;
};

/* eslint-disable @typescript-eslint/naming-convention */
/** Takes credit for a request of a team. */
export const QUOTA_TAKE = defineRpcMethod<QuotaTakeParams, QuotaAnswer>('quota.take');
/** Returns the credit of a request that was not run. */
export const QUOTA_REFUND = defineRpcMethod<QuotaTakeParams, Record<string, never>>('quota.refund');
/* eslint-enable @typescript-eslint/naming-convention */
