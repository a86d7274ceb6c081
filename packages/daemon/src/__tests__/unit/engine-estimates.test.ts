import {readFile} from 'node:fs/promises';
import {expect, test} from 'vitest';
import {parseEngineEstimates} from '../../settings/engine-estimates.js';

const text = `
[prefill]
tokensPerMs = 45
latencyMs = 120
[direct]
tokensPerMs = 20
latencyMs = 120
[calls]
promptTokens = 5200
outputTokens = 450
streamMs = 3500
outputPart = 0.3
`;

test('reads the file that is deployed', async () => {
	const deployed = await readFile(new URL('../../../../../deploy/engines.toml', import.meta.url), 'utf8');
	expect(parseEngineEstimates(deployed).ok).toBe(true);
});

test.each([
	{name: 'a rate of 0', change: ['tokensPerMs = 45', 'tokensPerMs = 0'], fault: ['prefill.tokensPerMs', '0', 3]},
	{name: 'a part over 1', change: ['outputPart = 0.3', 'outputPart = 1.3'], fault: ['calls.outputPart', '1.3', 12]},
	{name: 'a text for a time', change: ['streamMs = 3500', 'streamMs = "3.5 s"'], fault: ['calls.streamMs', '"3.5 s"', 11]},
	{name: 'an unknown key', change: ['streamMs', 'streamS'], fault: ['calls.streamMs', undefined, 8]},
] as const)('names line, field and value of $name', ({change: [from, to], fault}) => {
	const read = parseEngineEstimates(text.replace(from, to));
	const faults = read.err ? read.val.map(({field, value, line}) => [field, value, line]) : [];
	expect(faults).toContainEqual(fault);
});
