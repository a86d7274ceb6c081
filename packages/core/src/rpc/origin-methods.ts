/** Methods by which entry instances share which software version began a stream. */
import type {RequestId, SoftwareVersion} from '../ids.js';
import type {StreamOrigin} from '../streams/stream-origins.js';
import {defineRpcMethod} from './rpc-methods.js';

/** The result of recording origins. */
export type OriginRecordResponse = {
	/** Changes when the instance starts again, and with it loses what it was told before. */
	readonly incarnation: string;
};

/* eslint-disable @typescript-eslint/naming-convention */
/** Records which software versions began streams. */
export const ORIGIN_RECORD = defineRpcMethod<{readonly origins: readonly StreamOrigin[]}, OriginRecordResponse>('origin.record');
/** Reads which software version began a stream. */
export const ORIGIN_FIND = defineRpcMethod<{readonly requestId: RequestId}, {readonly softwareVersion?: SoftwareVersion | undefined}>('origin.find');
/* eslint-enable @typescript-eslint/naming-convention */
