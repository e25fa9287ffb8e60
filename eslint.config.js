import * as fs from 'node:fs';
import * as path from 'node:path';
import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';

// The one list of verbs stands in docs/VERBS.md, as rows that begin with "- `verb`".
const VERBS = Array.from(
  fs.readFileSync(path.join(import.meta.dirname, 'docs/VERBS.md'), 'utf8').matchAll(/`([a-z]+)`/g),
  (match) => match[1],
);

const VERB_PATTERN = `/^(${VERBS.join('|')})([A-Z].*)?$/`;

const files = ['**/*.ts'];

export default [
  { ignores: ['**/dist/**', 'target/**', 'node_modules/**', 'out/**'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.base.typescript,
  prettier,
  {
    files,
    rules: {
      'import-x/no-extraneous-dependencies': [
        'error',
        {
          packageDir: [
            '.',
            'packages/shared',
            'packages/core',
            'packages/stores',
            'platform',
            'packages/router',
            'packages/cli',
            'packages-private/stand-ins',
            'packages-private/measure',
          ],
        },
      ],
      'import-x/extensions': 'off',
      'import-x/prefer-default-export': 'off',
      // A CommonJS package has no namespace at run time, so these keep their default import.
      'no-underscore-dangle': 'off',
      // The record of a request in flight is the one mutable value of the shell.
      'no-param-reassign': [
        'error',
        {
          props: true,
          ignorePropertyModificationsFor: [
            'pending',
            'response',
            'item',
            'series',
            'host',
            'standIn',
            'upstream',
            'one',
            'watched',
          ],
        },
      ],
      'no-restricted-syntax': [
        'error',
        { selector: 'ForInStatement', message: 'Use Object.entries.' },
        { selector: 'LabeledStatement', message: 'Split the function instead.' },
        {
          selector: 'ImportDeclaration[importKind="value"] > ImportSpecifier',
          message: 'Use a namespace import.',
        },
        {
          selector: `Program > VariableDeclaration > VariableDeclarator[init.type='ArrowFunctionExpression'][id.name!=${VERB_PATTERN}]`,
          message: 'Begin function names with a verb of docs/VERBS.md.',
        },
        {
          selector: `Program > ExportNamedDeclaration > VariableDeclaration > VariableDeclarator[init.type='ArrowFunctionExpression'][id.name!=${VERB_PATTERN}]`,
          message: 'Begin function names with a verb of docs/VERBS.md.',
        },
      ],
    },
  },
  {
    // A script of the build, which uses what the workspace declares.
    files: ['packages/router/bundle/build.mjs'],
    rules: {
      'import-x/no-extraneous-dependencies': ['error', { packageDir: '.', devDependencies: true }],
    },
  },
];
