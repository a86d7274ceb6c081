/** The body of an answer on its way to the caller. */
import {pipeline, Transform} from 'node:stream';
import type {Readable} from 'node:stream';
import {isFramed} from '../transport/response-head.js';
import type {OpenResponse} from '../transport/types.js';

/**
 * Returns the body of a response; one that only the end of its connection ends fails where that was a reset.
 *
 * @example
 * const body = answerBody(response);
 */
export const answerBody = ({body, rawHeaders, mayBeTruncated}: OpenResponse): Readable => {
	if (isFramed(rawHeaders)) {
		return body;
	}

	const checked = new Transform({
		transform(chunk, _encoding, callback) {
			callback(null, chunk);
		},
		flush(callback) {
			callback(mayBeTruncated() ? new Error('the connection was reset before the end of an answer without a length') : null);
		},
	});
	// Whoever reads the body sees its failure, also one before the reading begins
	checked.on('error', () => undefined);
	pipeline(body, checked, () => undefined);
	return checked;
};
