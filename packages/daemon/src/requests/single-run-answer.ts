/** The answer to a call that may run only once, as its caller is told it. */
import {err, ok, withheldStatusError} from '@baobabpier/core';
import type {Result, RouterError} from '@baobabpier/core';
import {createLog} from '../log.js';
import type {PlainAnswer, PlainCall} from './plain-call.js';

const log = createLog('plain');

/**
 * Returns a backend server's answer, or the error that is told in its place. Backend servers have no way to state that they have not run a call.
 *
 * @example
 * toSingleRunAnswer(call, answer).err; // True for an answer with status 503
 */
export const toSingleRunAnswer = ({requestId, service}: Pick<PlainCall, 'requestId' | 'service'>, answer: PlainAnswer): Result<PlainAnswer, RouterError> => {
	const error = withheldStatusError(answer.status, {isRepeatable: false, isNotExecuted: false});
	if (error === undefined) {
		return ok(answer);
	}

	log('An answer is withheld: its status says that the call has not run, which is not known.', {requestId, service: service.name, status: answer.status});
	answer.body.destroy();
	return err(error);
};
