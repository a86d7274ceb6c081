/** The life of one model request: attempts, deadlines, and one terminal outcome. */
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
import {AttemptMemory} from './attempt-memory.js';
import type {
	AttemptCall, AttemptEvent, ModelRequest, RequestEffect, RequestEvent, RequestOutcome,
} from './request-events.js';
import {requestTransitions} from './request-transitions.js';
import type {RequestState} from './request-transitions.js';

/** The engine that a failed call speaks against; undefined when neither is at fault. */
const blamedEngine = (call: AttemptCall, fault: EngineFault, {prefill, decode}: Placement): EngineId | undefined => {
	if (fault.kind === 'expired') {
		return undefined;
	}

	// A decode engine that answers a transfer with a refusal could not read from the prefill engine
	const isPrefill = call === 'prefill' || (call === 'transfer' && fault.kind === 'refused');
	return isPrefill ? prefill.id : decode.id;
};

/** The call whose failure each state waits for. */
const awaitedCall: Partial<Record<RequestState, AttemptCall>> = {
	reserving: 'reserve', prefilling: 'prefill', transferring: 'transfer', decoding: 'decode',
};

/** Whether a failed reserve surely left no memory held. */
const isCertainRefusal = (fault: EngineFault): boolean => fault.kind === 'unreachable' || fault.kind === 'full' || fault.kind === 'refused';

/**
 * Drives one request from its start to its outcome, by the table `requestTransitions`.
 *
 * @example
 * const life = new RequestLife(request);
 * for (const effect of life.step({kind: 'start'}, clock.now())) perform(effect);
 */
export class RequestLife {
	#state: RequestState = 'new';
	#deadline: Instant | undefined;
	/** When the current call was sent, or its stream last heard. */
	#heardAt: Instant | undefined;
	/** Output tokens passed on to the caller by earlier attempts. */
	#sentBefore = 0;
	/** Output tokens of the current attempt passed on. */
	#seq = 0;
	/** Resumes since the last new token. */
	#resumes = 0;
	#dropped = 0;
	/** Whether an engine was told to work for this request. */
	#ran = false;
	readonly #excluded = new Set<EngineId>();
	readonly #attempts: AttemptMemory[] = [];

	constructor(readonly request: ModelRequest) {}

	/** Where the request is. */
	get state(): RequestState {
		return this.#state;
	}

	/** Output tokens passed on to the caller. */
	get outputTokens(): number {
		return this.#sentBefore + this.#seq;
	}

	/** Late or foreign events dropped. */
	get droppedEvents(): number {
		return this.#dropped;
	}

	/** Whether some attempt's memory is not yet confirmed free. */
	get freeing(): boolean {
		return this.#attempts.some(memory => memory.freeing);
	}

	/** What each attempt holds, the first attempt first. */
	get memory(): ReadonlyArray<AttemptMemory['state']> {
		return this.#attempts.map(memory => memory.state);
	}

	/** Handles one event and returns what must be done, in order. */
	step(event: RequestEvent, now: Instant): RequestEffect[] {
		const from = this.#state;
		const allowed = (requestTransitions[from] as Partial<Record<RequestEvent['kind'], readonly RequestState[]>>)[event.kind];
		if ('attempt' in event && (event.kind === 'freed' || event.attempt !== this.#attempts.length || allowed === undefined)) {
			return this.#lateEvent(event);
		}

		if (allowed === undefined) {
			this.#dropped += event.kind === 'tick' ? 0 : 1;
			return [];
		}

		const effects = this.#handle(event, now);
		invariant(allowed.includes(this.#state), 'TRANSITION_NOT_IN_TABLE', `${from} took ${event.kind} to ${this.#state}`);
		return effects;
	}

	get #current(): AttemptMemory {
		return this.#attempts.at(-1)!;
	}

	get #remainingTokens(): number {
		return this.request.maxTokens - this.outputTokens;
	}

	/** An event that the foreground does not wait for; it may still tell of memory to give back. */
	#lateEvent(event: AttemptEvent): RequestEffect[] {
		const memory = this.#attempts[event.attempt - 1];
		const effects = memory === undefined ? undefined : this.#memoryEvent(memory, event);
		if (effects === undefined) {
			this.#dropped += 1;
		}

		return effects ?? [];
	}

	#memoryEvent(memory: AttemptMemory, event: AttemptEvent): RequestEffect[] | undefined {
		switch (event.kind) {
			case 'freed': {
				return memory.freed(event.round);
			}

			case 'placed': {
				return memory.placed(event.placement);
			}

			case 'reserved': {
				return memory.step('reserved');
			}

			case 'failed': {
				return event.call === 'reserve' ? memory.step(isCertainRefusal(event.fault) ? 'refused' : 'reserved') : undefined;
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
				return this.#place(now);
			}

			case 'placed': {
				return this.#placed(event.placement);
			}

			case 'refused': {
				return this.#end(this.#failure(event.error));
			}

			case 'reserved': {
				return this.#reserved(now);
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
					kind: 'decode', attempt, placement, maxTokens: this.#remainingTokens, sentTokens: this.#sentBefore,
				});
			}

			case 'alive': {
				this.#heardAt = now;
				return [];
			}

			case 'chunk': {
				return this.#chunk(event.chunk, now);
			}

			case 'failed': {
				return this.#failed(event, now);
			}

			case 'callerGone': {
				return this.#end({kind: 'callerGone', outputTokens: this.outputTokens});
			}

			case 'tick': {
				return this.#tick(now);
			}
		}
	}

	#place(now: Instant): RequestEffect[] {
		this.#sentBefore += this.#seq;
		this.#seq = 0;
		this.#resumes = 0;
		this.#state = 'placing';
		const memory = new AttemptMemory(toId<AttemptNumber>(this.#attempts.length + 1));
		this.#attempts.push(memory);
		return [{
			kind: 'place',
			attempt: memory.attempt,
			tokens: this.request.promptTokens + this.outputTokens,
			maxTokens: this.#remainingTokens,
			pieces: countPieces(this.request.promptTokens + this.request.maxTokens, this.request.pieceTokens),
			excluded: [...this.#excluded],
			deadline: Math.min(addMs(now, this.request.queueMs), this.#deadline!) as Instant,
		}];
	}

	#placed(placement: Placement): RequestEffect[] {
		this.#state = 'reserving';
		return this.#current.placed(placement) ?? [];
	}

	#reserved(now: Instant): RequestEffect[] {
		const {attempt, placement} = this.#current;
		this.#current.step('reserved');
		this.#ran = true;
		return this.#advance('prefilling', now, {
			kind: 'prefill', attempt, placement, tokens: this.request.promptTokens + this.outputTokens,
		});
	}

	#advance(to: RequestState, now: Instant, effect: RequestEffect): RequestEffect[] {
		this.#state = to;
		this.#heardAt = now;
		return [effect];
	}

	#chunk(chunk: DecodeChunk, now: Instant): RequestEffect[] {
		this.#heardAt = now;
		if (chunk.seq > this.#seq) {
			return this.#resume(now);
		}

		if (chunk.kind === 'end' && chunk.seq === this.#seq) {
			return this.#end({kind: 'complete', finish: chunk.finish, outputTokens: this.outputTokens});
		}

		const fresh = chunk.kind === 'end' ? [] : chunk.texts.slice(this.#seq - chunk.seq);
		if (fresh.length === 0) {
			this.#dropped += 1;
			return [];
		}

		this.#seq += fresh.length;
		this.#resumes = 0;
		return [{kind: 'output', texts: fresh}];
	}

	/** Opens the running stream again from the first token not yet passed on. */
	#resume(now: Instant): RequestEffect[] {
		const {attempt, placement} = this.#current;
		if (this.#resumes >= this.request.maxAttempts) {
			return this.#retry(placement.decode.id, now);
		}

		this.#resumes += 1;
		this.#heardAt = now;
		return [{
			kind: 'resume', attempt, placement, fromSeq: this.#seq,
		}];
	}

	#failed(event: Extract<RequestEvent, {kind: 'failed'}>, now: Instant): RequestEffect[] {
		if (awaitedCall[this.#state] !== event.call) {
			this.#dropped += 1;
			return [];
		}

		if (this.#state === 'decoding' && event.fault.kind === 'lost') {
			return this.#resume(now);
		}

		this.#memoryEvent(this.#current, event);
		return this.#retry(blamedEngine(event.call, event.fault, this.#current.placement), now);
	}

	/** Gives up the current attempt and starts another elsewhere, or ends when none is left. */
	#retry(blamed: EngineId | undefined, now: Instant): RequestEffect[] {
		if (blamed !== undefined) {
			this.#excluded.add(blamed);
		}

		if (this.#remainingTokens <= 0) {
			return this.#end({kind: 'complete', finish: 'length', outputTokens: this.outputTokens});
		}

		if (this.#attempts.length >= this.request.maxAttempts) {
			return this.#end(this.#failure(routerError('noBackend', `${this.#attempts.length} attempts failed`)));
		}

		return [...this.#dropAttempt(), ...this.#place(now)];
	}

	#tick(now: Instant): RequestEffect[] {
		if (now >= this.#deadline!) {
			return this.#end(this.#failure(routerError('timeout')));
		}

		const silentMs = now - (this.#heardAt ?? now);
		if (this.#state === 'decoding') {
			return silentMs > this.request.silenceMs ? this.#resume(now) : [];
		}

		const isWorking = this.#state === 'prefilling' || this.#state === 'transferring';
		if (isWorking && silentMs > this.request.totalMs / this.request.maxAttempts) {
			return this.#retry(this.#state === 'prefilling' ? this.#current.placement.prefill.id : this.#current.placement.decode.id, now);
		}

		return [];
	}

	/** Once an engine worked for the request, no error may say that it was not run. */
	#failure(error: RouterError): RequestOutcome {
		const mayHaveRun = this.#ran && errorResponses[error.kind].run === 'no';
		const isPartial = this.outputTokens > 0;
		return {
			kind: 'failed', error: mayHaveRun || isPartial ? routerError('answerLost', error.detail) : error, outputTokens: this.outputTokens,
		};
	}

	#dropAttempt(): RequestEffect[] {
		return [{kind: 'abort', attempt: this.#current.attempt}, ...this.#current.step('drop') ?? []];
	}

	#end(outcome: RequestOutcome): RequestEffect[] {
		const effects = this.#state === 'new' ? [] : this.#dropAttempt();
		this.#state = 'done';
		return [{kind: 'finish', outcome}, ...effects];
	}
}
