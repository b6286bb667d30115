import tseslint from 'typescript-eslint';

/** The verbs of docs/STYLE.md. */
const VERBS = [
  ...['create', 'start', 'stop', 'run', 'wait', 'schedule'],
  ...['get', 'set', 'add', 'remove', 'take', 'update', 'clear'],
  ...['find', 'list', 'count', 'compute', 'estimate', 'compare', 'sort', 'choose', 'merge'],
  ...['read', 'write', 'append', 'send', 'request', 'handle', 'apply', 'record', 'log'],
  ...['check', 'validate', 'parse', 'format', 'to', 'is', 'has', 'can'],
  ...['place', 'queue', 'reserve', 'release', 'grant', 'revoke', 'renew', 'claim', 'cancel', 'retry'],
  ...['fold', 'measure'],
].join('|');
const VERB_PATTERN = { regex: `^(${VERBS})([A-Z0-9].*)?$`, match: true };

/** House rule: a product file exports one thing. */
const oneExport = {
  meta: { type: 'problem', schema: [] },
  create: (context) => {
    let exportCount = 0;
    const countExport = (node) => {
      exportCount += 1;
      if (exportCount > 1) {
        context.report({ node, message: 'One export a file.' });
      }
    };
    return { ExportNamedDeclaration: countExport, ExportDefaultDeclaration: countExport };
  },
};

/** House rule: a product file opens with, and each export carries, a doc comment. */
const documentedExport = {
  meta: { type: 'problem', schema: [] },
  create: (context) => ({
    ExportNamedDeclaration: (node) => {
      const comments = context.sourceCode.getCommentsBefore(node);
      const last = comments[comments.length - 1];
      if (last === undefined || last.type !== 'Block' || !last.value.startsWith('*')) {
        context.report({ node, message: 'An export carries a doc comment.' });
      }
    },
  }),
};

export default tseslint.config(
  { ignores: ['dist/**', 'target/**', 'node_modules/**', 'scripts/**', '*.mjs'] },
  ...tseslint.configs.recommended,
  {
    files: ['**/*.ts'],
    languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
    rules: {
      '@typescript-eslint/naming-convention': [
        'error',
        { selector: 'function', format: ['camelCase'], custom: VERB_PATTERN },
        { selector: 'classMethod', format: ['camelCase'], custom: VERB_PATTERN },
        {
          selector: 'variable',
          types: ['function'],
          modifiers: ['global'],
          format: ['camelCase'],
          custom: VERB_PATTERN,
        },
      ],
      '@typescript-eslint/no-floating-promises': 'error',
      '@typescript-eslint/no-misused-promises': ['error', { checksVoidReturn: false }],
      '@typescript-eslint/switch-exhaustiveness-check': 'error',
      'prefer-const': 'error',
      'no-console': 'error',
      eqeqeq: 'error',
    },
  },
  {
    // A reporter's methods have the names that the test runner calls.
    files: ['tests/helpers/CountReporter.ts'],
    rules: { '@typescript-eslint/naming-convention': 'off' },
  },
  {
    files: ['packages/**/*.ts', 'platform/**/*.ts', 'app/**/*.ts', 'dev/**/*.ts'],
    plugins: { house: { rules: { oneExport, documentedExport } } },
    rules: { 'house/oneExport': 'error', 'house/documentedExport': 'error' },
  },
);
