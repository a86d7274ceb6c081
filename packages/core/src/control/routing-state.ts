/** The routing configuration, versioned by the operator: the highest version is in force. */
import type {RoutingVersion} from '../ids.js';

/** A routing configuration as the operator submitted it. */
export type RoutingDocument = {
	readonly version: RoutingVersion;
	/** The operator's text, byte for byte. */
	readonly text: string;
};

/** Result of submitting a routing configuration. */
export type RoutingReplaceResult =
	| {readonly kind: 'accepted'; readonly version: RoutingVersion}
	/** The same or a higher version, given here, is already in force; nothing changes. */
	| {readonly kind: 'superseded'; readonly version: RoutingVersion};

/**
 * Keeps the document with the highest version. Submitting the same or an older version again changes nothing.
 *
 * @example
 * const routing = new RoutingState();
 * routing.replace({version, text}).kind; // 'accepted'
 * routing.replace({version, text}).kind; // 'superseded'
 */
export class RoutingState {
	#current: RoutingDocument | undefined;

	/** The document in force; undefined if none has been accepted yet. */
	get current(): RoutingDocument | undefined {
		return this.#current;
	}

	/** Puts a document into force if its version is higher than the current one. */
	replace(document: RoutingDocument): RoutingReplaceResult {
		if (this.#current !== undefined && document.version <= this.#current.version) {
			return {kind: 'superseded', version: this.#current.version};
		}

		this.#current = document;
		return {kind: 'accepted', version: document.version};
	}

	/** Replaces the current document with the one in a snapshot. */
	restore(document: RoutingDocument | undefined): void {
		this.#current = document;
	}
}
