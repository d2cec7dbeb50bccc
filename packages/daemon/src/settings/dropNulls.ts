/** Removes null values from settings. */

/** Treats a key without a value as absent, so that a filled-in template may leave keys empty. */
export function dropNulls(value: unknown): unknown {
  if (Array.isArray(value)) return value.filter(item => item !== null).map(dropNulls)
  if (typeof value !== 'object' || value === null) return value
  const kept = Object.entries(value).filter(([, child]) => child !== null)
  return Object.fromEntries(kept.map(([key, child]) => [key, dropNulls(child)]))
}
