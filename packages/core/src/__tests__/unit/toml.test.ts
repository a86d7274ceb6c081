import {describe, expect, test} from 'vitest';
import {findTomlPositions, parseCatalogue, toId} from '@baobabpier/core';
import type {Revision, TomlPath} from '@baobabpier/core';

const text = `# head "quoted = 1"
id = "a" # tail
list = [
	1, # one
	"two]",
	{x = 1, y = {z = 2}},
]
a.b."c.d" = 3
inline = {k.l = 1, "m n" = '''x
= y'''}
long = """
not = a key
\\""" still """

[table.sub]
key = 1
'lit.eral' = 2

[[rows]]
id = "r0"
[rows.deep]
v = 1
[[rows.kids]]
n = 0
[[rows.kids]]
n = 1

[[ rows ]]
"i\\u0064" = "r1"
[[rows.kids]]
n = 2
`;

const positions: ReadonlyArray<readonly [TomlPath, number]> = [
	[['id'], 2],
	[['list', 0], 4],
	[['list', 1], 5],
	[['list', 2, 'y', 'z'], 6],
	[['a', 'b', 'c.d'], 8],
	[['inline', 'k', 'l'], 9],
	[['inline', 'm n'], 9],
	[['long'], 11],
	[['not'], 1],
	[['table'], 15],
	[['table', 'sub', 'key'], 16],
	[['table', 'sub', 'lit.eral'], 17],
	[['table', 'sub', 'missing'], 15],
	[['rows', 0, 'id'], 20],
	[['rows', 0, 'deep', 'v'], 22],
	[['rows', 0, 'kids', 0, 'n'], 24],
	[['rows', 0, 'kids', 1, 'n'], 26],
	[['rows', 1], 28],
	[['rows', 1, 'id'], 29],
	[['rows', 1, 'kids', 0, 'n'], 31],
];

describe('findTomlPositions', () => {
	test.each(positions)('%j is on line %i', (path, line) => {
		expect(findTomlPositions(text).lineOf(path)).toBe(line);
	});
});

const formatPlainService = (lines: string): string => `[services.desk]\nkind = "plain"\nowner = "o"\nclass = "urgent"\n${lines}`;
const backendLine = 'backends = [{id = "b1", address = "10.0.0.1:80", dataCentre = "a"}]';

const backendTable = '\n[[services.desk.backends]]\nid = "b1"\naddress = "10.0.0.1:80"\ndataCentre = "a"';

const invalidCatalogues: ReadonlyArray<{name: string; text: string; faults: readonly string[]}> = [
	{name: 'syntax', text: 'a = \n', faults: ['1||']},
	{name: 'an unknown key', text: formatPlainService(`colour = "red"\n${backendLine}`), faults: ['5|services.desk.colour|"red"']},
	{name: 'a wrong type', text: formatPlainService(`${backendLine}\n[services.desk.limits]\ninFlight = "many"`), faults: ['7|services.desk.limits.inFlight|"many"']},
	{name: 'a missing field', text: '[services.desk]\nkind = "plain"\nclass = "urgent"\n' + backendLine, faults: ['1|services.desk.owner|']},
	{name: 'an unknown kind', text: '[services.desk]\nkind = "odd"', faults: ['2|services.desk.kind|"odd"']},
	{name: 'a bad service name', text: formatPlainService(backendLine).replaceAll('services.desk', 'services."Desk!"'), faults: ['1|services.Desk!|"Desk!"']},
	{
		name: 'duplicate ids and addresses along with a wrong type',
		text: formatPlainService(`idempotent = 3${backendTable.repeat(2)}`),
		faults: ['5|services.desk.idempotent|3', '11|services.desk.backends.1.id|"b1"', '12|services.desk.backends.1.address|"10.0.0.1:80"'],
	},
	{
		name: 'a call listed as both idempotent and non-idempotent',
		text: formatPlainService(`idempotent = ["POST /a"]\nnonIdempotent = ["POST /a"]\n${backendLine}`),
		faults: ['6|services.desk.nonIdempotent.0|"POST /a"'],
	},
];

describe('parseCatalogue reports the line and field of', () => {
	test.each(invalidCatalogues)('$name', ({text: catalogue, faults}) => {
		const result = parseCatalogue(catalogue, toId<Revision>(1));
		expect(result.err && result.val.map(({line, field, value}) => `${line}|${field}|${value ?? ''}`)).toEqual(faults);
	});
});
