import {fileURLToPath} from 'node:url';
import {defineConfig} from 'vitest/config';

const source = path => fileURLToPath(new URL(path, import.meta.url));

const alias = [
	{find: '@baobabpier/core', replacement: source('packages/core/src/index.ts')},
	{find: '@baobabpier/daemon', replacement: source('packages/daemon/src/index.ts')},
	{find: '@baobabpier/cli', replacement: source('packages/cli/src/index.ts')},
	{find: '@baobabpier/stand-ins', replacement: source('packages/stand-ins/src/index.ts')},
	{find: '@baobabpier/platform', replacement: source('platform/src/index.ts')},
	{find: '@baobabpier/bench', replacement: source('bench/src/index.ts')},
];

export default defineConfig({
	test: {
		projects: [
			{
				resolve: {alias},
				test: {name: 'unit', include: ['packages/*/src/__tests__/unit/**/*.test.ts', 'bench/src/__tests__/unit/**/*.test.ts', 'platform/src/__tests__/unit/**/*.test.ts']},
			},
			{
				resolve: {alias},
				test: {
					name: 'history', include: ['packages/*/src/__tests__/history/**/*.test.ts'], testTimeout: 600_000,
				},
			},
			{
				resolve: {alias},
				test: {
					name: 'process',
					include: ['packages/*/src/__tests__/process/**/*.test.ts', 'bench/src/__tests__/process/**/*.test.ts', 'platform/src/__tests__/process/**/*.test.ts'],
					testTimeout: 120_000,
					hookTimeout: 60_000,
					fileParallelism: false,
				},
			},
		],
	},
});
