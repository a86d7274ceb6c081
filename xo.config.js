/** Linter and formatter: XO's rules, with the house's short names allowed. */
const config = [
	{ignores: ['**/dist/**', 'coverage/**']},
	{
		rules: {
			// The house style wants short names where custom has them: req, res, cfg, err
			'unicorn/prevent-abbreviations': 'off',
			// Promises settle in the tasks that own them; rejections are handled there
			'promise/prefer-await-to-then': 'off',
		},
	},
	{
		files: ['**/*.ts'],
		rules: {
			// Type imports stand apart from value imports
			'@typescript-eslint/consistent-type-imports': ['error', {fixStyle: 'separate-type-imports'}],
			'import-x/consistent-type-specifier-style': ['error', 'prefer-top-level'],
			'import-x/no-duplicates': ['error', {'prefer-inline': false}],
			'@typescript-eslint/switch-exhaustiveness-check': ['error', {considerDefaultExhaustiveForUnions: true}],
			// `_name` marks a parameter that an interface demands
			'@typescript-eslint/no-unused-vars': ['error', {argsIgnorePattern: '^_'}],
		},
	},
];

export default config;
