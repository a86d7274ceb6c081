/** The life of one model request: attempts, deadlines, and one terminal outcome. */
import type {DecodeChunk, EngineFault} from '../engine/engine-client.js';
import {countPieces} from '../engine/tokens.js';
import {errorAnswers, routerError} from '../errors.js';
import type {RouterError} from '../errors.js';
import {invariant} from '../invariant.js';
import {toId} from '../ids.js';
import type {AttemptNumber, EngineId} from '../ids.js';
import type {Placement} from '../placement/types.js';
import {after} from '../time.js';
import type {Instant} from '../time.js';
import {AttemptReservation} from './attempt-reservation.js';
import type {
	AttemptCall, AttemptEvent, ModelRequest, RequestEffect, RequestEvent, RequestOutcome,
} from './request-events.js';
import {requestTransitions} from './request-transitions.js';
import type {RequestState} from './request-transitions.js';

/** The engine that a failed call speaks against; undefined when neither is at fault. */
const findEngineAtFault = (call: AttemptCall, fault: EngineFault, {prefill, decode}: Placement): EngineId | undefined => {
	if (fault.kind === 'expired') {
		return undefined;
	}

	// A decode engine that answers a transfer with a refusal could not read from the prefill engine
	const isPrefill = call === 'prefill' || (call === 'transfer' && fault.kind === 'refused');
	return isPrefill ? prefill.id : decode.id;
};

/** The call whose failure each state waits for. */
const awaitedCalls: Partial<Record<RequestState, AttemptCall>> = {
	reserving: 'reserve', prefilling: 'prefill', transferring: 'transfer', decoding: 'decode',
};

/** Whether a failed reserve surely left no memory held. */
const isReserveRejected = (fault: EngineFault): boolean => fault.kind === 'unreachable' || fault.kind === 'full' || fault.kind === 'refused';

/**
 * Drives one request from its start to its outcome, by the table `requestTransitions`.
 *
 * @example
 * const life = new RequestLife(request);
 * for (const effect of life.step({kind: 'start'}, clock.now())) perform(effect);
 */
export class RequestStateMachine {
	#state: RequestState = 'new';
	#deadline: Instant | undefined;
	/** When the current call was sent, or its stream last heard. */
	#lastActivityAt: Instant | undefined;
	/** Output tokens passed on to the caller by earlier attempts. */
	#earlierAttemptTokens = 0;
	/** Output tokens of the current attempt passed on. */
	#nextSeq = 0;
	/** Resumes since the last new token. */
	#resumeCount = 0;
	#droppedCount = 0;
	/** Whether an engine was told to work for this request. */
	#isPrefillSent = false;
	readonly #excludedEngines = new Set<EngineId>();
	readonly #reservations: AttemptReservation[] = [];

	constructor(readonly request: ModelRequest) {}

	/** Where the request is. */
	get state(): RequestState {
		return this.#state;
	}

	/** Output tokens passed on to the caller. */
	get outputTokens(): number {
		return this.#earlierAttemptTokens + this.#nextSeq;
	}

	/** Late or foreign events dropped. */
	get droppedEvents(): number {
		return this.#droppedCount;
	}

	/** Whether some attempt's memory is not yet confirmed free. */
	get isReleasing(): boolean {
		return this.#reservations.some(memory => memory.isReleasing);
	}

	/** What each attempt holds, the first attempt first. */
	get reservationStates(): ReadonlyArray<AttemptReservation['state']> {
		return this.#reservations.map(memory => memory.state);
	}

	/** Handles one event and returns what must be done, in order. */
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

	/** An event that the foreground does not wait for; it may still tell of memory to give back. */
	#handleLateEvent(event: AttemptEvent): RequestEffect[] {
		const memory = this.#reservations[event.attempt - 1];
		const effects = memory === undefined ? undefined : this.#stepReservation(memory, event);
		if (effects === undefined) {
			this.#droppedCount += 1;
		}

		return effects ?? [];
	}

	#stepReservation(memory: AttemptReservation, event: AttemptEvent): RequestEffect[] | undefined {
		switch (event.kind) {
			case 'freed': {
				return memory.handleFreed(event.round);
			}

			case 'placed': {
				return memory.handlePlaced(event.placement);
			}

			case 'reserved': {
				return memory.step('reserved');
			}

			case 'failed': {
				return event.call === 'reserve' ? memory.step(isReserveRejected(event.fault) ? 'refused' : 'reserved') : undefined;
			}

			default: {
				return undefined;
			}
		}
	}

	#handle(event: Exclude<RequestEvent, {kind: 'freed'}>, now: Instant): RequestEffect[] {
		switch (event.kind) {
			case 'start': {
				this.#deadline = after(now, this.request.totalMs);
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
		const memory = new AttemptReservation(toId<AttemptNumber>(this.#reservations.length + 1));
		this.#reservations.push(memory);
		return [{
			kind: 'place',
			attempt: memory.attempt,
			tokens: this.request.promptTokens + this.outputTokens,
			maxTokens: this.#remainingTokens,
			pieces: countPieces(this.request.promptTokens + this.request.maxTokens, this.request.pieceTokens),
			excluded: [...this.#excludedEngines],
			deadline: Math.min(after(now, this.request.queueMs), this.#deadline!) as Instant,
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

	/** Opens the running stream again from the first token not yet passed on. */
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

	/** Gives up the current attempt and starts another elsewhere, or ends when none is left. */
	#retry(blamed: EngineId | undefined, now: Instant): RequestEffect[] {
		if (blamed !== undefined) {
			this.#excludedEngines.add(blamed);
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

	/** Once an engine worked for the request, no error may say that it was not run. */
	#createFailedOutcome(error: RouterError): RequestOutcome {
		const mayHaveRun = this.#isPrefillSent && errorAnswers[error.kind].run === 'no';
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
