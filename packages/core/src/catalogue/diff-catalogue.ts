/** Compares two catalogues field by field. */
import type {CatalogueSnapshot} from './types.js';

/** One field that differs; `before` or `after` is undefined if that catalogue lacks the field. */
export type CatalogueDifference = {
	/** Path of the field, such as `shopfront.limits.inFlight`; servers are identified by their id. */
	readonly field: string;
	/** Value before, as JSON. */
	readonly before: string | undefined;
	/** Value after, as JSON. */
	readonly after: string | undefined;
};

const elementKeyOf = (value: unknown, index: number): string => (value as {id?: string} | undefined)?.id ?? String(index);

const flatten = (value: unknown, path: string, fields: Map<string, string>): void => {
	if (typeof value !== 'object' || value === null) {
		fields.set(path, JSON.stringify(value));
		return;
	}

	const entries = Array.isArray(value)
		? value.map((element: unknown, index): [string, unknown] => [elementKeyOf(element, index), element])
		: Object.entries(value);
	for (const [key, child] of entries) {
		flatten(child, `${path}.${key}`, fields);
	}
};

const fieldsOf = (snapshot: CatalogueSnapshot): Map<string, string> => {
	const fields = new Map<string, string>();
	for (const [name, service] of snapshot.services) {
		flatten(service, name, fields);
	}

	return fields;
};

/**
 * Lists the fields that differ, sorted by path. A default counts as if it were written out.
 *
 * @example
 * diffCatalogues(current, edited); // [{field: 'shopfront.limits.inFlight', before: '64', after: '96'}]
 */
export const diffCatalogues = (before: CatalogueSnapshot, after: CatalogueSnapshot): readonly CatalogueDifference[] => {
	const beforeFields = fieldsOf(before);
	const afterFields = fieldsOf(after);
	return [...new Set([...beforeFields.keys(), ...afterFields.keys()])]
		.filter(field => beforeFields.get(field) !== afterFields.get(field))
		.toSorted()
		.map(field => ({field, before: beforeFields.get(field), after: afterFields.get(field)}));
};
