/** The body of a response, read from its connection as its reader asks for it. */
import {Readable} from 'node:stream';

/** Controls the connection that a body is read from. */
export type BodySource = {
	resume(): void;
	/** Ends the response before it is complete. */
	abort(reason: Error): void;
};

/**
 * A body that is filled by its connection's parser. Destroying it before its end aborts the response.
 *
 * @example
 * const body = new ResponseBody(source);
 * body.push(chunk); // False: pause the parser until `source.resume`
 */
export class ResponseBody extends Readable {
	#isComplete = false;

	constructor(private readonly source: BodySource) {
		super({autoDestroy: true});
		// Whoever reads or destroys the body learns of its failure there
		this.on('error', () => undefined);
	}

	/** Marks the end. */
	complete(): void {
		this.#isComplete = true;
		this.push(null);
	}

	override _read(): void {
		if (!this.#isComplete) {
			this.source.resume();
		}
	}

	// eslint-disable-next-line @typescript-eslint/no-restricted-types
	override _destroy(error: Error | null, callback: (error?: Error | null) => void): void {
		if (!this.#isComplete) {
			this.#isComplete = true;
			this.source.abort(error ?? new Error('the body is not wanted any more'));
		}

		callback(error);
	}
}
