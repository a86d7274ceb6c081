/** The record of non-idempotent keys: who may run a call, and what came of it. */
import type {ErrorKind} from '../errors.js';
import type {
	ClaimKey, InstanceId, InstanceIncarnation, RequestId,
} from '../ids.js';
import type {LogTime} from '../control/control-command.js';

/** A finished call's answer, kept for resends. */
export type StoredResponse = {
	readonly status: number;
	readonly headers: ReadonlyArray<readonly [string, string]>;
	/** The body, base64. */
	readonly body: string;
};

/** What a claimed call came to. */
export type ClaimOutcome =
	| {readonly kind: 'answered'; readonly answer: StoredResponse}
	/** It was not run; the key may be claimed again. */
	| {readonly kind: 'notRun'; readonly error: ErrorKind}
	/** It may have run; it is never run again. */
	| {readonly kind: 'unknown'; readonly error: ErrorKind};

/** The wish to run a call. */
export type ClaimRequest = {
	readonly key: ClaimKey;
	/** Unique to this call: a resend by the caller has another. */
	readonly requestId: RequestId;
	readonly claimant: InstanceId;
	/** The run of the claimant that makes the call; undefined counts as a former one. */
	readonly life?: InstanceIncarnation;
	/** Hash of method, path and body: the same key with another body is refused. */
	readonly fingerprint: string;
};

/** The ledger's answer to a claim. */
export type ClaimResult =
	/** The claimant runs the call, and nobody else does. */
	| {readonly kind: 'granted'}
	/** It ran already; this is its outcome. */
	| {readonly kind: 'settled'; readonly requestId: RequestId; readonly outcome: ClaimOutcome}
	| {readonly kind: 'inProgress'; readonly requestId: RequestId}
	| {readonly kind: 'otherRequest'}
	/** Not granted; with `maybeClaimed` the wish may yet become an open claim, which its claimant must close. */
	| {readonly kind: 'unavailable'; readonly detail: string; readonly maybeClaimed: boolean};

/** What the ledger holds under a key. */
export type ClaimRecord = ClaimRequest & {
	readonly claimedAt: LogTime;
	readonly outcome: ClaimOutcome | undefined;
};

/** The claim ledger as the rest of the system uses it. */
export type ClaimLedger = {
	/**
	 * Durable once granted: a repeat of the same wish is granted again. After any crash, no other claim of the key is granted unless it settled as not run.
	 */
	claim(req: ClaimRequest): Promise<ClaimResult>;
	/** Records an outcome; resolves to false when it could not be made durable. */
	settle(key: ClaimKey, requestId: RequestId, outcome: ClaimOutcome): Promise<boolean>;
	lookup(key: ClaimKey): Promise<ClaimRecord | undefined>;
};
