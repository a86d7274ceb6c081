/** A simulated engine: memory pieces, prefill results, and decode streams. */
import {holdKey, invariant, toId} from '@baobabpier/core';
import type {
	DecodeChunk, EngineFault, EngineHold, EngineId, EngineReport, EngineIncarnation, InstanceId,
} from '@baobabpier/core';

export const fullOutputTokens = 6;
const kvRetentionMs = 800;

export type SimulatedStream = {
	readonly engine: SimulatedEngine;
	readonly key: string;
	next: number;
	open: boolean;
	/** Everything sent on the stream is lost, and neither side detects it. */
	silent: boolean;
	readonly send: (chunk: DecodeChunk) => void;
	readonly sendKeepAlive: () => void;
	readonly onFailure: (fault: EngineFault) => void;
};

type HeldMemory = EngineHold & {
	readonly holder: InstanceId;
	readonly pieces: number;
	/** Incarnation of the pool's owner when the memory was reserved. */
	readonly ownerIncarnation: number;
	imported: boolean;
	texts: string[];
	wanted: number | undefined;
};

export class SimulatedEngine {
	isReachable = true;
	incarnation = 1;
	prefills = new Map<string, number>();
	readonly held = new Map<string, HeldMemory>();
	streams: SimulatedStream[] = [];
	readonly #kvExpiries = new Map<string, number>();

	constructor(readonly id: EngineId, readonly role: 'prefill' | 'decode', readonly pieces: number) {}

	get heldPieces(): number {
		let sum = 0;
		for (const held of this.held.values()) {
			sum += held.pieces;
		}

		return sum;
	}

	reserve(hold: EngineHold, {pieces, holder, ownerLife}: {pieces: number; holder: InstanceId; ownerLife: number}): EngineFault | undefined {
		const key = holdKey(hold);
		if (!this.held.has(key)) {
			const freePieces = this.pieces - this.heldPieces;
			if (pieces > freePieces) {
				return {kind: 'full', freePieces};
			}

			this.held.set(key, {
				...hold, holder, pieces, ownerIncarnation: ownerLife, imported: false, texts: [], wanted: undefined,
			});
		}

		invariant(this.heldPieces <= this.pieces, 'ENGINE_OVER', 'an engine holds more than it has');
		return undefined;
	}

	prefill(hold: EngineHold, now: number): string {
		this.prefills.set(hold.requestId, (this.prefills.get(hold.requestId) ?? 0) + 1);
		const kvId = `${this.incarnation}/${holdKey(hold)}`;
		this.#kvExpiries.set(kvId, now + kvRetentionMs);
		return kvId;
	}

	hasKv(kvId: string, now: number): boolean {
		return this.isReachable && (this.#kvExpiries.get(kvId) ?? 0) > now;
	}

	import(hold: EngineHold): boolean {
		const held = this.held.get(holdKey(hold));
		if (held !== undefined) {
			held.imported = true;
		}

		return held !== undefined;
	}

	decode(hold: EngineHold, sentTokens: number, maxTokens: number): boolean {
		const held = this.held.get(holdKey(hold));
		if (held?.imported !== true) {
			return false;
		}

		if (held.wanted === undefined) {
			held.wanted = Math.min(maxTokens, fullOutputTokens - sentTokens);
			held.texts = Array.from({length: held.wanted}, (_, index) => `${sentTokens + index}:${hold.attempt}:${this.id}/${this.incarnation}`);
		}

		return true;
	}

	/** Sends up to `count` further tokens, or the end, on every stream; a `count` of 0 sends keep-alives. */
	produce(count: number): void {
		for (const stream of this.streams) {
			const held = this.held.get(stream.key);
			if (held?.wanted === undefined) {
				this.#break(stream, {kind: 'lost', detail: 'closed without its end'});
			} else if (count === 0) {
				stream.sendKeepAlive();
			} else if (stream.next < held.wanted) {
				const texts = held.texts.slice(stream.next, stream.next + count);
				stream.send({kind: 'tokens', seq: stream.next, texts});
				stream.next += texts.length;
			} else {
				stream.send({kind: 'end', seq: stream.next, finish: 'stop'});
				stream.open = false;
				this.streams = this.streams.filter(other => other !== stream);
			}
		}
	}

	cancel(hold: EngineHold): void {
		this.held.delete(holdKey(hold));
	}

	/** Loses all state and restarts as a new incarnation. */
	crash(): void {
		this.incarnation += 1;
		this.held.clear();
		this.#kvExpiries.clear();
		for (const stream of this.streams) {
			this.#break(stream, {kind: 'lost', detail: 'reset'});
		}
	}

	breakStream(index: number): void {
		const stream = this.streams[index % Math.max(1, this.streams.length)];
		if (stream !== undefined) {
			this.#break(stream, {kind: 'lost', detail: 'reset'});
		}
	}

	report(): EngineReport {
		return {
			engine: this.id,
			incarnation: toId<EngineIncarnation>(`${this.id}/${this.incarnation}`),
			role: this.role,
			pieces: this.pieces,
			freePieces: this.pieces - this.heldPieces,
			queuedTokens: 0,
			running: 0,
			held: [...this.held.values()].map(({
				requestId, attempt, pieces, holder,
			}) => ({
				requestId, attempt, pieces, holder,
			})),
		};
	}

	#break(stream: SimulatedStream, fault: EngineFault): void {
		this.streams = this.streams.filter(other => other !== stream);
		if (stream.open && !stream.silent) {
			stream.open = false;
			stream.onFailure(fault);
		}
	}
}
