import {Buffer} from 'node:buffer';
import {isRequestDigest} from '@baobabpier/core';
import {describe, expect, test} from 'vitest';
import {digestRequest} from '../../gateway/request-digest.js';

const request = {
	method: 'POST', target: '/pay/1?a=b', rawHeaders: ['Host', 'h.example', 'Authorization', 'Bearer t'], body: Buffer.from('amount=7'),
};

describe('two requests', () => {
	test.each([
		{name: 'that are the same', other: {}, isSame: true},
		{name: 'with other ids and timeouts', other: {rawHeaders: [...request.rawHeaders, 'X-Id', 'r2', 'X-Timeout', '900', 'Connection', 'close']}, isSame: true},
		{name: 'with header names in other case', other: {rawHeaders: ['host', 'h.example', 'AUTHORIZATION', 'Bearer t']}, isSame: true},
		{name: 'with another body', other: {body: Buffer.from('amount=8')}, isSame: false},
		{name: 'with another path', other: {target: '/pay/2?a=b'}, isSame: false},
		{name: 'with another query', other: {target: '/pay/1?a=c'}, isSame: false},
		{name: 'with another method', other: {method: 'PUT'}, isSame: false},
		{name: 'of another host', other: {rawHeaders: ['Host', 'i.example', 'Authorization', 'Bearer t']}, isSame: false},
		{name: 'of another caller', other: {rawHeaders: ['Host', 'h.example', 'Authorization', 'Bearer u']}, isSame: false},
		{name: 'with a body that continues the path', other: {target: '/pay/1?a=', body: Buffer.from('bamount=7')}, isSame: false},
	])('$name: same digest $isSame', ({other, isSame}) => {
		expect(digestRequest({...request, ...other}) === digestRequest(request)).toBe(isSame);
	});
});

test('a digest shows nothing of the request, and is no segment of a prompt', () => {
	const digest = digestRequest(request);
	expect(digest).toMatch(/^request-[\da-f]{32}$/v);
	expect(isRequestDigest(digest)).toBe(true);
});
