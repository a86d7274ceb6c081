/** Performs the effects of one model request's life against engines and the caller. */
import {
	EngineFaultError, RequestStateMachine,
} from '@baobabpier/core';
import type {
	AttemptCall,
	AttemptNumber,
	Clock,
	DecodeChunk,
	EngineFault,
	EngineHold,
	InstanceId,
	ModelRequest,
	ModelService,
	Placement,
	RequestEffect,
	RequestEvent,
	RequestOutcome,
} from '@baobabpier/core';
import type {EngineCanceller} from '../engine/engine-canceller.js';
import type {EngineClients} from '../engine/engine-clients.js';
import {createLog} from '../log.js';
import {captureTrace, withSpan} from '../observability/tracing.js';
import type {PlacementClient, PoolAddress} from '../pools/placement-client.js';
import {OutputPace} from './output-pace.js';

const log = createLog('request');

/** Where a request's output goes. */
export type OutputSink = {
	write(texts: readonly string[]): void;
	end(outcome: RequestOutcome): void;
	/** Resolves when the caller has room for more. */
	ready(): Promise<void>;
};

/** What a request task needs. */
export type RequestTaskParts = {
	readonly self: InstanceId;
	readonly clock: Clock;
	readonly clients: EngineClients;
	readonly canceller: EngineCanceller;
	readonly places: PlacementClient;
};

/** What the caller asked for, with the texts that the core does not need. */
export type TaskRequest = ModelRequest & {
	readonly service: ModelService;
	readonly prompt: string;
	readonly prefix: string;
};

const priorities = {urgent: 0, patient: 1} as const;

type AttemptResources = {
	readonly abort: AbortController;
	stream: AbortController | undefined;
	pool: PoolAddress | undefined;
	/** Whether reading waits for the caller, so that silence says nothing about the engine. */
	paused: boolean;
};

/** The task of one request: owns its connections to engines. */
export class ModelRequestTask {
	readonly life: RequestStateMachine;
	readonly #attempts = new Map<AttemptNumber, AttemptResources>();
	readonly #sent: string[] = [];
	#outcome: RequestOutcome | undefined;
	readonly #inTrace = captureTrace();
	readonly #pace: OutputPace;

	constructor(private readonly req: TaskRequest, private readonly sink: OutputSink, private readonly parts: RequestTaskParts) {
		this.life = new RequestStateMachine(req);
		this.#pace = new OutputPace(parts.clock.now());
	}

	/** How it ended, as metrics name it; undefined while it runs. */
	get outcome(): string | undefined {
		return this.#outcome?.kind === 'failed' ? this.#outcome.error.kind : this.#outcome?.kind;
	}

	/** Feeds one event into the life and performs what it asks for. */
	dispatch(event: RequestEvent): void {
		if (event.kind === 'tick') {
			this.#dispatchPauses();
		}

		for (const effect of this.life.step(event, this.parts.clock.now())) {
			this.#inTrace(() => {
				this.#perform(effect);
			});
		}
	}

	#dispatchPauses(): void {
		for (const [attempt, {paused}] of this.#attempts) {
			if (paused) {
				this.dispatch({kind: 'alive', attempt});
			}
		}
	}

	#perform(effect: RequestEffect): void {
		switch (effect.kind) {
			case 'place': {
				void this.#place(effect);
				break;
			}

			case 'reserve': {
				void this.#reserve(effect.attempt, effect.placement);
				break;
			}

			case 'prefill': {
				void this.#prefill(effect);
				break;
			}

			case 'prefillDone': {
				void this.#prefillDone(effect.attempt);
				break;
			}

			case 'transfer': {
				void this.#transfer(effect);
				break;
			}

			case 'decode': {
				const hold = this.#hold(effect.attempt);
				void this.#read(effect.attempt, effect.placement, signal => this.#decodeClient(effect.placement).decode({
					...hold, maxTokens: effect.maxTokens, sentTokens: effect.sentTokens, priority: this.#priority,
				}, signal));
				break;
			}

			case 'resume': {
				const hold = this.#hold(effect.attempt);
				log('The stream is resumed.', {requestId: this.req.id, attempt: effect.attempt, fromSeq: effect.fromSeq});
				void this.#read(effect.attempt, effect.placement, signal => this.#decodeClient(effect.placement).resume(hold, effect.fromSeq, signal));
				break;
			}

			case 'abort': {
				this.#abort(effect.attempt);
				break;
			}

			case 'cancel': {
				void this.#cancel(effect);
				break;
			}

			case 'release': {
				void this.#release(effect.attempt);
				break;
			}

			case 'output': {
				this.#sent.push(...effect.texts);
				this.#pace.add(effect.texts.length, this.parts.clock.now());
				this.sink.write(effect.texts);
				break;
			}

			case 'finish': {
				this.#outcome = effect.outcome;
				this.sink.end(effect.outcome);
				break;
			}
		}
	}

	get #priority(): number {
		return priorities[this.req.service.class];
	}

	#hold(attempt: AttemptNumber): EngineHold {
		return {requestId: this.req.id, attempt};
	}

	#resources(attempt: AttemptNumber): AttemptResources {
		const resources = this.#attempts.get(attempt) ?? {
			abort: new AbortController(), stream: undefined, pool: undefined, paused: false,
		};
		this.#attempts.set(attempt, resources);
		return resources;
	}

	#decodeClient(placement: Placement): ReturnType<EngineClients['get']> {
		return this.parts.clients.get(placement.decode.id, placement.decode.address);
	}

	async #place({attempt, tokens, maxTokens, pieces, excluded, deadline}: Extract<RequestEffect, {kind: 'place'}>): Promise<void> {
		const resources = this.#resources(attempt);
		const firstOutputMs = this.#pace.leftMs(this.req.service.targets.firstOutputMs, this.parts.clock.now());
		const {response: answer, pool} = await withSpan('place', {attributes: {attempt}}, async () => this.parts.places.place(this.req.service, {
			firstOutputMs, ...this.#hold(attempt), class: this.req.service.class, promptTokens: tokens, maxTokens, pieces, prefix: this.req.prefix, waitMs: deadline - this.parts.clock.now(), excluded,
		}, resources.abort.signal));
		resources.pool = pool;
		if (answer.kind === 'placed') {
			this.dispatch({kind: 'placed', attempt, placement: answer.placement});
		} else {
			this.dispatch({kind: 'refused', attempt, error: answer.error});
		}
	}

	async #reserve(attempt: AttemptNumber, placement: Placement): Promise<void> {
		const answer = await this.#decodeClient(placement).reserve(this.#hold(attempt), placement.pieces, this.parts.self);
		this.dispatch(answer.ok ? {kind: 'reserved', attempt} : this.#failed(attempt, 'reserve', answer.val));
	}

	async #prefill({attempt, placement, tokens}: Extract<RequestEffect, {kind: 'prefill'}>): Promise<void> {
		const {id, address} = placement.prefill;
		const order = {
			...this.#hold(attempt), prompt: this.req.prompt + this.#sent.join(''), tokens, priority: this.#priority,
		};
		const answer = await this.parts.clients.get(id, address).prefill(order, this.#resources(attempt).abort.signal);
		this.dispatch(answer.ok ? {kind: 'prefilled', attempt, handle: answer.val} : this.#failed(attempt, 'prefill', answer.val));
	}

	async #prefillDone(attempt: AttemptNumber): Promise<void> {
		const {pool} = this.#resources(attempt);
		await (pool === undefined ? undefined : this.parts.places.prefillDone(pool, this.#hold(attempt)));
	}

	async #transfer({attempt, placement, handle}: Extract<RequestEffect, {kind: 'transfer'}>): Promise<void> {
		const {signal} = this.#resources(attempt).abort;
		const answer = await this.#decodeClient(placement).transfer(this.#hold(attempt), handle, placement.prefill.address, signal);
		if (answer.ok) {
			void this.#transferDone(attempt);
		}

		this.dispatch(answer.ok ? {kind: 'transferred', attempt} : this.#failed(attempt, 'transfer', answer.val));
	}

	async #transferDone(attempt: AttemptNumber): Promise<void> {
		const pool = this.#attempts.get(attempt)?.pool;
		await (pool === undefined ? undefined : this.parts.places.transferDone(pool, this.#hold(attempt)));
	}

	/** Reads one decode stream; a later one for the same attempt replaces it. */
	async #read(attempt: AttemptNumber, placement: Placement, open: (signal: AbortSignal) => AsyncGenerator<DecodeChunk>): Promise<void> {
		const resources = this.#resources(attempt);
		resources.stream?.abort();
		const stream = new AbortController();
		resources.stream = stream;
		const teardown = this.parts.clients.registerAliveListener(this.#hold(attempt), () => {
			this.dispatch({kind: 'alive', attempt});
		});
		try {
			for await (const chunk of open(AbortSignal.any([stream.signal, resources.abort.signal]))) {
				this.dispatch({kind: 'chunk', attempt, chunk});
				resources.paused = true;
				await this.sink.ready();
				resources.paused = false;
			}
		} catch (error) {
			if (!stream.signal.aborted && !resources.abort.signal.aborted) {
				const fault: EngineFault = error instanceof EngineFaultError ? error.fault : {kind: 'lost', detail: String(error)};
				this.dispatch(this.#failed(attempt, 'decode', fault));
			}
		} finally {
			if (resources.stream === stream) {
				resources.paused = false;
				teardown();
			}
		}
	}

	#abort(attempt: AttemptNumber): void {
		this.#attempts.get(attempt)?.abort.abort();
	}

	async #cancel({attempt, placement, round}: Extract<RequestEffect, {kind: 'cancel'}>): Promise<void> {
		await this.parts.canceller.cancel(placement.decode.id, placement.decode.address, this.#hold(attempt));
		this.dispatch({kind: 'freed', attempt, round});
	}

	async #release(attempt: AttemptNumber): Promise<void> {
		const {pool} = this.#resources(attempt);
		this.#attempts.delete(attempt);
		const pace = attempt === 1 ? this.#pace.sample : undefined;
		await (pool === undefined ? undefined : this.parts.places.release(pool, {...this.#hold(attempt), pace}));
	}

	#failed(attempt: AttemptNumber, call: AttemptCall, fault: EngineFault): RequestEvent {
		log('An engine call failed.', {
			requestId: this.req.id, attempt, call, fault: fault.kind,
		});
		return {
			kind: 'failed', attempt, call, fault,
		};
	}
}
