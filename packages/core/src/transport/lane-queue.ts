/** Requests of one lane that wait for a connection, in order of arrival. */

/**
 * A queue from which any request can be withdrawn in constant time.
 *
 * @example
 * const queue = new LaneQueue<string>();
 * queue.add('first');
 * queue.shift(); // 'first'
 */
export class LaneQueue<Request> {
	/** Requests that were put back, the next one last. */
	readonly #returned: Request[] = [];
	readonly #added = new Set<Request>();

	get size(): number {
		return this.#returned.length + this.#added.size;
	}

	add(request: Request): void {
		this.#added.add(request);
	}

	/** Puts a request back before all others. */
	putBack(request: Request): void {
		this.#returned.push(request);
	}

	/** Takes the next request; undefined when none waits. */
	shift(): Request | undefined {
		if (this.#returned.length > 0) {
			return this.#returned.pop();
		}

		const [next] = this.#added;
		if (next !== undefined) {
			this.#added.delete(next);
		}

		return next;
	}

	/** Withdraws a request; returns whether it waited. */
	delete(request: Request): boolean {
		const index = this.#returned.indexOf(request);
		if (index === -1) {
			return this.#added.delete(request);
		}

		this.#returned.splice(index, 1);
		return true;
	}

	/** The requests in order. */
	* values(): Generator<Request> {
		yield * this.#returned.toReversed();
		yield * this.#added;
	}
}
