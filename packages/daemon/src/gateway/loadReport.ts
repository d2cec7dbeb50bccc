/**
 * The encoding of a load report, which instances send each other in datagrams. Owns nothing; bytes that do not have
 * this form are rejected as a whole.
 */

import { parseJson } from '@rackwalk/stores'
import type { PeerLoadReport } from '@rackwalk/router'

/** `[id, tokens]` */
type WirePart = readonly [string, number]
/** `[endpoint, running, pendingTokens, parts]` */
type WireLoad = readonly [string, number, number, readonly WirePart[]]
/** `[instance, incarnation, sequence, isWhole, loads]` */
type WireReport = readonly [string, string, number, boolean, readonly WireLoad[]]

/** Encodes a report. */
export function encodeReport(report: PeerLoadReport): Buffer {
  const { instance, incarnation, sequence, isWhole } = report
  const entries = report.loads.map(({ endpoint, running, pendingTokens, parts }) => {
    return [endpoint, running, pendingTokens, parts.map(({ id, tokens }) => [id, tokens])]
  })
  return Buffer.from(JSON.stringify([instance, incarnation, sequence, isWhole, entries]))
}

/** Returns undefined if the bytes are not a report. */
export function decodeReport(bytes: Buffer): PeerLoadReport | undefined {
  const report = parseJson(bytes.toString('utf8'))
  if (!isReport(report)) return undefined
  const [instance, incarnation, sequence, isWhole, entries] = report
  const loads = entries.map(([endpoint, running, pendingTokens, parts]) => ({
    endpoint,
    running,
    pendingTokens,
    parts: parts.map(([id, tokens]) => ({ id, tokens })),
  }))
  return { instance, incarnation, sequence, isWhole, loads }
}

// Validated by hand rather than with a schema: an instance of a large fleet receives hundreds of reports a second,
// most of them in its first seconds.
function isReport(value: unknown): value is WireReport {
  if (!isList(value) || value.length !== 5) return false
  const [instance, incarnation, sequence, isWhole, loads] = value
  const isNamed = typeof instance === 'string' && typeof incarnation === 'string'
  return isNamed && isSequence(sequence) && typeof isWhole === 'boolean' && isListOf(loads, isLoad)
}

function isLoad(value: unknown): value is WireLoad {
  if (!isList(value) || value.length !== 4) return false
  const [endpoint, running, pendingTokens, parts] = value
  const isCounted = isAmount(running) && isAmount(pendingTokens)
  return typeof endpoint === 'string' && isCounted && isListOf(parts, isPart)
}

function isPart(value: unknown): value is WirePart {
  if (!isList(value) || value.length !== 2) return false
  return typeof value[0] === 'string' && isAmount(value[1])
}

function isListOf<Item>(
  value: unknown,
  isItem: (item: unknown) => item is Item,
): value is readonly Item[] {
  return isList(value) && value.every(isItem)
}

function isList(value: unknown): value is readonly unknown[] {
  return Array.isArray(value)
}

function isSequence(value: unknown): value is number {
  return typeof value === 'number' && Math.abs(value) <= Number.MAX_SAFE_INTEGER
}

/**
 * Amounts of several instances are added up and subtracted again. Above this one, which no instance reports, a sum
 * would lose the amounts of the others, or become infinite and remain so.
 */
const LARGEST_AMOUNT = 1e12

function isAmount(value: unknown): value is number {
  return typeof value === 'number' && value >= 0 && value <= LARGEST_AMOUNT
}
