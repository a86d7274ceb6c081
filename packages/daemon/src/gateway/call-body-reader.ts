/** Reads the bodies of callers' calls within limits of size, time and memory. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {routerError} from '@baobabpier/core';
import type {RouterError} from '@baobabpier/core';
import {createLog} from '../log.js';
import {MalformedBodyError} from '../server-connections.js';
import type {BodyBounds, IncomingBodies} from '../transport/incoming-bodies.js';

const log = createLog('callers');
/** Reads bodies for one listener. */
export class CallBodyReader {
	constructor(private readonly bodies: IncomingBodies) {}

	/**
	 * Reads a complete request body; its memory counts until `res` closes.
	 *
	 * @example
	 * const body = await reader.read(req, res, {maxBytes: 4 * 1024 * 1024, timeoutMs: 14_000});
	 */
	async read(req: IncomingMessage, res: ServerResponse, bounds: BodyBounds): Promise<Uint8Array | RouterError | 'gone'> {
		const body = await this.bodies.read(req, res, bounds);
		if (!('kind' in body)) {
			return body;
		}

		switch (body.kind) {
			case 'long':
			case 'tooLarge': {
				return routerError('bodyTooLarge', `over ${bounds.maxBytes} bytes`);
			}

			case 'noRoom': {
				return routerError('overloaded', 'too many bodies are being read', body.retryAfterMs);
			}

			case 'late': {
				return routerError('requestTimeout', `the body was not complete within ${Math.round(bounds.timeoutMs)} ms`);
			}

			case 'broken': {
				if (body.error instanceof MalformedBodyError) {
					return routerError('malformedRequest', body.error.message);
				}

				log('A caller disconnected before its call was read.', {detail: body.error?.message});
				return 'gone';
			}
		}
	}
}
