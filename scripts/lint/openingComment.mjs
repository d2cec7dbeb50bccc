/**
 * A lint rule of this repository: a module opens with a doc comment that says what it is for,
 * before its first import, so that a reader meets it first.
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
        // The first line of a program may name its interpreter.
        const first = comments.find(({ type }) => type !== 'Shebang')
        const isDoc = first?.type === 'Block' && first.value.startsWith('*')
        const isAtTop = first !== undefined && first.range[0] <= (program.body[0]?.range[0] ?? 0)
        if (!isDoc || !isAtTop)
          context.report({ loc: { line: 1, column: 0 }, messageId: 'missing' })
      },
    }
  },
}
