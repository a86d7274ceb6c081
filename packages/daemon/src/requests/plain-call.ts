/** Passes a call to a plain backend server, by its idempotency and its key. */
import type {Readable} from 'node:stream';
import type {IncomingHttpHeaders} from 'node:http';
import {isIdempotentCall} from '@baobabpier/core';
import type {
	BackendId,
	ClaimLedger,
	Clock,
	DataCentreId,
	InstanceId,
	InstanceIncarnation,
	PlainService,
	RandomSource,
	RequestId,
	Result,
	RouterError,
} from '@baobabpier/core';
import type {ForeignResponseListener} from '../transport/types.js';
import {BackendSender} from './backend-sender.js';
import {BackendPicker} from './backend-picker.js';
import {ClaimedCaller} from './claimed-call.js';
import {IdempotentCaller} from './idempotent-call.js';
import {toSingleRunAnswer} from './single-run-answer.js';

/** A caller's call to a plain service. */
export type PlainCall = {
	readonly requestId: RequestId;
	readonly service: PlainService;
	readonly method: string;
	/** Path within the service, from `/`. */
	readonly path: string;
	readonly search: string;
	readonly headers: IncomingHttpHeaders;
	readonly key: string | undefined;
	/** Bytes where the caller's side has read the body already. */
	readonly body: Readable | Uint8Array;
	/** Aborted when the caller goes, or when the call's longest time is up. */
	readonly signal: AbortSignal;
};

/** The answer of a backend server on its way to the caller. */
export type PlainAnswer = {
	readonly status: number;
	readonly headers: ReadonlyArray<readonly [string, string]>;
	readonly body: Readable;
};

/** What plain calls need. */
export type PlainCallParts = {
	readonly self: InstanceId;
	/** This run of the instance. */
	readonly life: InstanceIncarnation;
	readonly clock: Clock;
	readonly dataCentre: DataCentreId;
	readonly ledger: ClaimLedger;
	readonly random: RandomSource;
	readonly isLeaving: (id: BackendId) => boolean;
	readonly onForeignResponse?: ForeignResponseListener;
};

/** Sends calls to plain backend servers: idempotent ones with retries, others once. */
export class PlainCaller {
	readonly #sender: BackendSender;
	readonly #picker: BackendPicker;
	readonly #idempotent: IdempotentCaller;
	readonly #claimed: ClaimedCaller;

	#running = 0;

	constructor(parts: PlainCallParts) {
		this.#sender = new BackendSender(parts.onForeignResponse);
		this.#picker = new BackendPicker(parts);
		this.#idempotent = new IdempotentCaller(this.#picker, this.#sender);
		this.#claimed = new ClaimedCaller(parts, this.#picker, this.#sender);
	}

	/** Claims whose end is not yet in the ledger. */
	get unsettledClaims(): number {
		return this.#claimed.unsettled;
	}

	/** Calls not yet answered, claimed ones that their caller left among them. */
	get running(): number {
		return this.#running;
	}

	/** Calls in progress on a backend server. */
	usesOf(id: BackendId): number {
		return this.#sender.usesOf(id);
	}

	/** Answers one call. */
	async call(call: PlainCall): Promise<Result<PlainAnswer, RouterError>> {
		this.#running += 1;
		try {
			return await this.#dispatch(call);
		} finally {
			this.#running -= 1;
		}
	}

	/** Closes the connections. */
	async close(): Promise<void> {
		this.#claimed.close();
		await this.#sender.close();
	}

	async #dispatch(call: PlainCall): Promise<Result<PlainAnswer, RouterError>> {
		if (isIdempotentCall(call.service, call.method, call.path)) {
			return this.#idempotent.call(call);
		}

		return call.key === undefined ? this.#callOnce(call) : this.#claimed.call(call, call.key);
	}

	/** A call without a key is sent once and never again. */
	async #callOnce(call: PlainCall): Promise<Result<PlainAnswer, RouterError>> {
		const signal = AbortSignal.any([call.signal, AbortSignal.timeout(call.service.limits.totalMs)]);
		const answer = await this.#sender.send(call, call.body, {backend: this.#picker.pick(call.service, new Set()), signal});
		return answer.andThen(val => toSingleRunAnswer(call, val));
	}
}
