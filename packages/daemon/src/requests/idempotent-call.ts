/** Idempotent calls: tried again on another backend server, within a budget and before the deadline. */
import {RetryBudget} from '@baobabpier/core';
import type {
	BackendId, Result, RouterError, ServiceName,
} from '@baobabpier/core';
import type {BackendPicker} from './backend-picker.js';
import type {BackendSender} from './backend-sender.js';
import {HedgedTries} from './hedged-tries.js';
import type {PlainAnswer, PlainCall} from './plain-call.js';
import {readBounded} from './read-body.js';

/** Longer bodies are passed on as they come, and their calls are not retried. */
const retryBodyBytes = 64 * 1024;
const maxTries = 3;
const retryShare = 0.1;
const retryBurst = 10;

/** Sends idempotent calls. */
export class IdempotentCaller {
	readonly #budgets = new Map<ServiceName, RetryBudget>();

	constructor(private readonly picker: BackendPicker, private readonly sender: BackendSender) {}

	/** Answers one call. Once the head of an answer is there, it is passed on and nothing is retried. */
	async call(call: PlainCall): Promise<Result<PlainAnswer, RouterError>> {
		const budget = this.#budget(call.service.name);
		budget.deposit();
		const deadline = call.signal;
		const hasBody = call.method !== 'GET' && call.method !== 'HEAD';
		const body = hasBody ? await readBounded(call.body, retryBodyBytes) : undefined;
		if (body?.kind === 'long') {
			return this.sender.send(call, body.stream, {backend: this.picker.pick(call.service, new Set()), signal: deadline});
		}

		return this.#tryAll(call, body?.bytes, {budget, deadline});
	}

	/** Tries one backend server after the other; one that is slow to begin goes on beside the next. */
	async #tryAll(call: PlainCall, body: Uint8Array | undefined, {budget, deadline}: {budget: RetryBudget; deadline: AbortSignal}): Promise<Result<PlainAnswer, RouterError>> {
		const tries = new HedgedTries(call.service.limits.totalMs / maxTries, deadline);
		const used = new Set<BackendId>();
		for (let number = 0; number < maxTries; number++) {
			const backend = this.picker.pick(call.service, used);
			if (deadline.aborted || backend === undefined || (number > 0 && !budget.tryWithdraw())) {
				break;
			}

			used.add(backend.id);
			tries.start(async signal => this.sender.send(call, body, {backend, signal}));
			// One try after the other
			// eslint-disable-next-line no-await-in-loop
			const answer = await tries.wait();
			if (answer !== undefined) {
				return answer;
			}
		}

		return tries.finish();
	}

	#budget(service: ServiceName): RetryBudget {
		const budget = this.#budgets.get(service) ?? new RetryBudget({ratio: retryShare, burst: retryBurst});
		this.#budgets.set(service, budget);
		return budget;
	}
}
