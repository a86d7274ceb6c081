/** What the status code of a response head says of the response. */

/** Interim responses that any server may send before its response. */
const interimStatuses: ReadonlySet<number> = new Set([100, 102, 103]);
const minFinalStatus = 200;
const maxFinalStatus = 599;

/** Judgement of a status code. */
export type StatusVerdict =
	/** A response to a request. */
	| 'final'
	/** The response is still to come. */
	| 'interim'
	/** No response to any request that this project sends. */
	| 'invalid';

/**
 * Judges the status code of a response head. A switch of protocols (101) is never requested, and an interim status that is
 * not registered may be all that its server sends.
 *
 * @see RFC 9110, section 15.
 * @example
 * judgeStatus(404); // 'final'
 * judgeStatus(103); // 'interim'
 * judgeStatus(999); // 'invalid'
 */
export const judgeStatus = (status: number): StatusVerdict => {
	if (status >= minFinalStatus && status <= maxFinalStatus) {
		return 'final';
	}

	return interimStatuses.has(status) ? 'interim' : 'invalid';
};
