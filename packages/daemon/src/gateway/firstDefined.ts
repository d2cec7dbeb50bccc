/** Resolves with the first outcome that is defined; with undefined if none is. No outcome may reject. */
export async function firstDefined<Outcome>(
  outcomes: readonly Promise<Outcome | undefined>[],
): Promise<Outcome | undefined> {
  const defined = outcomes.map(async outcome => {
    return (await outcome) ?? Promise.reject(new Error('undefined'))
  })
  return Promise.any(defined).catch(() => undefined)
}
