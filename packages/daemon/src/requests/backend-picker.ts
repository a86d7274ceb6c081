/** Chooses the backend server of a call. */
import {pickIndex} from '@baobabpier/core';
import type {
	BackendEntry, BackendId, DataCentreId, PlainService, RandomSource,
} from '@baobabpier/core';

/** What the choice depends on. */
export type BackendPickerParts = {
	readonly dataCentre: DataCentreId;
	readonly random: RandomSource;
	readonly isLeaving: (id: BackendId) => boolean;
};

/** Picks at random, in this data centre first. */
export class BackendPicker {
	constructor(private readonly parts: BackendPickerParts) {}

	/** A server that is neither leaving nor excluded; undefined when there is none. */
	pick(service: PlainService, excluded: ReadonlySet<BackendId>): BackendEntry | undefined {
		const usable = service.backends.filter(backend => !this.parts.isLeaving(backend.id) && !excluded.has(backend.id));
		const local = usable.filter(backend => backend.dataCentre === this.parts.dataCentre);
		const candidates = local.length > 0 ? local : usable;
		return candidates[pickIndex(this.parts.random, candidates.length)];
	}
}
