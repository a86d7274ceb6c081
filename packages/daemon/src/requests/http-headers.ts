/** Headers on their way through: hop-by-hop ones stay behind (RFC 9110, 7.6.1). */
import type {IncomingHttpHeaders} from 'node:http';
import {requestIdHeader} from '../transport/request-id.js';

const hopHeaders = new Set([
	'connection', 'keep-alive', 'transfer-encoding', 'upgrade', 'te', 'trailer', 'host', 'content-length', 'expect', 'proxy-authorization', 'proxy-connection',
]);

/** Each side of a call has its own id. */
const isForwarded = (name: string): boolean => !hopHeaders.has(name) && name !== requestIdHeader;

/** The headers of a caller that go to the backend server, as alternating names and values. */
export const forwardHeaders = (headers: IncomingHttpHeaders): string[] => {
	const forwarded: string[] = [];
	for (const [name, value] of Object.entries(headers)) {
		if (value !== undefined && isForwarded(name)) {
			for (const one of Array.isArray(value) ? value : [value]) {
				forwarded.push(name, one);
			}
		}
	}

	return forwarded;
};

/** The headers of a backend server that go to the caller. */
export const answerHeaders = (rawHeaders: readonly string[]): Array<readonly [string, string]> => {
	const kept: Array<readonly [string, string]> = [];
	for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
		const name = rawHeaders[index]!.toLowerCase();
		if (isForwarded(name)) {
			kept.push([name, rawHeaders[index + 1]!]);
		}
	}

	return kept;
};
