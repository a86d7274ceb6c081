import {readFile} from 'node:fs/promises';
import {expect, test} from 'vitest';
import {errorResponses} from '@baobabpier/core';
import type {ErrorResponse} from '@baobabpier/core';

const formatRow = ([kind, {status, run, retryAfterMs, message}]: [string, ErrorResponse]): string => `| \`${kind}\` | ${status} | \`${run}\` | ${retryAfterMs ?? ''} | ${message} |`;

test('docs/errors.md lists exactly the entries of errorResponses', async () => {
	const page = await readFile(new URL('../../../../../docs/errors.md', import.meta.url), 'utf8');
	const rows = page.split('\n').filter(line => line.startsWith('| `'));
	expect(rows).toEqual(Object.entries(errorResponses).map(entry => formatRow(entry)));
});
