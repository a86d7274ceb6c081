/** A simulated request: performs the effects of a real `RequestStateMachine` and checks its output. */
import {fullOutputTokens} from './simulated-engine.js';
import type {SimulatedStream} from './simulated-engine.js';
import type {Call} from './simulated-network.js';
import type {SimulatedInstance} from './simulated-instance.js';
import type {Simulation} from './simulation.js';
import type {
	AttemptCall, AttemptNumber, EngineFault, EngineHold, Instant, KvHandle, ModelRequest, Placement, RequestEffect, RequestEvent, RequestId, RequestOutcome,
} from '@baobabpier/core';
import {
	countPieces, errorResponses, holdKey, invariant, RequestStateMachine, toId,
} from '@baobabpier/core';

const callTimeoutMs = 1500;

export class SimulatedRequest {
	readonly stateMachine: RequestStateMachine;
	outcome: RequestOutcome | undefined;
	isCallerGone = false;
	readonly #placementCalls = new Map<AttemptNumber, Call<Placement | 'refused'>>();
	readonly #calls = new Map<AttemptNumber, Array<Call<never>>>();
	readonly #streams = new Map<AttemptNumber, SimulatedStream>();
	readonly #placedAttempts = new Set<AttemptNumber>();
	readonly #output: string[] = [];

	constructor(readonly simulation: Simulation, readonly instance: SimulatedInstance, index: number) {
		const req: ModelRequest = {
			id: toId<RequestId>(`r${index}`),
			promptTokens: 500 + (index * 400),
			maxTokens: index === 2 ? fullOutputTokens - 2 : fullOutputTokens + 2,
			pieceTokens: 1000,
			queueMs: 3000,
			totalMs: index === 3 ? 1300 : 8000,
			streamIdleTimeoutMs: 1000,
			maxAttempts: index === 1 ? 1 : 3,
		};
		this.stateMachine = new RequestStateMachine(req);
	}

	get id(): RequestId {
		return this.stateMachine.request.id;
	}

	disconnectCaller(): void {
		this.isCallerGone = true;
		this.dispatch({kind: 'callerGone'});
	}

	/** Handles an event, deferred while the instance is frozen. */
	dispatch(event: RequestEvent): void {
		this.instance.run(() => {
			const mutated = this.simulation.options.mutateEvent?.(event, this.stateMachine) ?? event;
			const from = this.stateMachine.state;
			const {reservationStates} = this.stateMachine;
			const effects = this.stateMachine.step(mutated, this.simulation.network.now as Instant);
			this.simulation.recordTransition(from, mutated.kind, this.stateMachine.state);
			this.simulation.recordReservations(reservationStates, this.stateMachine.reservationStates);
			for (const effect of this.simulation.options.mutateEffects?.(effects) ?? effects) {
				this.#perform(effect);
			}
		});
	}

	#perform(effect: RequestEffect): void {
		const {network} = this.simulation;
		switch (effect.kind) {
			case 'place': {
				this.#place(effect);
				break;
			}

			case 'reserve': {
				const {placement, attempt} = effect;
				const engine = this.simulation.engine(placement.decode.id);
				const {pieces} = placement;
				network.call<EngineFault | undefined>(callTimeoutMs, reply => {
					const {ownerIncarnation: ownerLife} = this.simulation;
					reply(engine.isReachable ? engine.reserve(this.#hold(attempt), {pieces, holder: this.instance.id, ownerLife}) : {kind: 'unreachable', detail: 'down'});
				}, answer => {
					this.#dispatchResult(attempt, 'reserve', answer, {kind: 'reserved', attempt});
				});
				break;
			}

			case 'prefill': {
				const {placement, attempt} = effect;
				const engine = this.simulation.engine(placement.prefill.id);
				let kvId = '';
				this.#trackCall(attempt, network.call<EngineFault | undefined>(20_000, reply => {
					kvId = engine.isReachable ? engine.prefill(this.#hold(attempt), network.now) : '';
					reply(engine.isReachable ? undefined : {kind: 'unreachable', detail: 'down'});
				}, answer => {
					const handle: KvHandle = {
						engine: engine.id, kvId, tokens: effect.tokens, expiresInMs: 800,
					};
					this.#dispatchResult(attempt, 'prefill', answer, {kind: 'prefilled', attempt, handle});
				}));
				break;
			}

			case 'prefillDone': {
				network.send(() => {
					this.simulation.dispatchToPool({kind: 'prefillDone', hold: this.#hold(effect.attempt)});
				});
				break;
			}

			case 'transfer': {
				this.#transfer(effect);
				break;
			}

			case 'decode': {
				const {attempt, sentTokens, maxTokens} = effect;
				this.#openStream(attempt, effect.placement, 0, engine => engine.decode(this.#hold(attempt), sentTokens, maxTokens));
				break;
			}

			case 'resume': {
				const key = holdKey(this.#hold(effect.attempt));
				this.#openStream(effect.attempt, effect.placement, effect.fromSeq, engine => engine.held.get(key)?.wanted !== undefined);
				break;
			}

			case 'abort': {
				this.#abort(effect.attempt);
				break;
			}

			case 'cancel': {
				if (this.simulation.options.isCancelSkipped?.(effect.round) === true) {
					this.dispatch({kind: 'freed', attempt: effect.attempt, round: effect.round});
					break;
				}

				this.simulation.cancelUntilConfirmed(this.instance, effect.placement.decode.id, this.#hold(effect.attempt), () => {
					this.dispatch({kind: 'freed', attempt: effect.attempt, round: effect.round});
				});
				break;
			}

			case 'release': {
				const hold = this.#hold(effect.attempt);
				this.instance.placements.delete(holdKey(hold));
				network.send(() => {
					this.simulation.dispatchToPool({kind: 'release', hold});
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
		const {simulation, instance} = this;
		const hold = this.#hold(attempt);
		invariant(pieces === countPieces(this.stateMachine.request.promptTokens + this.stateMachine.request.maxTokens, 1000), 'PIECES', 'pieces');
		const call = simulation.network.call<Placement | 'refused'>(deadline - simulation.network.now + 1000, reply => {
			simulation.place({
				...hold, class: 'patient', holder: instance.id, promptTokens: tokens, maxTokens, pieces, excluded, deadline,
			}, answer => {
				reply(answer);
				if (answer !== 'refused' && !call.open && simulation.network.messages.length % 2 === 0) {
					// The answer was read just before the placement request was withdrawn
					simulation.network.send(() => {
						this.#acceptPlacement(attempt, answer);
					}, 'local');
				}
			});
		}, answer => {
			if (answer === 'lost' || answer === 'refused') {
				this.dispatch({kind: 'refused', attempt, error: {kind: 'noBackend'}});
			} else {
				this.#acceptPlacement(attempt, answer);
			}
		});
		this.#placementCalls.set(attempt, call);
	}

	/** Accepts a placement at most once, because a call settles once. */
	#acceptPlacement(attempt: AttemptNumber, placement: Placement): void {
		if (this.#placedAttempts.has(attempt)) {
			return;
		}

		this.#placedAttempts.add(attempt);
		this.instance.run(() => {
			const hold = this.#hold(attempt);
			this.instance.placements.set(holdKey(hold), {...hold, decode: placement.decode, pieces: placement.pieces});
		});
		this.dispatch({kind: 'placed', attempt, placement});
	}

	#transfer({attempt, placement, handle}: Extract<RequestEffect, {kind: 'transfer'}>): void {
		const {network} = this.simulation;
		const engine = this.simulation.engine(placement.decode.id);
		const source = this.simulation.engine(handle.engine);
		this.#trackCall(attempt, network.call<EngineFault | undefined>(20_000, reply => {
			if (!engine.isReachable) {
				reply({kind: 'unreachable', detail: 'down'});
			} else if (source.isReachable) {
				const imported = source.hasKv(handle.kvId, network.now) && engine.import(this.#hold(attempt));
				reply(imported ? undefined : {kind: 'expired'});
			} else {
				reply({kind: 'refused', detail: 'source down'});
			}
		}, answer => {
			this.#dispatchResult(attempt, 'transfer', answer, {kind: 'transferred', attempt});
		}));
	}

	#dispatchResult(attempt: AttemptNumber, call: AttemptCall, answer: EngineFault | 'lost' | undefined, success: RequestEvent): void {
		if (answer === undefined) {
			this.dispatch(success);
		} else {
			this.dispatch({
				kind: 'failed', attempt, call, fault: answer === 'lost' ? {kind: 'lost', detail: ''} : answer,
			});
		}
	}

	#trackCall(attempt: AttemptNumber, call: Call<EngineFault | undefined>): void {
		const calls = this.#calls.get(attempt) ?? [];
		calls.push(call);
		this.#calls.set(attempt, calls);
	}

	/** Opens a stream; replaces an earlier stream of the same attempt. */
	#openStream(attempt: AttemptNumber, placement: Placement, fromSeq: number, start: (engine: SimulatedStream['engine']) => boolean): void {
		const engine = this.simulation.engine(placement.decode.id);
		const {network} = this.simulation;
		const fail = (fault: EngineFault): void => {
			network.send(() => {
				if (this.#streams.get(attempt) === stream) {
					this.dispatch({
						kind: 'failed', attempt, call: 'decode', fault,
					});
				}
			}, 'local');
		};

		const stream: SimulatedStream = {
			engine,
			key: holdKey(this.#hold(attempt)),
			next: fromSeq,
			open: true,
			silent: false,
			send: chunk => {
				if (!stream.silent) {
					network.send(() => {
						this.dispatch({kind: 'chunk', attempt, chunk});
					});
				}
			},
			sendKeepAlive: () => {
				if (!stream.silent) {
					network.send(() => {
						this.dispatch({kind: 'alive', attempt});
					});
				}
			},
			onFailure: fail,
		};
		this.#streams.set(attempt, stream);
		network.send(() => {
			if (!engine.isReachable) {
				fail({kind: 'unreachable', detail: 'down'});
			} else if (start(engine)) {
				engine.streams.push(stream);
			} else {
				fail({kind: 'expired'});
			}
		}, 'local');
	}

	#abort(attempt: AttemptNumber): void {
		const placementCall = this.#placementCalls.get(attempt);
		if (placementCall?.open === true) {
			placementCall.open = false;
			this.simulation.network.send(() => {
				this.simulation.dispatchToPool({kind: 'release', hold: this.#hold(attempt)});
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
			const [position, attempt, incarnation] = text.split(':') as [string, string, string];
			const last = this.#output.at(-1)?.split(':');
			invariant(Number(position) === this.#output.length, 'GAP_OR_REPEAT', `${this.id} got token ${position} at ${this.#output.length}`);
			invariant(last === undefined || Number(attempt) > Number(last[1]) || incarnation === last[2], 'MIXED_SAMPLES', `${this.id} got two samples in one attempt`);
			this.#output.push(text);
		}
	}

	#checkFinish(outcome: RequestOutcome): void {
		invariant(this.outcome === undefined, 'TWO_OUTCOMES', `${this.id} ended twice`);
		this.outcome = outcome;
		this.simulation.recordOutcome(outcome);
		if (outcome.kind === 'complete') {
			const wanted = Math.min(fullOutputTokens, this.stateMachine.request.maxTokens);
			invariant(this.#output.length === wanted, 'INCOMPLETE', `${this.id} ended complete after ${this.#output.length} of ${wanted}`);
		}

		if (outcome.kind === 'failed' && errorResponses[outcome.error.kind].run === 'no') {
			invariant(!this.simulation.hasPrefilled(this.id), 'RAN', `${this.id} was reported as "not run" but ran`);
		}
	}
}
