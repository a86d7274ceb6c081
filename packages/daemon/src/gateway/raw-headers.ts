/** Raw header lists, as received: alternating names and values. */

/** Hop-by-hop headers, which concern one connection only (RFC 9110, section 7.6.1). */
const hopByHopHeaders: ReadonlySet<string> = new Set(['connection', 'keep-alive', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'proxy-authenticate', 'proxy-authorization', 'expect']);

/** The first value of a header. Names are compared case-insensitively; `name` is given in lower case. */
export const headerValue = (rawHeaders: readonly string[], name: string): string | undefined => {
	for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
		if (rawHeaders[index]!.toLowerCase() === name) {
			return rawHeaders[index + 1];
		}
	}

	return undefined;
};

/** All values of a header, in order; `name` is given in lower case. */
export const headerValues = (rawHeaders: readonly string[], name: string): readonly string[] =>
	rawHeaders.filter((_, index) => index % 2 === 1 && rawHeaders[index - 1]!.toLowerCase() === name);

/**
 * The headers that may be forwarded: all but hop-by-hop headers, those that `Connection` names, and those in `excluded` (in lower case).
 *
 * @example
 * forwardableHeaders(['Host', 'a', 'Connection', 'x-hop', 'X-Hop', '1'], new Set()); // ['Host', 'a']
 */
export const forwardableHeaders = (rawHeaders: readonly string[], excluded: ReadonlySet<string>): string[] => {
	const connectionOptions = new Set((headerValue(rawHeaders, 'connection') ?? '').toLowerCase().split(',').map(item => item.trim()));
	const forwarded: string[] = [];
	for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
		const name = rawHeaders[index]!.toLowerCase();
		if (!hopByHopHeaders.has(name) && !connectionOptions.has(name) && !excluded.has(name)) {
			forwarded.push(rawHeaders[index]!, rawHeaders[index + 1]!);
		}
	}

	return forwarded;
};
