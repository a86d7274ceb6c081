/** The closed set of error kinds and the response that each returns to the caller. */

/** Whether a failed request was executed. */
export type ExecutionState = 'no' | 'unknown';

/** Response of an error kind. */
export type ErrorResponse = {
	/** HTTP status code. */
	readonly status: number;
	/** Whether the request was executed. */
	readonly run: ExecutionState;
	/** Milliseconds after which a retry may succeed; undefined where a retry can't help. */
	readonly retryAfterMs: number | undefined;
	/** Short human-readable message. */
	readonly message: string;
};

/** The response of each error kind. No other error is returned to a caller. */
export const errorResponses = {
	malformedRequest: {
		status: 400, run: 'no', retryAfterMs: undefined, message: 'The request is malformed.',
	},
	unauthorized: {
		status: 401, run: 'no', retryAfterMs: undefined, message: 'The shared secret is missing or wrong.',
	},
	unknownKey: {
		status: 401, run: 'no', retryAfterMs: undefined, message: 'The API key is missing or unknown.',
	},
	unknownService: {
		status: 404, run: 'no', retryAfterMs: undefined, message: 'No such service or model.',
	},
	keyReusedForOtherRequest: {
		status: 409, run: 'no', retryAfterMs: undefined, message: 'The idempotency key was used with another request.',
	},
	requestTimeout: {
		status: 408, run: 'no', retryAfterMs: 100, message: 'The request was not sent in time.',
	},
	headersTooLarge: {
		status: 431, run: 'no', retryAfterMs: undefined, message: 'The headers are over their limit.',
	},
	bodyTooLarge: {
		status: 413, run: 'no', retryAfterMs: undefined, message: 'The body is over its limit.',
	},
	promptTooLong: {
		status: 413, run: 'no', retryAfterMs: undefined, message: 'The prompt does not fit any engine\'s memory.',
	},
	quarantined: {
		status: 422, run: 'no', retryAfterMs: undefined, message: 'The request, or segments of its prompt, crashed engines; they are quarantined.',
	},
	limitReached: {
		status: 429, run: 'no', retryAfterMs: 1000, message: 'A limit of the service is reached.',
	},
	quotaReached: {
		status: 429, run: 'no', retryAfterMs: 1000, message: 'The quota of the team is used up.',
	},
	quotaUnavailable: {
		status: 503, run: 'no', retryAfterMs: 500, message: 'The quota of the team can\'t be checked.',
	},
	overloaded: {
		status: 503, run: 'no', retryAfterMs: 2000, message: 'The service is at capacity.',
	},
	noBackend: {
		status: 503, run: 'no', retryAfterMs: 2000, message: 'No backend server or engine is available.',
	},
	ledgerUnavailable: {
		status: 503, run: 'no', retryAfterMs: 2000, message: 'The key can\'t be claimed: no quorum is reachable.',
	},
	shuttingDown: {
		status: 503, run: 'no', retryAfterMs: 100, message: 'The instance is stopping; another serves.',
	},
	queueTimeout: {
		status: 503, run: 'no', retryAfterMs: 2000, message: 'The request waited too long for a place.',
	},
	backendRefused: {
		status: 502, run: 'no', retryAfterMs: 500, message: 'The backend server could not be reached.',
	},
	claimInProgress: {
		status: 409, run: 'unknown', retryAfterMs: 1000, message: 'A call with this key is still running.',
	},
	outcomeUnknown: {
		status: 502, run: 'unknown', retryAfterMs: undefined, message: 'The call may have run; its outcome is not known.',
	},
	answerLost: {
		status: 502, run: 'unknown', retryAfterMs: undefined, message: 'The answer could not be completed.',
	},
	timeout: {
		status: 504, run: 'unknown', retryAfterMs: undefined, message: 'The answer did not arrive in time.',
	},
	internal: {
		status: 500, run: 'unknown', retryAfterMs: undefined, message: 'Internal error.',
	},
} as const satisfies Record<string, ErrorResponse>;

/** An error kind of the closed set. */
export type ErrorKind = keyof typeof errorResponses;

/** A typed error that is returned to a caller. */
export type RouterError = {
	readonly kind: ErrorKind;
	/** What exactly failed, including the field and value where there is one. */
	readonly detail?: string;
	/** Overrides the retry delay of the error kind, in milliseconds. */
	readonly retryAfterMs?: number;
};

/** The JSON body of an error response. */
export type ErrorBody = {
	readonly error: {
		readonly kind: ErrorKind;
		readonly type: ErrorKind;
		readonly code: ErrorKind;
		readonly run: ExecutionState;
		readonly message: string;
		readonly retryAfterMs?: number;
	};
};

/**
 * Creates a `RouterError`.
 *
 * @example
 * routerError('unknownService', 'service "tents" is not in the catalogue');
 */
export const routerError = (kind: ErrorKind, detail?: string, retryAfterMs?: number): RouterError => ({kind, detail, retryAfterMs});

/** Returns whether a value is an error kind of the closed set. */
export const isErrorKind = (value: unknown): value is ErrorKind => typeof value === 'string' && Object.hasOwn(errorResponses, value);

/**
 * Returns the JSON body of the response to an error.
 *
 * @example
 * toErrorBody(routerError('overloaded')).error.run; // 'no'
 */
export const toErrorBody = (error: RouterError): ErrorBody => {
	const response: ErrorResponse = errorResponses[error.kind];
	const retryAfterMs = error.retryAfterMs ?? response.retryAfterMs;
	const message = error.detail === undefined ? response.message : `${response.message} ${error.detail}`;
	return {
		error: {
			kind: error.kind, type: error.kind, code: error.kind, run: response.run, message, retryAfterMs,
		},
	};
};
