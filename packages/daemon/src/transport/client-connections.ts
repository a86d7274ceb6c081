/** The connections of clients over all ports of this process, and what was done to keep them within their bounds. */
import {ConnectionAccount} from '@baobabpier/core';
import {CountedLog} from '../counted-log.js';
import {createLog} from '../log.js';

const log = createLog('connections');

/** The account of this process; a program sets its bound from what its machine has. */
export const clientConnections = new ConnectionAccount(Number.POSITIVE_INFINITY);

/** Limits that clients have met. */
export const metLimits = {
	displaced: new CountedLog(log, 'Connections without a complete request are closed, as there are too many.'),
	refused: new CountedLog(log, 'New connections are closed, as all others have requests in progress.'),
	unread: new CountedLog(log, 'A caller reads nothing of its response, which is broken off.'),
	ahead: new CountedLog(log, 'A connection sends too many requests ahead; the further ones are refused.'),
	unreadBodies: new CountedLog(log, 'A call is refused by its head; its body is not read.'),
	malformed: new CountedLog(log, 'A connection sent a malformed request.'),
} as const;
