/** One measurement: the cost at one size. */
export interface Sample {
  readonly size: number
  readonly value: number
}

/** A straight line fitted to measurements. */
export interface Slope {
  readonly perUnit: number
  readonly fixed: number
  /** Share of the variance that the line explains (R²). */
  readonly fit: number
  readonly samples: readonly Sample[]
}

/** Fits a least-squares line to at least two samples. */
export function fitSlope(samples: readonly Sample[]): Slope {
  const sizes = mean(samples.map(({ size }) => size))
  const values = mean(samples.map(({ value }) => value))
  const covariance = sum(samples.map(({ size, value }) => (size - sizes) * (value - values)))
  const variance = sum(samples.map(({ size }) => (size - sizes) ** 2))
  const perUnit = covariance / variance
  const fixed = values - perUnit * sizes
  const total = sum(samples.map(({ value }) => (value - values) ** 2))
  const residual = sum(samples.map(({ size, value }) => (value - fixed - perUnit * size) ** 2))
  return { perUnit, fixed, fit: total === 0 ? 1 : 1 - residual / total, samples }
}

/** Measures each size and fits a line to the results. */
export async function slopeOverSizes(
  sizes: readonly number[],
  measure: (size: number) => Promise<number>,
): Promise<Slope> {
  const samples = []
  for (const size of sizes) samples.push({ size, value: await measure(size) })
  return fitSlope(samples)
}

/** Returns the time of one call in microseconds: the median over batches of `repeats` calls. */
export async function medianMicroseconds(
  run: () => unknown,
  repeats: number,
  batches = 9,
): Promise<number> {
  const times: number[] = []
  for (let batch = 0; batch < batches; batch += 1) {
    const begin = performance.now()
    for (let repeat = 0; repeat < repeats; repeat += 1) await run()
    times.push(((performance.now() - begin) * 1000) / repeats)
  }
  return times.sort((left, right) => left - right)[Math.floor(batches / 2)] as number
}

/** Returns the heap bytes of what `create` returns, which stays referenced while it is measured. */
export async function heapBytesOf(create: () => unknown): Promise<number> {
  globalThis.gc?.()
  const before = process.memoryUsage().heapUsed
  const created = await create()
  globalThis.gc?.()
  const bytes = process.memoryUsage().heapUsed - before
  return created === undefined ? bytes : Math.max(0, bytes)
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}

function mean(values: readonly number[]): number {
  return sum(values) / values.length
}
