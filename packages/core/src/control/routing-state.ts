/** The routing configuration under the operator's own version numbers: the highest version is in force. */
import type {RoutingVersion} from '../ids.js';

/** A routing configuration as the operator sent it. */
export type RoutingDocument = {
	readonly version: RoutingVersion;
	/** The operator's text, kept byte for byte. */
	readonly text: string;
};

/** What became of a proposed routing configuration. */
export type RoutingReplaceResult =
	| {readonly kind: 'accepted'; readonly version: RoutingVersion}
	/** A version as high was accepted before; nothing changed. */
	| {readonly kind: 'superseded'; readonly version: RoutingVersion};

/**
 * Keeps the document with the highest version. A resend and an older version change nothing.
 *
 * @example
 * const history = new RoutingHistory();
 * history.replace({version, text}).kind; // 'accepted'
 * history.replace({version, text}).kind; // 'superseded'
 */
export class RoutingState {
	#current: RoutingDocument | undefined;

	/** The document in force; undefined before the first. */
	get current(): RoutingDocument | undefined {
		return this.#current;
	}

	/** Takes a document into force when its version is higher than any before. */
	replace(document: RoutingDocument): RoutingReplaceResult {
		if (this.#current !== undefined && document.version <= this.#current.version) {
			return {kind: 'superseded', version: this.#current.version};
		}

		this.#current = document;
		return {kind: 'accepted', version: document.version};
	}

	/** Replaces the history by a captured one. */
	restore(document: RoutingDocument | undefined): void {
		this.#current = document;
	}
}
