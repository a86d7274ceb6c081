/** Reads the bodies of callers' calls within limits of size and memory. */
import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {routerError} from '@baobabpier/core';
import type {RouterError} from '@baobabpier/core';
import {createLog} from '../log.js';
import {MalformedBodyError} from '../server-connections.js';
import type {BufferAccount} from '../transport/buffer-account.js';

const log = createLog('callers');
/** Reads bodies for one listener. */
export class CallBodyReader {
	constructor(private readonly buffers: BufferAccount) {}

	/**
	 * Reads a complete request body of at most `maxBytes` bytes; its bytes count as buffered until `res` closes.
	 *
	 * @example
	 * const body = await reader.read(req, res, 4 * 1024 * 1024);
	 */
	async read(req: IncomingMessage, res: ServerResponse, maxBytes: number): Promise<Uint8Array | RouterError | 'gone'> {
		const share = this.buffers.open();
		res.once('close', () => {
			share.release();
		});
		const chunks: Uint8Array[] = [];
		let bytes = 0;
		try {
			for await (const chunk of req as AsyncIterable<Uint8Array>) {
				bytes += chunk.length;
				if (bytes > maxBytes) {
					return routerError('bodyTooLarge', `over ${maxBytes} bytes`);
				}

				if (!share.add(chunk.length)) {
					return routerError('overloaded', 'too many bytes of bodies are buffered');
				}

				chunks.push(chunk);
			}
		} catch (error) {
			if (error instanceof MalformedBodyError) {
				return routerError('malformedRequest', error.message);
			}

			log('A caller disconnected before its call was read.', {detail: (error as Error).message, bytes});
			return 'gone';
		}

		return Buffer.concat(chunks);
	}
}
