/** What operators expect of a deployment's engines and calls, until its own calls teach it. */
import {checkToml} from '@baobabpier/core';
import type {
	HedgingLimits, PrefillSpeed, Result, TomlFault,
} from '@baobabpier/core';
import {z} from 'zod';

const positive = z.number().positive();
const part = z.number().min(0).max(1);
const speed = z.strictObject({tokensPerMs: positive, latencyMs: z.number().min(0)});
const schema = z.strictObject({
	prefill: speed,
	direct: speed,
	calls: z.strictObject({
		promptTokens: positive, outputTokens: positive, streamMs: positive, outputPart: part,
	}),
	hedging: z.strictObject({maxFraction: part, deviations: positive.default(3)}).optional(),
});

/** Checked estimates. */
export type EngineEstimates = {
	/** How prefill engines read prompts. */
	readonly prefill: PrefillSpeed;
	/** How decode engines read prompts themselves. */
	readonly direct: PrefillSpeed;
	readonly calls: {
		/** Mean tokens of a prompt. */
		readonly promptTokens: number;
		/** Mean output tokens of a stream. */
		readonly outputTokens: number;
		/** Time that a decode engine holds a stream, in milliseconds. */
		readonly streamMs: number;
		/** Part of the output tokens that callers allow which running streams hold. */
		readonly outputPart: number;
	};
	/** Extra work for shorter tails; undefined for none. */
	readonly hedging?: HedgingLimits | undefined;
};

/**
 * Parses estimates, or lists every fault with its line, field and value.
 *
 * @example
 * parseEngineEstimates(await readFile('deploy/engines.toml', 'utf8')).unwrap().prefill.tokensPerMs;
 */
export const parseEngineEstimates = (text: string): Result<EngineEstimates, readonly TomlFault[]> => checkToml(schema, text, []);
