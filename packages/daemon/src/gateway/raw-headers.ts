/** Header lists as they stand on the wire: names and values in turn. */

/** Headers that concern one connection only (RFC 9110, section 7.6.1). */
const connectionHeaders: ReadonlySet<string> = new Set(['connection', 'keep-alive', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'proxy-authenticate', 'proxy-authorization', 'expect']);

/** The first value of a header; names are compared without case. */
export const headerValue = (rawHeaders: readonly string[], name: string): string | undefined => {
	for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
		if (rawHeaders[index]!.toLowerCase() === name) {
			return rawHeaders[index + 1];
		}
	}

	return undefined;
};

/**
 * The headers that may be passed on, without those of the connection and those in `dropped` (in lower case).
 *
 * @example
 * passedHeaders(['Host', 'a', 'Connection', 'x-hop', 'X-Hop', '1'], new Set()); // ['Host', 'a']
 */
export const forwardableHeaders = (rawHeaders: readonly string[], dropped: ReadonlySet<string>): string[] => {
	const named = new Set((headerValue(rawHeaders, 'connection') ?? '').toLowerCase().split(',').map(item => item.trim()));
	const passed: string[] = [];
	for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
		const name = rawHeaders[index]!.toLowerCase();
		if (!connectionHeaders.has(name) && !named.has(name) && !dropped.has(name)) {
			passed.push(rawHeaders[index]!, rawHeaders[index + 1]!);
		}
	}

	return passed;
};
