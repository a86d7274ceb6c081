import {toId} from '@baobabpier/core';
import type {RoutedService, ServiceName} from '@baobabpier/core';
import {expect, test} from 'vitest';
import {ConnectionLimits} from '../../gateway/connection-limits.js';

const servicesOf = (maxima: Readonly<Record<string, number>>): ReadonlyMap<ServiceName, RoutedService> => new Map(Object.entries(maxima).map(([name, maxConnections]) => [toId<ServiceName>(name), {
	name: toId<ServiceName>(name), healthPath: '/health', maxConnections, engines: undefined,
}]));
const lm = toId<ServiceName>('lm');

type Case = {
	readonly name: string;
	/** Maximum connections of each service, in one configuration after the other. */
	readonly changes: ReadonlyArray<Readonly<Record<string, number>>>;
	readonly listed: readonly string[];
	readonly instances: number;
	readonly max: number;
};

// Guards against calls in progress that wait for one of four connections once a configuration drops their service
test.each<Case>([
	{
		name: 'a service', changes: [{lm: 400}], listed: ['lm'], instances: 4, max: 80,
	},
	{
		name: 'a service with few connections', changes: [{lm: 3}], listed: ['lm'], instances: 4, max: 2,
	},
	{
		name: 'a service that was given fewer', changes: [{lm: 400}, {lm: 40}], listed: ['lm'], instances: 4, max: 8,
	},
	{
		name: 'a dropped service whose servers are listed', changes: [{lm: 400}, {desk: 9}], listed: ['lm', 'desk'], instances: 4, max: 80,
	},
	{
		name: 'a dropped service without servers', changes: [{lm: 400}, {desk: 9}], listed: ['desk'], instances: 4, max: 4,
	},
	{
		name: 'a service without servers', changes: [{lm: 400}], listed: [], instances: 2, max: 160,
	},
	{
		name: 'a service that was never configured', changes: [{desk: 9}], listed: ['lm'], instances: 4, max: 4,
	},
])('$name gets $max connections to a server', ({changes, listed, instances, max}) => {
	const limits = new ConnectionLimits();
	for (const maxima of changes) {
		limits.setServices(servicesOf(maxima));
		limits.retain(new Set(listed.map(name => toId<ServiceName>(name))));
	}

	expect(limits.maxTo(lm, instances)).toBe(max);
});

test('an address of no listed server gets 4 connections', () => {
	expect(new ConnectionLimits().maxTo(undefined, 1)).toBe(4);
});
