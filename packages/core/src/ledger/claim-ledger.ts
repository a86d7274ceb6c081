/** The claim ledger: records, for each non-idempotent call, which request may run it and its outcome. */
import type {ErrorKind} from '../errors.js';
import type {
	ClaimKey, InstanceId, InstanceIncarnation, RequestId,
} from '../ids.js';
import type {LogTime} from '../control/control-command.js';

/** The response of a completed call, stored to be returned to retries by the caller. */
export type StoredResponse = {
	readonly status: number;
	readonly headers: ReadonlyArray<readonly [string, string]>;
	/** The body, base64-encoded. */
	readonly body: string;
};

/** The outcome of a claimed call. */
export type ClaimOutcome =
	| {readonly kind: 'answered'; readonly answer: StoredResponse}
	/** The call was not run; the key may be claimed again. */
	| {readonly kind: 'notRun'; readonly error: ErrorKind}
	/** The call may have run; it is never run again. */
	| {readonly kind: 'unknown'; readonly error: ErrorKind};

/** A request for the exclusive right to run a call. */
export type ClaimRequest = {
	readonly key: ClaimKey;
	/** Unique to this request: a retry by the caller has another id. */
	readonly requestId: RequestId;
	readonly claimant: InstanceId;
	/** The claimant's incarnation that makes the call; undefined counts as an earlier incarnation. */
	readonly life?: InstanceIncarnation;
	/** Hash of method, path and body: a claim of the same key with a different fingerprint is refused. */
	readonly fingerprint: string;
};

/** Result of a claim. */
export type ClaimResult =
	/** The claimant has the exclusive right to run the call. */
	| {readonly kind: 'granted'}
	/** An earlier request with this key is already settled, with this outcome. */
	| {readonly kind: 'settled'; readonly requestId: RequestId; readonly outcome: ClaimOutcome}
	| {readonly kind: 'inProgress'; readonly requestId: RequestId}
	| {readonly kind: 'otherRequest'}
	/** Not granted. With `maybeClaimed`, the claim may still be opened later; the claimant must then settle it. */
	| {readonly kind: 'unavailable'; readonly detail: string; readonly maybeClaimed: boolean};

/** The record of a key in the ledger. */
export type ClaimRecord = ClaimRequest & {
	readonly claimedAt: LogTime;
	readonly outcome: ClaimOutcome | undefined;
};

/** Interface of the claim ledger. */
export type ClaimLedger = {
	/**
	 * Claims a key. A granted claim is durable: repeating the same request grants it again. After any crash, no other claim of the key is granted unless this one settled as not run.
	 */
	claim(req: ClaimRequest): Promise<ClaimResult>;
	/** Records an outcome; resolves to false if it could not be made durable. */
	settle(key: ClaimKey, requestId: RequestId, outcome: ClaimOutcome): Promise<boolean>;
	lookup(key: ClaimKey): Promise<ClaimRecord | undefined>;
};
