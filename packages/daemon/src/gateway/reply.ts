/** The reply to a caller's call. */
import {isRepeatableRoute, withheldStatusError} from '@baobabpier/core';
import type {RouterError} from '@baobabpier/core';
import type {Call, ResponseHead} from './types.js';

/** How a call is replied to. */
export type Reply =
	/** A server's response, forwarded unchanged. */
	| {readonly kind: 'relay'; readonly head: ResponseHead; readonly body: Uint8Array}
	| {readonly kind: 'error'; readonly error: RouterError}
	/** Nothing is left to send: the response was streamed or was cut off, for a reason that the log names. */
	| {readonly kind: 'streamed'; readonly detail?: string};

export const errorReply = (error: RouterError): Reply => ({kind: 'error', error});

/**
 * The reply with a server's response, or the error that is told in its place.
 *
 * @example
 * serverReply(call, head, body); // {kind: 'relay', head, body}
 */
export const serverReply = ({route}: Pick<Call, 'route'>, head: ResponseHead, body: Uint8Array): Reply => {
	const error = withheldStatusError(head.status, {isRepeatable: isRepeatableRoute(route), isNotExecuted: head.isNotExecuted});
	return error === undefined ? {kind: 'relay', head, body} : errorReply(error);
};

/**
 * Why a call got no response of a server, or not all of it; undefined where the reply names no reason.
 *
 * @example
 * detailOf(errorReply(routerError('timeout'))); // 'timeout'
 */
export const detailOf = (reply: Reply): string | undefined => {
	switch (reply.kind) {
		case 'error': {
			return reply.error.detail ?? reply.error.kind;
		}

		case 'streamed': {
			return reply.detail;
		}

		case 'relay': {
			return undefined;
		}
	}
};
