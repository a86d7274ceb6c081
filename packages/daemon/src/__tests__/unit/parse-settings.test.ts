import {describe, expect, test} from 'vitest';
import {parseSettings} from '@baobabpier/daemon';

const valid = `id = "a-1"
dataCentre = "a"
secretFile = "secret"
[listen]
callers = "127.0.0.1:8001"
peers = "127.0.0.1:9001"
[[instances]]
id = "a-1"
dataCentre = "a"
peers = "127.0.0.1:9001"
`;

const cases: ReadonlyArray<{name: string; text: string; faults: readonly string[]}> = [
	{name: 'an unknown key', text: valid.replace('[listen]', 'colour = 1\n[listen]'), faults: ['4|colour|1']},
	{name: 'its own id not listed', text: valid.replace('id = "a-1"', 'id = "a-2"'), faults: ['1|id|"a-2"']},
	{name: 'another peer address', text: valid.replace('peers = "127.0.0.1:9001"', 'peers = "127.0.0.1:9002"'), faults: ['10|instances.0.peers|"127.0.0.1:9001"']},
	{name: 'another data centre', text: valid.replace('dataCentre = "a"', 'dataCentre = "b"'), faults: ['9|instances.0.dataCentre|"a"']},
	{name: 'one port for both', text: valid.replaceAll('9001', '8001'), faults: ['5|listen.callers|"127.0.0.1:8001"']},
	{
		name: 'a repeated instance',
		text: `${valid}[[instances]]\nid = "a-1"\ndataCentre = "a"\npeers = "127.0.0.1:9001"\n`,
		faults: ['12|instances.1.id|"a-1"', '14|instances.1.peers|"127.0.0.1:9001"'],
	},
	{
		name: 'several faults at once',
		text: valid.replace('secretFile = "secret"', 'secretFile = 5').replace('id = "a-1"', 'id = "a-9"').replace('callers = "127.0.0.1:8001"', 'callers = "localhost"'),
		faults: ['1|id|"a-9"', '3|secretFile|5', '5|listen.callers|"localhost"'],
	},
	{name: 'a port that no address has', text: valid.replace('127.0.0.1:8001', '127.0.0.1:99999'), faults: ['5|listen.callers|"127.0.0.1:99999"']},
	{name: 'an octet that no address has', text: valid.replace('127.0.0.1:8001', '127.0.0.256:8001'), faults: ['5|listen.callers|"127.0.0.256:8001"']},
	{name: 'a bad tracing endpoint', text: `${valid}[tracing]\nendpoint = "collector"\n`, faults: ['12|tracing.endpoint|"collector"']},
];

describe('parseSettings', () => {
	test('takes valid settings', () => {
		expect(parseSettings(valid).ok).toBe(true);
	});

	test.each(cases)('names $name', ({text, faults}) => {
		const result = parseSettings(text);
		expect(result.err && result.val.map(({line, field, value}) => `${line}|${field}|${value ?? ''}`)).toEqual(faults);
	});
});
