import {expect, test} from 'vitest';
import {judgeResponse} from '../../index.js';
import type {ResponseBinding} from '../../index.js';

const echoed: ResponseBinding = {kind: 'echoed', requestId: 'r2'};
const echoedIfSupported: ResponseBinding = {kind: 'echoedIfSupported', requestId: 'r2'};
const ownConnection: ResponseBinding = {kind: 'ownConnection'};
const interchangeable: ResponseBinding = {kind: 'interchangeable', lane: 'report'};

test.each([
	{
		binding: echoed, isFirst: true, id: 'r2', verdict: 'kept',
	},
	{
		binding: echoed, isFirst: false, id: 'r2', verdict: 'kept',
	},
	{
		binding: echoed, isFirst: true, id: 'r1', verdict: 'foreign',
	},
	{
		binding: echoed, isFirst: false, id: 'r1', verdict: 'foreign',
	},
	{
		binding: echoed, isFirst: true, id: undefined, verdict: 'foreign',
	},
	{
		binding: echoed, isFirst: false, id: undefined, verdict: 'foreign',
	},
	{
		binding: echoedIfSupported, isFirst: true, id: 'r2', verdict: 'kept',
	},
	{
		binding: echoedIfSupported, isFirst: false, id: 'r2', verdict: 'kept',
	},
	{
		binding: echoedIfSupported, isFirst: true, id: 'r1', verdict: 'foreign',
	},
	{
		binding: echoedIfSupported, isFirst: false, id: 'r1', verdict: 'foreign',
	},
	{
		binding: echoedIfSupported, isFirst: true, id: undefined, verdict: 'last',
	},
	{
		binding: echoedIfSupported, isFirst: false, id: undefined, verdict: 'foreign',
	},
	{
		binding: ownConnection, isFirst: true, id: undefined, verdict: 'last',
	},
	{
		binding: ownConnection, isFirst: true, id: 'r1', verdict: 'last',
	},
	{
		binding: ownConnection, isFirst: false, id: undefined, verdict: 'foreign',
	},
	{
		binding: interchangeable, isFirst: true, id: undefined, verdict: 'kept',
	},
	{
		binding: interchangeable, isFirst: false, id: undefined, verdict: 'kept',
	},
])('$binding.kind, first on its connection: $isFirst, id $id: $verdict', ({binding, isFirst, id, verdict}) => {
	const expected = verdict === 'foreign' ? {kind: 'foreign'} : {kind: 'own', isLast: verdict === 'last'};
	expect(judgeResponse(binding, isFirst, id)).toEqual(expected);
});
