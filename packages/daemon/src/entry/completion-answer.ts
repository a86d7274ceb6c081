/** Writes OpenAI-style completion answers. */
import type {RequestId, RequestOutcome, RouterError} from '@baobabpier/core';
import {toErrorBody} from '@baobabpier/core';
import type {CompletionRequest, CompletionStyle} from './completion-request.js';

const objects = {
	completion: {whole: 'text_completion', chunk: 'text_completion', prefix: 'cmpl'},
	chat: {whole: 'chat.completion', chunk: 'chat.completion.chunk', prefix: 'chatcmpl'},
} as const satisfies Record<CompletionStyle, unknown>;

/* eslint-disable @typescript-eslint/naming-convention */
/** Formats the answers of one request. */
export class CompletionFormat {
	readonly #created = Math.floor(Date.now() / 1000);

	constructor(private readonly req: CompletionRequest, private readonly id: RequestId) {}

	/** One streamed piece of output. */
	chunk(text: string): string {
		const choice = this.req.style === 'chat'
			? {index: 0, delta: {role: 'assistant', content: text}, finish_reason: null}
			: {index: 0, text, finish_reason: null};
		return this.#event({...this.#head('chunk'), choices: [choice]});
	}

	/** The end of a complete stream. */
	end(finish: 'stop' | 'length'): string {
		const choice = this.req.style === 'chat'
			? {index: 0, delta: {}, finish_reason: finish}
			: {index: 0, text: '', finish_reason: finish};
		return `${this.#event({...this.#head('chunk'), choices: [choice]})}data: [DONE]\n\n`;
	}

	/** The visible break of a stream that could not be completed. */
	failure(error: RouterError): string {
		return this.#event(toErrorBody(error));
	}

	/** A whole answer. */
	whole(text: string, promptTokens: number, outcome: Extract<RequestOutcome, {kind: 'complete'}>): unknown {
		const choice = this.req.style === 'chat'
			? {index: 0, message: {role: 'assistant', content: text}, finish_reason: outcome.finish}
			: {index: 0, text, finish_reason: outcome.finish};
		return {
			...this.#head('whole'),
			choices: [choice],
			usage: {prompt_tokens: promptTokens, completion_tokens: outcome.outputTokens, total_tokens: promptTokens + outcome.outputTokens},
		};
	}

	#head(kind: 'whole' | 'chunk'): Record<string, unknown> {
		const {[kind]: object, prefix} = objects[this.req.style];
		return {
			id: `${prefix}-${this.id}`, object, created: this.#created, model: this.req.model,
		};
	}

	#event(value: unknown): string {
		return `data: ${JSON.stringify(value)}\n\n`;
	}
}
/* eslint-enable @typescript-eslint/naming-convention */
