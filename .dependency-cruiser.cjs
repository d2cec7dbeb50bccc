/**
 * Import circles, type imports among them: whoever reads one module of a circle has to read all
 * of it. Run by `npm run lint`. The direction between packages is a rule of eslint.config.js.
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
