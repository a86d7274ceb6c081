/** Reads OpenAI-style completion bodies. */
import {
	err, ok, routerError,
} from '@baobabpier/core';
import type {Result, RouterError} from '@baobabpier/core';
import {z} from 'zod';

const defaultMaxTokens = 256;

const shared = {
	model: z.string().min(1),
	/* eslint-disable @typescript-eslint/naming-convention */
	max_tokens: z.number().int().positive().optional(),
	max_completion_tokens: z.number().int().positive().optional(),
	/* eslint-enable @typescript-eslint/naming-convention */
	stream: z.boolean().default(false),
};

const completion = z.object({...shared, prompt: z.string().min(1)});

const part = z.object({type: z.literal('text'), text: z.string()});
const message = z.object({role: z.string(), content: z.union([z.string(), z.array(part)])});
const chat = z.object({...shared, messages: z.array(message).min(1)});

/** Which of the two interfaces a request came by. */
export type CompletionStyle = 'completion' | 'chat';

/** A caller's wish for a completion. */
export type CompletionRequest = {
	readonly style: CompletionStyle;
	readonly model: string;
	readonly prompt: string;
	readonly maxTokens: number;
	readonly stream: boolean;
};

const textOf = (content: z.infer<typeof message>['content']): string => typeof content === 'string' ? content : content.map(({text}) => text).join('');

/**
 * Parses and checks a body.
 *
 * @example
 * const req = parseCompletion('chat', bodyText);
 */
export const parseCompletion = (style: CompletionStyle, text: string): Result<CompletionRequest, RouterError> => {
	let body: unknown;
	try {
		body = JSON.parse(text);
	} catch {
		return err(routerError('malformedRequest', 'the body is not JSON'));
	}

	const checked = style === 'chat' ? chat.safeParse(body, {reportInput: true}) : completion.safeParse(body, {reportInput: true});
	if (!checked.success) {
		const issue = checked.error.issues[0]!;
		const value = issue.input === undefined ? 'missing' : (JSON.stringify(issue.input) ?? '').slice(0, 80);
		return err(routerError('malformedRequest', `field "${issue.path.join('.')}" (${value}): ${issue.message}`));
	}

	const {data} = checked;
	const prompt = 'prompt' in data ? data.prompt : data.messages.map(({role, content}) => `${role}: ${textOf(content)}\n`).join('');
	return ok({
		style, model: data.model, prompt, maxTokens: data.max_completion_tokens ?? data.max_tokens ?? defaultMaxTokens, stream: data.stream,
	});
};
