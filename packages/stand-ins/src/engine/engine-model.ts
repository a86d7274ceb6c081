/** The inner life of a stand-in engine: memory pieces, prefills in line, and a decoding batch. */
import {randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';

/** How fast and how large a stand-in engine is. */
export type EngineParameters = {
	readonly id: string;
	role: 'prefill' | 'decode';
	readonly pieces: number;
	readonly prefillTokensPerSecond: number;
	/** Milliseconds between tokens with one stream. */
	readonly tokenMs: number;
	/** Milliseconds added between tokens by each further stream. */
	readonly tokenMsPerStream: number;
	/** How long a prefill's result is kept, in milliseconds. */
	readonly kvKeepMs: number;
	/** Tokens of KV cache that the link carries a second. */
	readonly linkTokensPerSecond: number;
	/** Whether orders with an old fencing number are refused. */
	readonly fencesOrders: boolean;
	/** Output length of an answer, unless the caller wants less. */
	readonly outputTokens: number;
};

/** One attempt's hold on the engine. */
export type HeldAttempt = {
	readonly requestId: string;
	readonly attempt: number;
	readonly holder: string;
	readonly pieces: number;
	imported: boolean;
	/** Output tokens made so far. */
	readonly texts: string[];
	/** Number of the first output token within the whole answer. */
	firstToken: number;
	ended: boolean;
	/** Cancelled before its end: the stream must close without an end mark. */
	cancelled: boolean;
	running: boolean;
	wake: () => void;
	changed: Promise<void>;
};

type KvEntry = {
	readonly tokens: number;
	used: boolean;
};

/** Counters for checks after a run. */
export type EngineCounters = {
	prefillTokens: number;
	wastedPrefillTokens: number;
	outputTokens: number;
	maxHeldPieces: number;
	ordersTaken: number;
};

const keyOf = (requestId: string, attempt: number): string => `${requestId}/${attempt}`;

const arm = (held: HeldAttempt): void => {
	held.changed = new Promise(resolve => {
		held.wake = resolve;
	});
};

/** A stand-in engine without its HTTP side. */
export class EngineModel {
	readonly incarnation = randomUUID();
	readonly counters: EngineCounters = {
		prefillTokens: 0, wastedPrefillTokens: 0, outputTokens: 0, maxHeldPieces: 0, ordersTaken: 0,
	};

	/** Milliseconds added between tokens, to make answers long. */
	extraTokenMs = 0;
	fencing = 0;
	queuedTokens = 0;
	readonly #held = new Map<string, HeldAttempt>();
	readonly #kv = new Map<string, KvEntry>();
	#prefillTail: Promise<void> = Promise.resolve();

	constructor(readonly parameters: EngineParameters) {}

	get heldPieces(): number {
		return this.held().reduce((sum, held) => sum + held.pieces, 0);
	}

	get freePieces(): number {
		return this.parameters.pieces - this.heldPieces;
	}

	get running(): number {
		return this.held().filter(held => held.running && !held.ended).length;
	}

	held(): HeldAttempt[] {
		return [...this.#held.values()];
	}

	findHeld(requestId: string, attempt: number): HeldAttempt | undefined {
		return this.#held.get(keyOf(requestId, attempt));
	}

	/** Sets pieces aside; false when there are too few. */
	reserve(hold: {requestId: string; attempt: number; holder: string; pieces: number}): boolean {
		const key = keyOf(hold.requestId, hold.attempt);
		if (this.#held.has(key)) {
			return true;
		}

		if (hold.pieces > this.freePieces) {
			return false;
		}

		const held: HeldAttempt = {
			...hold, imported: false, texts: [], firstToken: 0, ended: false, cancelled: false, running: false, wake() {/* Replaced by arm */}, changed: Promise.resolve(),
		};
		arm(held);
		this.#held.set(key, held);
		this.counters.maxHeldPieces = Math.max(this.counters.maxHeldPieces, this.heldPieces);
		return true;
	}

	/** Runs a prefill after those before it; the result lives for `kvKeepMs`. */
	async prefill(tokens: number, signal: AbortSignal): Promise<string | undefined> {
		this.queuedTokens += tokens;
		const before = this.#prefillTail;
		const run = (async () => {
			await before;
			if (!signal.aborted) {
				await sleep((tokens / this.parameters.prefillTokensPerSecond) * 1000);
				this.counters.prefillTokens += tokens;
			}

			this.queuedTokens -= tokens;
		})();
		this.#prefillTail = run;
		await run;
		if (signal.aborted) {
			this.counters.wastedPrefillTokens += tokens;
			return undefined;
		}

		const kvId = randomUUID();
		this.#kv.set(kvId, {tokens, used: false});
		setTimeout(() => {
			this.#expireKv(kvId);
		}, this.parameters.kvKeepMs).unref();
		return kvId;
	}

	/** Hands out a prefill's result, taking the link's time; undefined when it is gone. */
	async exportKv(kvId: string): Promise<number | undefined> {
		const entry = this.#kv.get(kvId);
		if (entry === undefined) {
			return undefined;
		}

		entry.used = true;
		await sleep((entry.tokens / this.parameters.linkTokensPerSecond) * 1000);
		return entry.tokens;
	}

	/** Starts the decoding of a reserved and imported attempt. */
	start(held: HeldAttempt, maxTokens: number, sentTokens: number): void {
		if (held.running) {
			return;
		}

		held.running = true;
		held.firstToken = sentTokens;
		const wanted = Math.min(maxTokens, Math.max(1, this.parameters.outputTokens - sentTokens));
		void this.#decode(held, wanted);
	}

	/** Frees an attempt; returns the pieces freed. */
	cancel(requestId: string, attempt: number): number {
		const key = keyOf(requestId, attempt);
		const held = this.#held.get(key);
		if (held === undefined) {
			return 0;
		}

		this.#held.delete(key);
		held.cancelled = !held.ended;
		held.ended = true;
		held.wake();
		return held.pieces;
	}

	/** Takes an order unless its fencing number is old and this engine checks it. */
	change(fencing: number, change: {kind: string; role?: 'prefill' | 'decode'}): boolean {
		if (this.parameters.fencesOrders && fencing < this.fencing) {
			return false;
		}

		this.fencing = fencing;
		this.counters.ordersTaken += 1;
		if (change.kind === 'setRole' && change.role !== undefined) {
			this.parameters.role = change.role;
		}

		return true;
	}

	#expireKv(kvId: string): void {
		const entry = this.#kv.get(kvId);
		this.#kv.delete(kvId);
		if (entry !== undefined && !entry.used) {
			this.counters.wastedPrefillTokens += entry.tokens;
		}
	}

	async #decode(held: HeldAttempt, wanted: number): Promise<void> {
		while (held.texts.length < wanted && !held.ended) {
			// One step of the batch at a time
			// eslint-disable-next-line no-await-in-loop
			await sleep(this.extraTokenMs + this.parameters.tokenMs + (this.parameters.tokenMsPerStream * (this.running - 1)));
			if (held.ended) {
				return;
			}

			const number = held.firstToken + held.texts.length;
			held.texts.push(`t${number}.${Math.floor(Math.random() * 1000)} `);
			this.counters.outputTokens += 1;
			held.wake();
			arm(held);
		}

		held.ended = true;
		held.wake();
	}
}
