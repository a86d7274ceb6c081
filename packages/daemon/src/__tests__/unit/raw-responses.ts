/** Reads the bytes of a connection as the responses of HTTP/1.1. */

/** A response as its bytes say. */
export type RawResponse = {
	readonly status: number;
	readonly body: string;
	/** Whether the body has its whole length, or its last chunk. */
	readonly isComplete: boolean;
};

const headPattern = /^HTTP\/1\.1 (?<status>\d{3}) [^\r\n]*\r\n(?<fields>(?:[^\r\n:]+:[^\r\n]*\r\n)*)\r\n/v;

const readChunks = (text: string): {readonly body: string; readonly isComplete: boolean; readonly rest: string} => {
	let body = '';
	let rest = text;
	for (;;) {
		const size = /^(?<size>[\da-f]+)\r\n/iv.exec(rest)?.groups?.size;
		if (size === undefined) {
			return {body, isComplete: false, rest};
		}

		const start = size.length + 2;
		const length = Number.parseInt(size, 16);
		if (rest.length < start + length + 2) {
			return {body, isComplete: false, rest: ''};
		}

		body += rest.slice(start, start + length);
		rest = rest.slice(start + length + 2);
		if (length === 0) {
			return {body, isComplete: true, rest};
		}
	}
};

/**
 * Splits bytes into responses; interim responses are left out.
 *
 * @throws Error when bytes belong to no response.
 * @example
 * parseResponses('HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n'); // [{status: 200, body: '', isComplete: true}]
 */
export const parseResponses = (text: string): RawResponse[] => {
	const responses: RawResponse[] = [];
	let rest = text;
	while (rest !== '') {
		const head = headPattern.exec(rest);
		if (head === null) {
			throw new Error(`bytes of no response: ${JSON.stringify(rest.slice(0, 200))}`);
		}

		rest = rest.slice(head[0].length);
		const status = Number(head.groups!.status);
		if (status === 100) {
			continue;
		}

		const length = /^content-length: (?<length>\d+)/imv.exec(head.groups!.fields!)?.groups?.length;
		const read = length === undefined
			? readChunks(rest)
			: {body: rest.slice(0, Number(length)), isComplete: rest.length >= Number(length), rest: rest.slice(Number(length))};
		responses.push({status, body: read.body, isComplete: read.isComplete});
		rest = read.rest;
	}

	return responses;
};
