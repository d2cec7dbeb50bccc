/**
 * Forbids import cycles, including those of type imports: to understand one module of a cycle, a
 * reader has to read all of them. Run by `npm run lint`. The direction of imports between packages
 * is a rule in eslint.config.js.
 */
module.exports = {
  forbidden: [
    {
      name: 'no-circular',
      severity: 'error',
      comment: 'Move what both sides need into a module of its own.',
      from: {},
      to: { circular: true },
    },
  ],
  options: {
    tsPreCompilationDeps: true,
    tsConfig: { fileName: 'tsconfig.base.json' },
    exclude: { path: '(^|/)(dist|node_modules)/' },
    doNotFollow: { path: 'node_modules' },
  },
}
