/** Reads the bodies of callers' calls within limits of size and memory. */
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {routerError} from '@baobabpier/core';
import type {RouterError} from '@baobabpier/core';
import {createLog} from '../log.js';
import {MalformedBodyError} from '../server-connections.js';

const log = createLog('callers');
/** Maximum bytes of request bodies that are buffered at a time; a quarter of the smallest instance's memory. */
const maxBufferedBytes = 40 * 1024 * 1024;

/** Reads bodies for one listener. */
export class CallBodyReader {
	#bufferedBytes = 0;

	/**
	 * Reads a complete request body of at most `maxBytes` bytes.
	 *
	 * @example
	 * const body = await reader.read(req, 4 * 1024 * 1024);
	 */
	async read(req: IncomingMessage, maxBytes: number): Promise<Uint8Array | RouterError | 'gone'> {
		const chunks: Uint8Array[] = [];
		let bytes = 0;
		try {
			for await (const chunk of req as AsyncIterable<Uint8Array>) {
				bytes += chunk.length;
				this.#bufferedBytes += chunk.length;
				if (bytes > maxBytes) {
					return routerError('bodyTooLarge', `over ${maxBytes} bytes`);
				}

				if (this.#bufferedBytes > maxBufferedBytes) {
					return routerError('overloaded', 'too many bodies are being read');
				}

				chunks.push(chunk);
			}
		} catch (error) {
			if (error instanceof MalformedBodyError) {
				return routerError('malformedRequest', error.message);
			}

			log('A caller disconnected before its call was read.', {detail: (error as Error).message, bytes});
			return 'gone';
		} finally {
			this.#bufferedBytes -= bytes;
		}

		return Buffer.concat(chunks);
	}
}
