/** The id under which a caller's request is answered, logged and traced. */
import {randomUUID} from 'node:crypto';
import type {IncomingMessage} from 'node:http';
import {toId} from '@baobabpier/core';
import type {RequestId} from '@baobabpier/core';

const acceptedId = /^[\w.\-]{1,128}$/v;

const ids = new WeakMap<IncomingMessage, RequestId>();

const chooseId = (req: IncomingMessage): RequestId => {
	const given = req.headers['x-request-id'];
	return toId<RequestId>(typeof given === 'string' && acceptedId.test(given) ? given : randomUUID());
};

/** Takes the caller's `x-request-id` where it is a plain token, and makes one up otherwise; the same one each time. */
export const readRequestId = (req: IncomingMessage): RequestId => {
	const id = ids.get(req) ?? chooseId(req);
	ids.set(req, id);
	return id;
};
