/** Non-idempotent calls under a key: claimed durably, sent once, and answered alike to every resend. */
import {Buffer} from 'node:buffer';
import {createHash, randomUUID} from 'node:crypto';
import {Readable} from 'node:stream';
import {
	err, errorResponses, ok, routerError, toId,
} from '@baobabpier/core';
import type {
	ClaimKey,
	ClaimLedger,
	ClaimOutcome,
	ClaimRequest,
	ClaimResult,
	Clock,
	ErrorKind,
	InstanceId,
	InstanceIncarnation,
	RequestId,
	Result,
	RouterError,
	StoredResponse,
} from '@baobabpier/core';
import {createLog} from '../log.js';
import type {BackendPicker} from './backend-picker.js';
import type {CallSender} from './backend-sender.js';
import {ClaimSettler} from './claim-settler.js';
import type {Wait} from './claim-settler.js';
import type {PlainAnswer, PlainCall} from './plain-call.js';
import {readBounded} from './read-body.js';
import {toSingleRunAnswer} from './single-run-answer.js';

const log = createLog('claims');
const maxKeyCharacters = 256;

/**
 * A claim that was asked for longer ago is not used any more. Other instances may settle the claims of an
 * instance that they take for dead as unknown, but not sooner than this after they last heard of it.
 */
export const claimUseMs = 5000;

/** What claimed calls need. */
export type ClaimedCallParts = {
	readonly self: InstanceId;
	readonly life: InstanceIncarnation;
	readonly clock: Clock;
	readonly ledger: ClaimLedger;
	/** Waits before a repeated settle; timers when undefined. */
	readonly wait?: Wait;
};

const fingerprintOf = (call: PlainCall, body: Uint8Array): string => createHash('sha256')
	.update(`${call.method} ${call.path}${call.search}\n`)
	.update(body)
	.digest('hex');

const toAnswer = (stored: StoredResponse): PlainAnswer => ({...stored, body: Readable.from([Buffer.from(stored.body, 'base64')])});

const toResult = (call: PlainCall, outcome: ClaimOutcome): Result<PlainAnswer, RouterError> =>
	outcome.kind === 'answered' ? toSingleRunAnswer(call, toAnswer(outcome.answer)) : err(routerError(outcome.error));

const toOutcome = (kind: ErrorKind): ClaimOutcome => errorResponses[kind].run === 'no' ? {kind: 'notRun', error: kind} : {kind: 'unknown', error: kind};

/** Runs calls whose key was claimed. */
export class ClaimedCaller {
	readonly #settler: ClaimSettler;

	constructor(private readonly parts: ClaimedCallParts, private readonly picker: Pick<BackendPicker, 'pick'>, private readonly sender: CallSender) {
		this.#settler = new ClaimSettler(parts.ledger, parts.wait);
	}

	/** Claims whose end is not yet in the ledger. */
	get unsettled(): number {
		return this.#settler.pending;
	}

	/** Answers one call. */
	async call(call: PlainCall, callerKey: string): Promise<Result<PlainAnswer, RouterError>> {
		if (callerKey.length === 0 || callerKey.length > maxKeyCharacters) {
			return err(routerError('malformedRequest', `the idempotency key must have 1 to ${maxKeyCharacters} characters`));
		}

		const body = await this.#readBody(call);
		if (body.err) {
			return body;
		}

		const req: ClaimRequest = {
			key: toId<ClaimKey>(`${call.service.name}/${callerKey}`),
			// A resend may carry the same request id, and must not pass for a repeat of this wish
			requestId: toId<RequestId>(`${call.requestId}.${randomUUID().slice(0, 8)}`),
			claimant: this.parts.self,
			life: this.parts.life,
			fingerprint: fingerprintOf(call, body.val),
		};
		const askedAt = this.parts.clock.now();
		const verdict = await this.parts.ledger.claim(req);
		return verdict.kind === 'granted'
			? this.#run(call, body.val, {req, maySend: () => !call.signal.aborted && this.parts.clock.now() - askedAt <= claimUseMs})
			: this.#refused(call, req, verdict);
	}

	/** Stops settling. */
	close(): void {
		this.#settler.close();
	}

	async #readBody(call: PlainCall): Promise<Result<Uint8Array, RouterError>> {
		const limit = call.service.limits.bodyBytes;
		try {
			const body = await readBounded(call.body, limit);
			return body.kind === 'whole' && body.bytes.length <= limit ? ok(body.bytes) : err(routerError('bodyTooLarge', `over ${limit} bytes`));
		} catch {
			return err(routerError('malformedRequest', 'the body broke off'));
		}
	}

	#refused(call: PlainCall, req: ClaimRequest, verdict: Exclude<ClaimResult, {kind: 'granted'}>): Result<PlainAnswer, RouterError> {
		switch (verdict.kind) {
			case 'settled': {
				return toResult(call, verdict.outcome);
			}

			case 'inProgress': {
				return err(routerError('claimInProgress', `request ${verdict.requestId}`));
			}

			case 'otherRequest': {
				return err(routerError('keyReusedForOtherRequest'));
			}

			case 'unavailable': {
				if (verdict.maybeClaimed) {
					this.#settler.withdraw(req);
				}

				return err(routerError('ledgerUnavailable', verdict.detail));
			}
		}
	}

	/** Runs a call whose key this instance holds. Once sent, it goes on to its end though the caller may go. */
	async #run(call: PlainCall, body: Uint8Array, {req, maySend}: {req: ClaimRequest; maySend: () => boolean}): Promise<Result<PlainAnswer, RouterError>> {
		const signal = AbortSignal.timeout(call.service.limits.totalMs);
		const sent = await this.sender.send(call, body, {backend: this.picker.pick(call.service, new Set()), signal, maySend});
		const outcome = sent.ok ? await this.#keep(call, sent.val) : toOutcome(sent.val.kind);
		const settled = await this.#settler.settle(req, outcome);
		log('Claimed call finished.', {
			requestId: req.requestId, service: call.service.name, outcome: outcome.kind, settled,
		});
		return toResult(call, outcome);
	}

	/** Reads the answer within the bound on what the ledger keeps. */
	async #keep(call: PlainCall, answer: PlainAnswer): Promise<ClaimOutcome> {
		try {
			const body = await readBounded(answer.body, call.service.limits.bodyBytes);
			if (body.kind === 'whole') {
				return {kind: 'answered', answer: {status: answer.status, headers: answer.headers, body: Buffer.from(body.bytes).toString('base64')}};
			}

			body.stream.destroy();
		} catch {
			// The answer broke off
		}

		return {kind: 'unknown', error: 'answerLost'};
	}
}
