/** Splits a stream of server-sent events into complete events, so that the stream can resume at another engine after any of them. */
import {Buffer} from 'node:buffer';

/** One complete event as its server sent it. */
export type StreamEvent = {
	/** Undefined for a comment or an event without an id. */
	readonly id: string | undefined;
	/** Raw bytes, including the blank line that ends the event. */
	readonly bytes: Uint8Array;
};

const eventEnd = Buffer.from('\n\n');

const idOf = (bytes: Uint8Array): string | undefined => /^id: ?(?<id>.*)$/mv.exec(Buffer.from(bytes).toString('latin1'))?.groups?.id;

/**
 * Accepts chunks and returns the events that they complete.
 *
 * @see WHATWG HTML, section 9.2, "Server-sent events".
 * @example
 * const splitter = new EventSplitter();
 * splitter.push(Buffer.from('id: 1\ndata: a\n\nid: 2')); // One event, with id '1'
 * splitter.pendingBytes; // 5 bytes of the next
 */
export class EventSplitter {
	#buffer = Buffer.alloc(0);

	/** Number of buffered bytes of an incomplete event. */
	get pendingBytes(): number {
		return this.#buffer.length;
	}

	push(chunk: Uint8Array): readonly StreamEvent[] {
		this.#buffer = Buffer.concat([this.#buffer, chunk]);
		const events: StreamEvent[] = [];
		let end = this.#buffer.indexOf(eventEnd);
		while (end !== -1) {
			const bytes = this.#buffer.subarray(0, end + eventEnd.length);
			events.push({id: idOf(bytes), bytes});
			this.#buffer = this.#buffer.subarray(end + eventEnd.length);
			end = this.#buffer.indexOf(eventEnd);
		}

		return events;
	}
}
