/** Calls to servers go through the transport: no other module of the daemon or the adapter opens an HTTP client. */
import {readdir, readFile} from 'node:fs/promises';
import {fileURLToPath} from 'node:url';
import {expect, test} from 'vitest';

const root = fileURLToPath(new URL('../../../../..', import.meta.url));
const client = /from 'undici'|import\('undici'\)|(?:await|return|=|=>|void) fetch\(|\bhttps?\.(?:get|request)\(|import \{[^\}]*\b(?:request|get|Agent)\b[^\}]*\} from 'node:https?'/v;
/** The transport, and the exporter of traces, whose responses carry nothing that is used. */
const allowed: ReadonlySet<string> = new Set(['packages/daemon/src/transport/server-connection.ts', 'packages/daemon/src/observability/otlp-exporter.ts']);

test.each(['packages/core/src', 'packages/daemon/src', 'platform/src'])('no module of %s opens an HTTP client of its own', async folder => {
	const files = await readdir(`${root}/${folder}`, {recursive: true});
	const found: string[] = [];
	for (const file of files.filter(name => name.endsWith('.ts') && !name.includes('__tests__'))) {
		const path = `${folder}/${file}`;
		// eslint-disable-next-line no-await-in-loop
		const text = await readFile(`${root}/${path}`, 'utf8');
		const withoutTypes = text.replaceAll(/^import type .*$/gmv, '');
		if (client.test(withoutTypes) && !allowed.has(path)) {
			found.push(path);
		}
	}

	expect(found).toEqual([]);
});
