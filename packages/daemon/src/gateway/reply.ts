/** The reply to a caller's call. */
import type {RouterError} from '@baobabpier/core';
import type {ResponseHead} from './types.js';

/** How a call is replied to. */
export type Reply =
	/** A server's response, forwarded unchanged. */
	| {readonly kind: 'relay'; readonly head: ResponseHead; readonly body: Uint8Array}
	| {readonly kind: 'error'; readonly error: RouterError}
	/** Nothing is left to send: the response was streamed or was cut off. */
	| {readonly kind: 'streamed'};

export const errorReply = (error: RouterError): Reply => ({kind: 'error', error});
