import js from '@eslint/js'
import tseslint from 'typescript-eslint'

// Packages in the order in which they may depend on each other: each imports only earlier ones.
const LAYERS = ['shared', 'stores', 'coordination', 'router', 'daemon']
// The coordination library is embedded by others, so it must not know a transport or an engine.
const TRANSPORTS = ['undici', '@grpc/grpc-js', 'node:http', 'http']

const directionRules = LAYERS.map((layer, position) => ({
  files: [`packages/${layer}/src/**/*.ts`],
  rules: {
    'no-restricted-imports': [
      'error',
      {
        patterns: [
          {
            group: [...LAYERS.slice(position), 'cli', 'stand-ins'].map(name => `@rackwalk/${name}`),
            message: `${layer} may import earlier layers only`,
          },
          ...(layer === 'coordination'
            ? [{ group: TRANSPORTS, message: 'no transport here' }]
            : []),
        ],
      },
    ],
  },
}))

export default tseslint.config(
  { ignores: ['**/dist/**', 'target/**', 'journal/**', '.cache/**', 'node_modules/**'] },
  js.configs.recommended,
  ...tseslint.configs.recommended,
  {
    rules: {
      '@typescript-eslint/no-explicit-any': 'error',
      '@typescript-eslint/consistent-type-imports': 'error',
      'max-lines': ['error', { max: 420, skipBlankLines: true, skipComments: true }],
      'no-restricted-syntax': [
        'error',
        { selector: 'ExportDefaultDeclaration', message: 'use explicit named exports' },
      ],
    },
  },
  {
    files: ['*.config.{js,ts}', 'scripts/*.ts'],
    rules: { 'no-restricted-syntax': 'off' },
  },
  {
    files: ['examples/*.mjs', 'scripts/*.mjs'],
    languageOptions: { globals: { console: 'readonly', process: 'readonly' } },
  },
  ...directionRules,
)
