/** Answers operators who ask for the catalogue's accepted changes. */
import type {CatalogueChange, CatalogueHistoryDocument, Revision} from '@baobabpier/core';

/**
 * Lists the changes kept without their texts, or one revision's with its text.
 *
 * @example
 * listChanges(history.changes, toId<Revision>(7)).changes[0]?.text;
 */
export const listChanges = (changes: readonly CatalogueChange[], revision: Revision | undefined): CatalogueHistoryDocument => ({
	changes: revision === undefined
		? changes.map(change => ({...change, text: undefined}))
		: changes.filter(change => change.revision === revision),
});
