/** Output of a stream to its caller's connection. */
import type {ServerResponse} from 'node:http';
import {createLog} from '../log.js';
import {breakOff} from '../server-connections.js';
import type {CallScope} from './call-scope.js';
import {forwardableHeaders} from './raw-headers.js';
import type {StreamOutput} from './stream-progress.js';
import type {Call, ResponseHead} from './types.js';

const log = createLog('callers');
/** Maximum bytes of a stream that are buffered for a slow caller; beyond them the stream is aborted. */
const maxUnsentBytes = 1024 * 1024;

/** Writes one stream; a caller that reads too slowly ends its call. */
export class CallerStream implements StreamOutput {
	constructor(private readonly call: Call, private readonly res: ServerResponse, private readonly scope: CallScope) {}

	get isStarted(): boolean {
		return this.res.headersSent;
	}

	start(head: ResponseHead): void {
		this.res.writeHead(head.status, forwardableHeaders(head.rawHeaders, new Set(['content-length'])));
	}

	write(bytes: Uint8Array): void {
		this.res.write(bytes);
		if (this.res.writableLength > maxUnsentBytes) {
			log('A caller reads its stream too slowly; the stream is aborted.', {requestId: this.call.requestId, unreadBytes: this.res.writableLength});
			this.scope.end('callerGone');
			breakOff(this.res);
		}
	}

	end(): void {
		this.res.end();
	}

	abort(): void {
		breakOff(this.res);
	}
}
