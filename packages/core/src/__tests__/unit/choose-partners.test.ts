import {describe, expect, test} from 'vitest';
import {choosePartners, toId} from '@baobabpier/core';
import type {DataCentreId, InstanceId, RelayPartner} from '@baobabpier/core';

const dataCentres = ['a', 'b', 'c'].map(name => toId<DataCentreId>(name));
const createInstances = (count: number): readonly RelayPartner[] => Array.from({length: count}, (_, index) => ({
	id: toId<InstanceId>(`e${index}`), address: `10.0.0.${index}:1`, dataCentre: dataCentres[index % dataCentres.length]!,
}));

describe('the partners of an instance', () => {
	test.each([
		{
			name: 'of many', count: 9, near: 2, far: 2,
		},
		{
			name: 'where its data centre has none', count: 3, near: 0, far: 2,
		},
		{
			name: 'of few others', count: 4, near: 1, far: 2,
		},
		{
			name: 'alone', count: 1, near: 0, far: 0,
		},
	])('are near and far ones: $name', ({count, near, far}) => {
		const instances = createInstances(count);
		const [self] = instances;
		const partners = choosePartners(self!, instances);
		expect(partners.filter(({dataCentre}) => dataCentre === self!.dataCentre).length).toBe(near);
		expect(partners.filter(({dataCentre}) => dataCentre !== self!.dataCentre).length).toBe(far);
		expect(partners.map(({id}) => id)).not.toContain(self!.id);
	});

	test('are spread evenly, also where a whole data centre is cut', () => {
		const instances = createInstances(300);
		const [cut] = dataCentres;
		const sound = instances.filter(({dataCentre}) => dataCentre !== cut);
		const counts = new Map<InstanceId, number>();
		for (const self of instances.filter(({dataCentre}) => dataCentre === cut)) {
			const partners = choosePartners(self, sound);
			expect(partners.length).toBe(4);
			for (const {id} of partners) {
				counts.set(id, (counts.get(id) ?? 0) + 1);
			}
		}

		// 100 instances choose 400 partners among 200
		expect(Math.max(...counts.values())).toBeLessThanOrEqual(8);
	});
});
