/** Filters headers that concern one connection only and are never forwarded. */

const CONNECTION_ONLY = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
  // Used between instances only.
  'rackwalk-relayed-by',
])

/** Copies alternating names and values, without those that concern one connection only. */
export function withoutConnectionHeaders(
  rawHeaders: readonly string[],
  alsoDropped: (name: string) => boolean = () => false,
): string[] {
  const named = namedByConnection(rawHeaders)
  const kept: string[] = []
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] ?? ''
    const lower = name.toLowerCase()
    if (CONNECTION_ONLY.has(lower) || named.has(lower) || alsoDropped(lower)) continue
    kept.push(name, rawHeaders[index + 1] ?? '')
  }
  return kept
}

/** Header names that a `Connection` header lists. */
function namedByConnection(rawHeaders: readonly string[]): ReadonlySet<string> {
  const named = new Set<string>()
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    if (rawHeaders[index]?.toLowerCase() !== 'connection') continue
    for (const name of (rawHeaders[index + 1] ?? '').split(','))
      named.add(name.trim().toLowerCase())
  }
  return named
}
