/** Recognizes the head of an HTTP/1 response in text, and what ends the body behind it. */
import {headerValue} from '../gateway/raw-headers.js';

/** What every response begins with. */
export const protocolPrefix = 'HTTP/1.';
/** Maximum size of a head, in bytes: the limit of the HTTP parser. */
export const maxResponseHeadBytes = 16 * 1024;

const statusLine = /^HTTP\/1\.[01] \d{3}(?: [^\r\n]*)?$/v;
const partialStatusLine = /^HTTP\/1\.(?:[01](?: (?:\d{0,3}|\d{3} [^\r\n]*))?)?\r?$/v;
const headerLine = /^(?:[\w!#$%'*+.^`\|~\-]|&)+:[^\r\n]*$/v;
const partialHeaderLine = /^(?:(?:[\w!#$%'*+.^`\|~\-]|&)+(?::[^\r\n]*)?)?\r?$/v;

/** How text matches a response head. */
export type ResponseHeadMatch =
	| {readonly kind: 'none'}
	/** `hasStatus`: at least the status line is complete. */
	| {readonly kind: 'partial'; readonly hasStatus: boolean}
	| {readonly kind: 'head'; readonly rawHeaders: readonly string[]};

/**
 * Matches text that begins with the name of the protocol, or with a part of it, with a response head.
 *
 * @example
 * matchResponseHead('HTTP/1.1 200 OK\r\nx: 1\r\n\r\n'); // {kind: 'head', rawHeaders: ['x', '1']}
 */
export const matchResponseHead = (text: string): ResponseHeadMatch => {
	if (text.length < protocolPrefix.length) {
		return {kind: 'partial', hasStatus: false};
	}

	const [status, ...rest] = text.split('\r\n');
	const last = rest.pop();
	if (last === undefined) {
		return partialStatusLine.test(status!) ? {kind: 'partial', hasStatus: false} : {kind: 'none'};
	}

	if (!statusLine.test(status!)) {
		return {kind: 'none'};
	}

	const end = rest.indexOf('');
	const lines = end === -1 ? rest : rest.slice(0, end);
	if (!lines.every(line => headerLine.test(line))) {
		return {kind: 'none'};
	}

	if (end === -1) {
		return partialHeaderLine.test(last) ? {kind: 'partial', hasStatus: true} : {kind: 'none'};
	}

	return {
		kind: 'head', rawHeaders: lines.flatMap(line => {
			const colon = line.indexOf(':');
			return [line.slice(0, colon), line.slice(colon + 1).trim()];
		}),
	};
};

/**
 * Whether a response has a length or chunks; otherwise its body ends with the connection.
 *
 * @see RFC 9112, section 6.3.
 * @example
 * isFramed(['transfer-encoding', 'identity']); // False
 */
export const isFramed = (rawHeaders: readonly string[]): boolean => {
	const codings = rawHeaders.filter((_, index) => index % 2 === 1 && rawHeaders[index - 1]!.toLowerCase() === 'transfer-encoding');
	return codings.length === 0 ? headerValue(rawHeaders, 'content-length') !== undefined : /(?:^|[\s,])chunked\s*$/iv.test(codings.at(-1)!);
};
