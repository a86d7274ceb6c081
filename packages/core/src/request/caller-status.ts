/** Decides which status a caller is told, from what is known of the run of its call. */
import {errorResponses, routerError} from '../errors.js';
import type {ErrorKind, RouterError} from '../errors.js';
import type {Route} from '../routing/types.js';

/**
 * Statuses by which a caller is told that its call has not run and will not: clients repeat calls after them that may run only once.
 *
 * @see RFC 9110, 9.2.2: a client may repeat a call that is not idempotent if it knows that the first one was not applied.
 */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** What is known of a call as its server has answered. */
export type AnsweredCall = {
	/** Whether the call may run more than once. */
	readonly isRepeatable: boolean;
	/** Whether the server states that it has not run the call and will not. */
	readonly isNotExecuted: boolean;
};

/** Whether calls of a route may run more than once. */
export const isRepeatableRoute = ({kind, resumable}: Pick<Route, 'kind' | 'resumable'>): boolean => kind === 'safe' || (kind === 'stream' && resumable);

/**
 * Returns the error that a caller gets in place of a server's response; undefined where the response is passed on. A status that says
 * that a call has not run is passed on only if the server states so, or if the call may be repeated anyway.
 *
 * @example
 * withheldStatusError(503, {isRepeatable: false, isNotExecuted: false})?.kind; // 'outcomeUnknown'
 * withheldStatusError(500, {isRepeatable: false, isNotExecuted: false}); // Undefined
 */
export const withheldStatusError = (status: number, {isRepeatable, isNotExecuted}: AnsweredCall): RouterError | undefined =>
	isRepeatable || isNotExecuted || !notRunStatuses.has(status) ? undefined : routerError('outcomeUnknown', `the server answered with status ${status}, but not that it has not run the call`);

/**
 * Returns the error that a caller is told: one that says that its call has not run gives way to `unknownKind` where an attempt may have run it.
 *
 * @example
 * toUncertainError(routerError('overloaded'), true, 'answerLost').kind; // 'answerLost'
 */
export const toUncertainError = (error: RouterError, mayHaveRun: boolean, unknownKind: Extract<ErrorKind, 'answerLost' | 'outcomeUnknown'>): RouterError =>
	mayHaveRun && errorResponses[error.kind].run === 'no' ? routerError(unknownKind, error.detail) : error;
