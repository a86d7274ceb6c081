/** The state machine of one model request: attempts, deadlines, and one terminal outcome. */
import type {DecodeChunk, EngineFault} from '../engine/engine-client.js';
import {countPieces} from '../engine/tokens.js';
import {errorResponses, routerError} from '../errors.js';
import type {RouterError} from '../errors.js';
import {invariant} from '../invariant.js';
import {toId} from '../ids.js';
import type {AttemptNumber, EngineId} from '../ids.js';
import type {Placement} from '../placement/types.js';
import {addMs} from '../time.js';
import type {Instant} from '../time.js';
import {AttemptReservation} from './attempt-reservation.js';
import type {
	AttemptCall, AttemptEvent, ModelRequest, RequestEffect, RequestEvent, RequestOutcome,
} from './request-events.js';
import {requestTransitions} from './request-transitions.js';
import type {RequestState} from './request-transitions.js';

/** Returns the engine that caused a failed call; undefined when neither engine is at fault. */
const findEngineAtFault = (call: AttemptCall, fault: EngineFault, {prefill, decode}: Placement): EngineId | undefined => {
	if (fault.kind === 'expired') {
		return undefined;
	}

	// A decode engine refuses a transfer when it can't read from the prefill engine
	const isPrefill = call === 'prefill' || (call === 'transfer' && fault.kind === 'refused');
	return isPrefill ? prefill.id : decode.id;
};

/** The call that is pending in each state. */
const awaitedCalls: Partial<Record<RequestState, AttemptCall>> = {
	reserving: 'reserve', prefilling: 'prefill', transferring: 'transfer', decoding: 'decode',
};

/** Returns whether a failed reserve definitely left no memory reserved. */
const isReserveRejected = (fault: EngineFault): boolean => fault.kind === 'unreachable' || fault.kind === 'full' || fault.kind === 'refused';

/**
 * Drives one request from its start to its outcome, following the table `requestTransitions`.
 *
 * @example
 * const machine = new RequestStateMachine(request);
 * for (const effect of machine.step({kind: 'start'}, clock.now())) perform(effect);
 */
export class RequestStateMachine {
	#state: RequestState = 'new';
	#deadline: Instant | undefined;
	/** When the current call was sent, or its stream last received an event. */
	#lastActivityAt: Instant | undefined;
	/** Output tokens of earlier attempts forwarded to the caller. */
	#earlierAttemptTokens = 0;
	/** Output tokens of the current attempt forwarded to the caller; also the next expected sequence number. */
	#nextSeq = 0;
	/** Number of resumes since the last new token. */
	#resumeCount = 0;
	#droppedCount = 0;
	/** Whether an engine was called to run a prefill for this request. */
	#isPrefillSent = false;
	readonly #excludedEngines = new Set<EngineId>();
	readonly #reservations: AttemptReservation[] = [];

	constructor(readonly request: ModelRequest) {}

	/** The current state of the request. */
	get state(): RequestState {
		return this.#state;
	}

	/** Number of output tokens forwarded to the caller. */
	get outputTokens(): number {
		return this.#earlierAttemptTokens + this.#nextSeq;
	}

	/** Number of late or unexpected events dropped. */
	get droppedEvents(): number {
		return this.#droppedCount;
	}

	/** Whether the memory of some attempt is not yet confirmed free. */
	get isReleasing(): boolean {
		return this.#reservations.some(reservation => reservation.isReleasing);
	}

	/** The reservation state of each attempt, in order of attempts. */
	get reservationStates(): ReadonlyArray<AttemptReservation['state']> {
		return this.#reservations.map(reservation => reservation.state);
	}

	/** Handles one event and returns the effects to perform, in order. */
	step(event: RequestEvent, now: Instant): RequestEffect[] {
		const from = this.#state;
		const nextStates = (requestTransitions[from] as Partial<Record<RequestEvent['kind'], readonly RequestState[]>>)[event.kind];
		if ('attempt' in event && (event.kind === 'freed' || event.attempt !== this.#reservations.length || nextStates === undefined)) {
			return this.#handleLateEvent(event);
		}

		if (nextStates === undefined) {
			this.#droppedCount += event.kind === 'tick' ? 0 : 1;
			return [];
		}

		const effects = this.#handle(event, now);
		invariant(nextStates.includes(this.#state), 'TRANSITION_NOT_IN_TABLE', `${from} took ${event.kind} to ${this.#state}`);
		return effects;
	}

	get #current(): AttemptReservation {
		return this.#reservations.at(-1)!;
	}

	get #remainingTokens(): number {
		return this.request.maxTokens - this.outputTokens;
	}

	/** Handles an event that the current state does not expect; it may still affect the reservation of its attempt. */
	#handleLateEvent(event: AttemptEvent): RequestEffect[] {
		const reservation = this.#reservations[event.attempt - 1];
		const effects = reservation === undefined ? undefined : this.#stepReservation(reservation, event);
		if (effects === undefined) {
			this.#droppedCount += 1;
		}

		return effects ?? [];
	}

	#stepReservation(reservation: AttemptReservation, event: AttemptEvent): RequestEffect[] | undefined {
		switch (event.kind) {
			case 'freed': {
				return reservation.handleFreed(event.round);
			}

			case 'placed': {
				return reservation.handlePlaced(event.placement);
			}

			case 'reserved': {
				return reservation.step('reserved');
			}

			case 'failed': {
				return event.call === 'reserve' ? reservation.step(isReserveRejected(event.fault) ? 'refused' : 'reserved') : undefined;
			}

			default: {
				return undefined;
			}
		}
	}

	#handle(event: Exclude<RequestEvent, {kind: 'freed'}>, now: Instant): RequestEffect[] {
		switch (event.kind) {
			case 'start': {
				this.#deadline = addMs(now, this.request.totalMs);
				return this.#startAttempt(now);
			}

			case 'placed': {
				return this.#handlePlaced(event.placement);
			}

			case 'refused': {
				return this.#finish(this.#createFailedOutcome(event.error));
			}

			case 'reserved': {
				return this.#handleReserved(now);
			}

			case 'prefilled': {
				const {attempt, placement} = this.#current;
				return [
					{kind: 'prefillDone', attempt, placement},
					...this.#advance('transferring', now, {
						kind: 'transfer', attempt, placement, handle: event.handle,
					}),
				];
			}

			case 'transferred': {
				const {attempt, placement} = this.#current;
				return this.#advance('decoding', now, {
					kind: 'decode', attempt, placement, maxTokens: this.#remainingTokens, sentTokens: this.#earlierAttemptTokens,
				});
			}

			case 'alive': {
				this.#lastActivityAt = now;
				return [];
			}

			case 'chunk': {
				return this.#handleChunk(event.chunk, now);
			}

			case 'failed': {
				return this.#handleFailure(event, now);
			}

			case 'callerGone': {
				return this.#finish({kind: 'callerGone', outputTokens: this.outputTokens});
			}

			case 'tick': {
				return this.#handleTick(now);
			}
		}
	}

	#startAttempt(now: Instant): RequestEffect[] {
		this.#earlierAttemptTokens += this.#nextSeq;
		this.#nextSeq = 0;
		this.#resumeCount = 0;
		this.#state = 'placing';
		const reservation = new AttemptReservation(toId<AttemptNumber>(this.#reservations.length + 1));
		this.#reservations.push(reservation);
		return [{
			kind: 'place',
			attempt: reservation.attempt,
			tokens: this.request.promptTokens + this.outputTokens,
			maxTokens: this.#remainingTokens,
			pieces: countPieces(this.request.promptTokens + this.request.maxTokens, this.request.pieceTokens),
			excluded: [...this.#excludedEngines],
			deadline: Math.min(addMs(now, this.request.queueMs), this.#deadline!) as Instant,
		}];
	}

	#handlePlaced(placement: Placement): RequestEffect[] {
		this.#state = 'reserving';
		return this.#current.handlePlaced(placement) ?? [];
	}

	#handleReserved(now: Instant): RequestEffect[] {
		const {attempt, placement} = this.#current;
		this.#current.step('reserved');
		this.#isPrefillSent = true;
		return this.#advance('prefilling', now, {
			kind: 'prefill', attempt, placement, tokens: this.request.promptTokens + this.outputTokens,
		});
	}

	#advance(to: RequestState, now: Instant, effect: RequestEffect): RequestEffect[] {
		this.#state = to;
		this.#lastActivityAt = now;
		return [effect];
	}

	#handleChunk(chunk: DecodeChunk, now: Instant): RequestEffect[] {
		this.#lastActivityAt = now;
		if (chunk.seq > this.#nextSeq) {
			return this.#resumeStream(now);
		}

		if (chunk.kind === 'end' && chunk.seq === this.#nextSeq) {
			return this.#finish({kind: 'complete', finish: chunk.finish, outputTokens: this.outputTokens});
		}

		const newTexts = chunk.kind === 'end' ? [] : chunk.texts.slice(this.#nextSeq - chunk.seq);
		if (newTexts.length === 0) {
			this.#droppedCount += 1;
			return [];
		}

		this.#nextSeq += newTexts.length;
		this.#resumeCount = 0;
		return [{kind: 'output', texts: newTexts}];
	}

	/** Reopens the running stream from the first token not yet forwarded. */
	#resumeStream(now: Instant): RequestEffect[] {
		const {attempt, placement} = this.#current;
		if (this.#resumeCount >= this.request.maxAttempts) {
			return this.#retry(placement.decode.id, now);
		}

		this.#resumeCount += 1;
		this.#lastActivityAt = now;
		return [{
			kind: 'resume', attempt, placement, fromSeq: this.#nextSeq,
		}];
	}

	#handleFailure(event: Extract<RequestEvent, {kind: 'failed'}>, now: Instant): RequestEffect[] {
		if (awaitedCalls[this.#state] !== event.call) {
			this.#droppedCount += 1;
			return [];
		}

		if (this.#state === 'decoding' && event.fault.kind === 'lost') {
			return this.#resumeStream(now);
		}

		this.#stepReservation(this.#current, event);
		return this.#retry(findEngineAtFault(event.call, event.fault, this.#current.placement), now);
	}

	/** Abandons the current attempt and starts another on other engines, or finishes when no attempts or tokens remain. */
	#retry(engineAtFault: EngineId | undefined, now: Instant): RequestEffect[] {
		if (engineAtFault !== undefined) {
			this.#excludedEngines.add(engineAtFault);
		}

		if (this.#remainingTokens <= 0) {
			return this.#finish({kind: 'complete', finish: 'length', outputTokens: this.outputTokens});
		}

		if (this.#reservations.length >= this.request.maxAttempts) {
			return this.#finish(this.#createFailedOutcome(routerError('noBackend', `${this.#reservations.length} attempts failed`)));
		}

		return [...this.#abandonAttempt(), ...this.#startAttempt(now)];
	}

	#handleTick(now: Instant): RequestEffect[] {
		if (now >= this.#deadline!) {
			return this.#finish(this.#createFailedOutcome(routerError('timeout')));
		}

		const idleMs = now - (this.#lastActivityAt ?? now);
		if (this.#state === 'decoding') {
			return idleMs > this.request.streamIdleTimeoutMs ? this.#resumeStream(now) : [];
		}

		const isCallPending = this.#state === 'prefilling' || this.#state === 'transferring';
		if (isCallPending && idleMs > this.request.totalMs / this.request.maxAttempts) {
			return this.#retry(this.#state === 'prefilling' ? this.#current.placement.prefill.id : this.#current.placement.decode.id, now);
		}

		return [];
	}

	/** After a prefill was sent, no error may report that the request was not run. */
	#createFailedOutcome(error: RouterError): RequestOutcome {
		const mayHaveRun = this.#isPrefillSent && errorResponses[error.kind].run === 'no';
		const isPartial = this.outputTokens > 0;
		return {
			kind: 'failed', error: mayHaveRun || isPartial ? routerError('answerLost', error.detail) : error, outputTokens: this.outputTokens,
		};
	}

	#abandonAttempt(): RequestEffect[] {
		return [{kind: 'abort', attempt: this.#current.attempt}, ...this.#current.step('drop') ?? []];
	}

	#finish(outcome: RequestOutcome): RequestEffect[] {
		const effects = this.#state === 'new' ? [] : this.#abandonAttempt();
		this.#state = 'done';
		return [{kind: 'finish', outcome}, ...effects];
	}
}
