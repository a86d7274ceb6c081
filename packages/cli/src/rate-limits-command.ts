/** The `rate-limits` command. */
import {RATE_LIMIT_LIST} from '@baobabpier/core';
import {exitCodes} from './exit-codes.js';
import type {ExitCode} from './exit-codes.js';
import {callInstance} from './operator-client.js';
import type {OperatorTarget} from './operator-client.js';
import type {Output} from './output.js';

/** Prints the limits of requests that servers name, as the instance knows them if it leads. */
export const listRateLimits = async (target: OperatorTarget, output: Output): Promise<ExitCode> => {
	const status = await callInstance(target, RATE_LIMIT_LIST, {});
	const lines = status.limits.map(({server, requestsPerSecond, namedTo}) => `${server}: ${requestsPerSecond} requests a second, named to ${namedTo}`);
	output.print(status, lines.length === 0 ? ['No server names a limit, or this instance does not lead.'] : lines);
	return exitCodes.done;
};
