/** Identifies requests that are the same but for their ids and deadlines. */
import {createHash} from 'node:crypto';
import {requestDigestPrefix, toId} from '@baobabpier/core';
import type {SegmentId, TeamName} from '@baobabpier/core';
import {headerValues} from './raw-headers.js';

/** Headers that name the caller. */
const callerHeaders = ['host', 'authorization', 'cookie'] as const;
/** Hexadecimal digits of the digest that are kept. */
const digestLength = 32;

/**
 * A digest of a request's caller (its team, where the configuration has teams; never its key), method, path, query and body. It stands for the request in the quarantine as a segment does for
 * a part of a prompt, and can't be one, since its prefix has no hexadecimal digits only.
 *
 * @example
 * digestRequest({method: 'GET', target: '/a?b=1', rawHeaders: ['Host', 'h'], body}); // 'request-5f…'
 */
export const digestRequest = ({method, target, rawHeaders, body, team}: {readonly method: string; readonly target: string; readonly rawHeaders: readonly string[]; readonly body: Uint8Array; readonly team?: TeamName | undefined}): SegmentId => {
	const caller = callerHeaders.map(name => headerValues(rawHeaders, name));
	const hash = createHash('sha256').update(JSON.stringify([method, target, caller, ...(team === undefined ? [] : [team])])).update(body);
	return toId<SegmentId>(`${requestDigestPrefix}${hash.digest('hex').slice(0, digestLength)}`);
};
