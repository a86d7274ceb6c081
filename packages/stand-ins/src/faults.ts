/** Faults that a test orders from a stand-in. */

/** Faults in force; each applies to calls whose path starts with `path`. */
export type Fault =
	/** Waits before answering. */
	| {readonly kind: 'delay'; readonly path: string; readonly ms: number}
	/** Answers only once this fault is lifted. */
	| {readonly kind: 'hold'; readonly path: string}
	/** Takes the call, does the work, and never answers. */
	| {readonly kind: 'silence'; readonly path: string}
	/** Closes the connection without an answer, before the work. */
	| {readonly kind: 'reset'; readonly path: string}
	/** Does the work, then closes the connection without an answer. */
	| {readonly kind: 'dropAnswer'; readonly path: string}
	/** Answers that it is full. */
	| {readonly kind: 'full'; readonly path: string}
	/** A stream goes silent after some tokens, with its connection open. */
	| {readonly kind: 'stall'; readonly path: string; readonly tokens: number}
	/** A stream closes without its end after some tokens. */
	| {readonly kind: 'cut'; readonly path: string; readonly tokens: number}
	/** Each piece of a stream is sent twice. */
	| {readonly kind: 'repeat'; readonly path: string}
	/** Pieces of a stream change places in pairs. */
	| {readonly kind: 'swap'; readonly path: string};

/** The faults of one stand-in. */
export class FaultBoard {
	#faults: readonly Fault[] = [];

	/** Replaces the faults in force. */
	set(faults: readonly Fault[]): void {
		this.#faults = faults;
	}

	/** Whether a fault of a kind is in force for a path. */
	has(kind: Fault['kind'], path: string): boolean {
		return this.#faults.some(fault => fault.kind === kind && path.startsWith(fault.path));
	}

	/** Tokens after which streams of a path go silent or close; infinity without such a fault. */
	tokensUntil(kind: 'stall' | 'cut', path: string): number {
		const found = this.#faults.find(fault => fault.kind === kind && path.startsWith(fault.path));
		return found !== undefined && 'tokens' in found ? found.tokens : Number.POSITIVE_INFINITY;
	}

	/** Milliseconds to wait before answering a path. */
	delayMs(path: string): number {
		const delay = this.#faults.find(fault => fault.kind === 'delay' && path.startsWith(fault.path));
		return delay?.kind === 'delay' ? delay.ms : 0;
	}
}
