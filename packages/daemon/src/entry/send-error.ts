/** Answers a caller with an error of the closed list. */
import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {errorResponses, toErrorBody} from '@baobabpier/core';
import type {ErrorResponse, RequestId, RouterError} from '@baobabpier/core';
import {breakOff} from '../server-connections.js';

/** How long the rest of a refused body is read and dropped, in milliseconds. */
const discardMs = 2000;

/** Reads the rest of a body away so that the answer is not lost to a reset, for a bounded time. */
const discardBody = (req: IncomingMessage): void => {
	const timer = setTimeout(() => {
		req.destroy();
	}, discardMs);
	req.once('close', () => {
		clearTimeout(timer);
	});
	req.resume();
};

/** Writes a whole JSON answer. */
export const sendJson = (res: ServerResponse, status: number, body: unknown, headers: Readonly<Record<string, string>> = {}): void => {
	const text = JSON.stringify(body);
	res.writeHead(status, {'content-type': 'application/json', 'content-length': String(Buffer.byteLength(text)), ...headers});
	res.end(text);
};

/**
 * Answers with an error; breaks the transfer where an answer has begun already.
 *
 * @example
 * sendError(req, res, requestId, routerError('unknownService'));
 */
export const sendError = (req: IncomingMessage, res: ServerResponse, requestId: RequestId, error: RouterError): void => {
	if (res.headersSent) {
		breakOff(res);
		return;
	}

	const answer: ErrorResponse = errorResponses[error.kind];
	const retryAfterMs = error.retryAfterMs ?? answer.retryAfterMs;
	if (!req.complete) {
		discardBody(req);
	}

	sendJson(res, answer.status, toErrorBody(error), {
		'x-request-id': requestId,
		...(retryAfterMs === undefined ? {} : {'retry-after': String(Math.ceil(retryAfterMs / 1000))}),
	});
};
