/** One thing that a bench promises about counts or ratios of the same run. */
export interface Bound {
  readonly name: string
  readonly value: number
  readonly atMost?: number
  readonly atLeast?: number
}

/** Prints the bounds and gives those that do not hold. */
export function checkBounds(bounds: readonly Bound[]): readonly Bound[] {
  const broken = bounds.filter(bound => !holds(bound))
  for (const bound of bounds) {
    const mark = holds(bound) ? 'ok  ' : 'FAIL'
    console.log(`${mark} ${bound.name}: ${bound.value} ${describe(bound)}`)
  }
  return broken
}

function holds({ value, atMost, atLeast }: Bound): boolean {
  if (Number.isNaN(value)) return false
  return (atMost === undefined || value <= atMost) && (atLeast === undefined || value >= atLeast)
}

function describe({ atMost, atLeast }: Bound): string {
  const upper = atMost === undefined ? '' : `at most ${atMost}`
  const lower = atLeast === undefined ? '' : `at least ${atLeast}`
  return `(${[lower, upper].filter(part => part !== '').join(', ')})`
}
