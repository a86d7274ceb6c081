/** Reads server-sent events from a byte stream. */

/** Maximum length of one event, in characters. */
const maxEventLength = 256 * 1024;

/** One event, or a comment line that keeps the connection alive. */
export type SseItem =
	| {readonly kind: 'data'; readonly data: string}
	| {readonly kind: 'comment'};

const parseBlock = (block: string): SseItem => {
	const data = block.split('\n').filter(line => line.startsWith('data:')).map(line => line.slice(5).trimStart());
	return data.length === 0 ? {kind: 'comment'} : {kind: 'data', data: data.join('\n')};
};

/**
 * Yields the events of a stream as they arrive.
 *
 * @throws Error when an event is too long.
 * @see WHATWG HTML, section 9.2, "Server-sent events".
 * @example
 * for await (const item of readSse(answer.body)) handle(item);
 */
export async function * readSse(body: AsyncIterable<Uint8Array>): AsyncGenerator<SseItem> {
	const decoder = new TextDecoder();
	let buffer = '';
	for await (const bytes of body) {
		buffer += decoder.decode(bytes, {stream: true});
		let end = buffer.indexOf('\n\n');
		while (end !== -1) {
			yield parseBlock(buffer.slice(0, end));
			buffer = buffer.slice(end + 2);
			end = buffer.indexOf('\n\n');
		}

		if (buffer.length > maxEventLength) {
			throw new Error(`an event is over ${maxEventLength} characters`);
		}
	}
}
