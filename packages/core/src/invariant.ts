/** Assertions of conditions that must hold for any input. */

/** A violated invariant: a bug in this program, never a fault of its input. */
export class InvariantError extends Error {
	override readonly name = 'InvariantError';

	constructor(readonly code: string, message: string) {
		super(`${code}: ${message}`);
	}
}

/**
 * Throws an `InvariantError` with `code` unless `condition` holds.
 *
 * @example
 * invariant(pieces >= 0, 'PIECES_NEGATIVE', 'more memory released than reserved');
 */
export function invariant(condition: unknown, code: string, message: string): asserts condition {
	if (!condition) {
		throw new InvariantError(code, message);
	}
}
