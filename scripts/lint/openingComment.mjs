/**
 * ESLint rule: a module begins with a doc comment that states its purpose, before the first import,
 * so that a reader sees the purpose first.
 */
export const openingComment = {
  meta: {
    type: 'suggestion',
    docs: { description: 'require a doc comment at the top of each module' },
    messages: { missing: 'Open the module with a /** comment */ that says what it is for.' },
    schema: [],
  },
  create(context) {
    return {
      Program(program) {
        const comments = context.sourceCode.getAllComments()
        // A shebang line may precede the doc comment.
        const first = comments.find(({ type }) => type !== 'Shebang')
        const isDoc = first?.type === 'Block' && first.value.startsWith('*')
        const isAtTop = first !== undefined && first.range[0] <= (program.body[0]?.range[0] ?? 0)
        if (!isDoc || !isAtTop)
          context.report({ loc: { line: 1, column: 0 }, messageId: 'missing' })
      },
    }
  },
}
