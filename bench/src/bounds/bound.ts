/** A bound on a count, or on a ratio of figures of the same run. */
export interface Bound {
  readonly name: string
  readonly value: number
  readonly atMost?: number
  readonly atLeast?: number
}

/** Prints the bounds and returns those that are not met. */
export function checkBounds(bounds: readonly Bound[]): readonly Bound[] {
  const unmet = bounds.filter(bound => !isMet(bound))
  for (const bound of bounds) {
    const result = isMet(bound) ? 'ok  ' : 'FAIL'
    console.log(`${result} ${bound.name}: ${bound.value} ${describe(bound)}`)
  }
  return unmet
}

function isMet({ value, atMost, atLeast }: Bound): boolean {
  if (Number.isNaN(value)) return false
  return (atMost === undefined || value <= atMost) && (atLeast === undefined || value >= atLeast)
}

function describe({ atMost, atLeast }: Bound): string {
  const upper = atMost === undefined ? '' : `at most ${atMost}`
  const lower = atLeast === undefined ? '' : `at least ${atLeast}`
  return `(${[lower, upper].filter(part => part !== '').join(', ')})`
}
