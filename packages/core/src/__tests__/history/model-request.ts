/** One request of the model world: performs the effects of a real RequestLife and checks its output. */
import {answerTokens} from './model-engine.js';
import type {ModelStream} from './model-engine.js';
import type {Call} from './model-network.js';
import type {ModelInstance} from './model-instance.js';
import type {ModelWorld} from './model-world.js';
import type {
	AttemptCall, AttemptNumber, EngineFault, EngineHold, Instant, KvHandle, ModelRequest, Placement, RequestEffect, RequestEvent, RequestId, RequestOutcome,
} from '@baobabpier/core';
import {
	countPieces, errorResponses, holdKey, invariant, RequestLife, toId,
} from '@baobabpier/core';

const callMs = 1500;

export class ModelRequestRun {
	readonly life: RequestLife;
	outcome: RequestOutcome | undefined;
	gone = false;
	readonly #placeCalls = new Map<AttemptNumber, Call<Placement | 'refused'>>();
	readonly #calls = new Map<AttemptNumber, Array<Call<never>>>();
	readonly #streams = new Map<AttemptNumber, ModelStream>();
	readonly #placed = new Set<AttemptNumber>();
	readonly #output: string[] = [];

	constructor(readonly world: ModelWorld, readonly instance: ModelInstance, index: number) {
		const req: ModelRequest = {
			id: toId<RequestId>(`r${index}`),
			promptTokens: 500 + (index * 400),
			maxTokens: index === 2 ? answerTokens - 2 : answerTokens + 2,
			pieceTokens: 1000,
			queueMs: 3000,
			totalMs: index === 3 ? 1300 : 8000,
			silenceMs: 1000,
			maxAttempts: index === 1 ? 1 : 3,
		};
		this.life = new RequestLife(req);
	}

	get id(): RequestId {
		return this.life.request.id;
	}

	callerLeaves(): void {
		this.gone = true;
		this.dispatch({kind: 'callerGone'});
	}

	/** Runs when the instance is not frozen; later otherwise. */
	dispatch(event: RequestEvent): void {
		this.instance.run(() => {
			const altered = this.world.options.alterEvent?.(event, this.life) ?? event;
			const from = this.life.state;
			const {memory} = this.life;
			const effects = this.life.step(altered, this.world.network.now as Instant);
			this.world.recordTransition(from, altered.kind, this.life.state);
			this.world.recordMemory(memory, this.life.memory);
			for (const effect of this.world.options.alterEffects?.(effects) ?? effects) {
				this.#perform(effect);
			}
		});
	}

	#perform(effect: RequestEffect): void {
		const {network} = this.world;
		switch (effect.kind) {
			case 'place': {
				this.#place(effect);
				break;
			}

			case 'reserve': {
				const {placement, attempt} = effect;
				const engine = this.world.engine(placement.decode.id);
				const {pieces} = placement;
				network.call<EngineFault | undefined>(callMs, reply => {
					const {ownerLife} = this.world;
					reply(engine.up ? engine.reserve(this.#hold(attempt), {pieces, holder: this.instance.id, ownerLife}) : {kind: 'unreachable', detail: 'down'});
				}, answer => {
					this.#settled(attempt, 'reserve', answer, {kind: 'reserved', attempt});
				});
				break;
			}

			case 'prefill': {
				const {placement, attempt} = effect;
				const engine = this.world.engine(placement.prefill.id);
				let kvId = '';
				this.#track(attempt, network.call<EngineFault | undefined>(20_000, reply => {
					kvId = engine.up ? engine.prefill(this.#hold(attempt), network.now) : '';
					reply(engine.up ? undefined : {kind: 'unreachable', detail: 'down'});
				}, answer => {
					const handle: KvHandle = {
						engine: engine.id, kvId, tokens: effect.tokens, expiresInMs: 800,
					};
					this.#settled(attempt, 'prefill', answer, {kind: 'prefilled', attempt, handle});
				}));
				break;
			}

			case 'prefillDone': {
				network.post(() => {
					this.world.feedPool({kind: 'prefillDone', hold: this.#hold(effect.attempt)});
				});
				break;
			}

			case 'transfer': {
				this.#transfer(effect);
				break;
			}

			case 'decode': {
				const {attempt, sentTokens, maxTokens} = effect;
				this.#open(attempt, effect.placement, 0, engine => engine.decode(this.#hold(attempt), sentTokens, maxTokens));
				break;
			}

			case 'resume': {
				const key = holdKey(this.#hold(effect.attempt));
				this.#open(effect.attempt, effect.placement, effect.fromSeq, engine => engine.held.get(key)?.wanted !== undefined);
				break;
			}

			case 'abort': {
				this.#abort(effect.attempt);
				break;
			}

			case 'cancel': {
				if (this.world.options.skipsCancel?.(effect.round) === true) {
					this.dispatch({kind: 'freed', attempt: effect.attempt, round: effect.round});
					break;
				}

				this.world.driveCancel(this.instance, effect.placement.decode.id, this.#hold(effect.attempt), () => {
					this.dispatch({kind: 'freed', attempt: effect.attempt, round: effect.round});
				});
				break;
			}

			case 'release': {
				const hold = this.#hold(effect.attempt);
				this.instance.held.delete(holdKey(hold));
				network.post(() => {
					this.world.feedPool({kind: 'release', hold});
				});
				break;
			}

			case 'output': {
				this.#checkOutput(effect.texts);
				break;
			}

			case 'finish': {
				this.#checkFinish(effect.outcome);
				break;
			}
		}
	}

	#hold(attempt: AttemptNumber): EngineHold {
		return {requestId: this.id, attempt};
	}

	#place({attempt, tokens, maxTokens, pieces, excluded, deadline}: Extract<RequestEffect, {kind: 'place'}>): void {
		const {world, instance} = this;
		const hold = this.#hold(attempt);
		invariant(pieces === countPieces(this.life.request.promptTokens + this.life.request.maxTokens, 1000), 'PIECES', 'pieces');
		const call = world.network.call<Placement | 'refused'>(deadline - world.network.now + 1000, reply => {
			world.place({
				...hold, class: 'patient', holder: instance.id, promptTokens: tokens, maxTokens, pieces, excluded, deadline,
			}, answer => {
				reply(answer);
				if (answer !== 'refused' && !call.open && world.network.messages.length % 2 === 0) {
					// The answer was read just before the wish was withdrawn
					world.network.post(() => {
						this.#takePlace(attempt, answer);
					}, 'local');
				}
			});
		}, answer => {
			if (answer === 'lost' || answer === 'refused') {
				this.dispatch({kind: 'refused', attempt, error: {kind: 'noBackend'}});
			} else {
				this.#takePlace(attempt, answer);
			}
		});
		this.#placeCalls.set(attempt, call);
	}

	/** A call settles once, so a place is taken once. */
	#takePlace(attempt: AttemptNumber, placement: Placement): void {
		if (this.#placed.has(attempt)) {
			return;
		}

		this.#placed.add(attempt);
		this.instance.run(() => {
			const hold = this.#hold(attempt);
			this.instance.held.set(holdKey(hold), {...hold, decode: placement.decode, pieces: placement.pieces});
		});
		this.dispatch({kind: 'placed', attempt, placement});
	}

	#transfer({attempt, placement, handle}: Extract<RequestEffect, {kind: 'transfer'}>): void {
		const {network} = this.world;
		const engine = this.world.engine(placement.decode.id);
		const source = this.world.engine(handle.engine);
		this.#track(attempt, network.call<EngineFault | undefined>(20_000, reply => {
			if (!engine.up) {
				reply({kind: 'unreachable', detail: 'down'});
			} else if (source.up) {
				const imported = source.hasKv(handle.kvId, network.now) && engine.import(this.#hold(attempt));
				reply(imported ? undefined : {kind: 'expired'});
			} else {
				reply({kind: 'refused', detail: 'source down'});
			}
		}, answer => {
			this.#settled(attempt, 'transfer', answer, {kind: 'transferred', attempt});
		}));
	}

	#settled(attempt: AttemptNumber, call: AttemptCall, answer: EngineFault | 'lost' | undefined, success: RequestEvent): void {
		if (answer === undefined) {
			this.dispatch(success);
		} else {
			this.dispatch({
				kind: 'failed', attempt, call, fault: answer === 'lost' ? {kind: 'lost', detail: ''} : answer,
			});
		}
	}

	#track(attempt: AttemptNumber, call: Call<EngineFault | undefined>): void {
		const calls = this.#calls.get(attempt) ?? [];
		calls.push(call);
		this.#calls.set(attempt, calls);
	}

	/** Opens a stream; a later one for the same attempt replaces it. */
	#open(attempt: AttemptNumber, placement: Placement, fromSeq: number, start: (engine: ModelStream['engine']) => boolean): void {
		const engine = this.world.engine(placement.decode.id);
		const {network} = this.world;
		const fail = (fault: EngineFault): void => {
			network.post(() => {
				if (this.#streams.get(attempt) === stream) {
					this.dispatch({
						kind: 'failed', attempt, call: 'decode', fault,
					});
				}
			}, 'local');
		};

		const stream: ModelStream = {
			engine,
			key: holdKey(this.#hold(attempt)),
			next: fromSeq,
			open: true,
			silent: false,
			send: chunk => {
				if (!stream.silent) {
					network.post(() => {
						this.dispatch({kind: 'chunk', attempt, chunk});
					});
				}
			},
			sendAlive: () => {
				if (!stream.silent) {
					network.post(() => {
						this.dispatch({kind: 'alive', attempt});
					});
				}
			},
			broken: fail,
		};
		this.#streams.set(attempt, stream);
		network.post(() => {
			if (!engine.up) {
				fail({kind: 'unreachable', detail: 'down'});
			} else if (start(engine)) {
				engine.streams.push(stream);
			} else {
				fail({kind: 'expired'});
			}
		}, 'local');
	}

	#abort(attempt: AttemptNumber): void {
		const placing = this.#placeCalls.get(attempt);
		if (placing?.open === true) {
			placing.open = false;
			this.world.network.post(() => {
				this.world.feedPool({kind: 'release', hold: this.#hold(attempt)});
			});
		}

		for (const call of this.#calls.get(attempt) ?? []) {
			call.open = false;
		}

		const stream = this.#streams.get(attempt);
		if (stream !== undefined) {
			stream.open = false;
			this.#streams.delete(attempt);
		}
	}

	#checkOutput(texts: readonly string[]): void {
		invariant(this.outcome === undefined, 'OUTPUT_AFTER_END', `${this.id} got output after its outcome`);
		for (const text of texts) {
			const [position, attempt, life] = text.split(':') as [string, string, string];
			const last = this.#output.at(-1)?.split(':');
			invariant(Number(position) === this.#output.length, 'GAP_OR_REPEAT', `${this.id} got token ${position} at ${this.#output.length}`);
			invariant(last === undefined || Number(attempt) > Number(last[1]) || life === last[2], 'MIXED_SAMPLES', `${this.id} got two samples in one attempt`);
			this.#output.push(text);
		}
	}

	#checkFinish(outcome: RequestOutcome): void {
		invariant(this.outcome === undefined, 'TWO_OUTCOMES', `${this.id} ended twice`);
		this.outcome = outcome;
		this.world.recordOutcome(outcome);
		if (outcome.kind === 'complete') {
			const wanted = Math.min(answerTokens, this.life.request.maxTokens);
			invariant(this.#output.length === wanted, 'INCOMPLETE', `${this.id} ended complete after ${this.#output.length} of ${wanted}`);
		}

		if (outcome.kind === 'failed' && errorResponses[outcome.error.kind].run === 'no') {
			invariant(!this.world.wasRun(this.id), 'RAN', `${this.id} was told "not run" but ran`);
		}
	}
}
