/** Methods by which entry instances share where streams began. */
import type {RequestId} from '../ids.js';
import type {OriginRecord, StreamOrigin} from '../streams/stream-origins.js';
import {defineRpcMethod} from './rpc-methods.js';

/** The result of recording origins. */
export type OriginRecordResponse = {
	/** Changes when the instance starts again, and with it loses what it was told before. */
	readonly incarnation: string;
};

/* eslint-disable @typescript-eslint/naming-convention */
/** Records where streams began. */
export const ORIGIN_RECORD = defineRpcMethod<{readonly origins: readonly OriginRecord[]}, OriginRecordResponse>('origin.record');
/** Reads where a stream began. */
export const ORIGIN_FIND = defineRpcMethod<{readonly requestId: RequestId}, {readonly origin?: StreamOrigin | undefined}>('origin.find');
/* eslint-enable @typescript-eslint/naming-convention */
