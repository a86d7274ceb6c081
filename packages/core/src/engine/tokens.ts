/** Estimates of tokens and memory pieces before an engine has read the prompt. */

/** Average number of characters of English text per token. */
const charactersPerToken = 4;

/**
 * Estimates the number of tokens in a text, rounded up.
 *
 * @example
 * estimateTokens('chalk'); // 2
 */
export const estimateTokens = (text: string): number => Math.ceil(text.length / charactersPerToken);

/**
 * Returns the number of memory pieces that `tokens` occupy, at least 1.
 *
 * @example
 * countPieces(1500, 1024); // 2
 */
export const countPieces = (tokens: number, pieceTokens: number): number => Math.max(1, Math.ceil(tokens / pieceTokens));
