import {readFile} from 'node:fs/promises';
import {expect, test} from 'vitest';
import {errorResponses} from '@baobabpier/core';
import type {ErrorResponse} from '@baobabpier/core';

const row = ([kind, {status, run, retryAfterMs, message}]: [string, ErrorResponse]): string => `| \`${kind}\` | ${status} | \`${run}\` | ${retryAfterMs ?? ''} | ${message} |`;

test('docs/errors.md lists exactly the closed table', async () => {
	const page = await readFile(new URL('../../../../../docs/errors.md', import.meta.url), 'utf8');
	const rows = page.split('\n').filter(line => line.startsWith('| `'));
	expect(rows).toEqual(Object.entries(errorResponses).map(entry => row(entry)));
});
