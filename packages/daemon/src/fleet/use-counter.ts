/** Counts what is in progress per server. */

/** Uses of each id. */
export class UseCounter {
	readonly #counts = new Map<string, number>();

	/** Counts one more use; returns its end, which may be called twice. */
	enter(id: string): () => void {
		this.#counts.set(id, this.count(id) + 1);
		let isOpen = true;
		return () => {
			if (isOpen) {
				isOpen = false;
				this.#counts.set(id, this.count(id) - 1);
			}
		};
	}

	/** Uses of an id in progress. */
	count(id: string): number {
		return this.#counts.get(id) ?? 0;
	}
}
