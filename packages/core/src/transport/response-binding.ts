/** What ties a response to its request on a kept connection, and how a response is judged by it. */

/**
 * What identifies the response to a request.
 *
 * @example
 * const binding: ResponseBinding = {kind: 'echoed', requestId: 'r-1'};
 */
export type ResponseBinding =
	/** The server returns the request's id with its response; another id, or none, is another request's response. */
	| {readonly kind: 'echoed'; readonly requestId: string}
	/** Servers may return the id. A response without one is accepted only as the first on its connection, which is closed after it. */
	| {readonly kind: 'echoedIfSupported'; readonly requestId: string}
	/** Nothing identifies the response: the request has a connection of its own, closed after it. */
	| {readonly kind: 'ownConnection'}
	/** Responses differ only in age: connections are kept for the calls of one lane and are never shared with other calls. */
	| {readonly kind: 'interchangeable'; readonly lane: string};

/** Judgement of a response head. */
export type ResponseVerdict =
	/** The response to the request; `isLast`: the connection can't identify a further one and is to be closed after it. */
	| {readonly kind: 'own'; readonly isLast: boolean}
	/** The response of another request. */
	| {readonly kind: 'foreign'};

const foreign: ResponseVerdict = {kind: 'foreign'};
const own: ResponseVerdict = {kind: 'own', isLast: false};
const lastOwn: ResponseVerdict = {kind: 'own', isLast: true};

/**
 * Judges whether a response belongs to the request that waits on its connection. `isFirst` says whether it is the first response
 * on the connection, `responseId` is the id that it names.
 *
 * @example
 * judgeResponse({kind: 'echoed', requestId: 'r-2'}, false, 'r-1'); // {kind: 'foreign'}
 */
export const judgeResponse = (binding: ResponseBinding, isFirst: boolean, responseId: string | undefined): ResponseVerdict => {
	switch (binding.kind) {
		case 'echoed': {
			return responseId === binding.requestId ? own : foreign;
		}

		case 'echoedIfSupported': {
			if (responseId === undefined) {
				return isFirst ? lastOwn : foreign;
			}

			return responseId === binding.requestId ? own : foreign;
		}

		case 'ownConnection': {
			return isFirst ? lastOwn : foreign;
		}

		case 'interchangeable': {
			return own;
		}
	}
};
