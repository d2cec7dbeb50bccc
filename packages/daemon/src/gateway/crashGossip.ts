/**
 * The encoding of crash gossip (messages between instances about endpoint crashes and the requests and prompt parts
 * that cause them) as datagrams. Each message is encoded as an outdated load report (sequence 0), so that instances of
 * earlier versions, which do not know the message, drop it. A start in a message is one run of an endpoint. Owns
 * nothing.
 */

import type { CrashMark, CrashGossip } from '@rackwalk/decisions'
import { asId } from '@rackwalk/shared'
import type { PromptPartKey } from '@rackwalk/shared'
import type { PeerLoadReport } from '@rackwalk/router'

/** Sequence of all gossip reports; no load report has it, since load reports count from 1. */
const GOSSIP_SEQUENCE = 0
/** Prefixes of an entry's endpoint field; they cannot clash with an endpoint id, since no id contains a space. */
const CRASHED_PREFIX = 'ended '
const SUSPECTED_PREFIX = 'suspected '
const CLEARED_PREFIX = 'cleared '
const UNRESPONSIVE_PREFIX = 'away '
const ALIVE_PREFIX = 'lives '
const PART_CRASH_PREFIX = 'part-ended '
const REFUSED_PARTS_ENTRY = 'parts deadly'
const CLEARED_PARTS_ENTRY = 'parts sound'
const TRIAL_PARTS_ENTRY = 'parts tried'
/** Maximum number of prompt parts in one entry; a prompt with more takes several entries. */
export const PARTS_PER_ENTRY = 8
/**
 * Maximum number of entries in one datagram, where each part of an entry beyond the first counts as an entry as well.
 * With ids of 40 characters, such a datagram stays under 1,300 bytes. An entry with more parts than this is sent in a
 * datagram of its own, which may be larger.
 */
const ENTRIES_PER_DATAGRAM = 12

/** One gossip message, in the form of a load entry. */
export type GossipEntry = PeerLoadReport['loads'][number]

/** Whether a report carries gossip rather than load. */
export function isGossip({ sequence }: PeerLoadReport): boolean {
  return sequence === GOSSIP_SEQUENCE
}

/** Encodes crash gossip as reports. */
export function encodeCrashGossip(
  gossip: CrashGossip,
  identity: Pick<PeerLoadReport, 'instance' | 'incarnation'>,
): readonly PeerLoadReport[] {
  const away = (gossip.away ?? []).map(start => startEntry(UNRESPONSIVE_PREFIX, start))
  const lives = (gossip.lives ?? []).map(start => startEntry(ALIVE_PREFIX, start))
  const suspected = (gossip.suspected ?? []).map(mark => markEntry(SUSPECTED_PREFIX, mark))
  const marks = gossip.marks.map(mark => markEntry(CRASHED_PREFIX, mark))
  const parts = partEntries(gossip)
  const cleared = gossip.cleared.map(clearedEntry)
  const entries = [...marks, ...suspected, ...cleared, ...away, ...lives, ...parts]
  return gossipReports(entries, identity)
}

/** Builds gossip reports, each small enough for one datagram. */
export function gossipReports(
  entries: readonly GossipEntry[],
  identity: Pick<PeerLoadReport, 'instance' | 'incarnation'>,
): readonly PeerLoadReport[] {
  return datagramsOf(entries).map(loads => {
    return { ...identity, sequence: GOSSIP_SEQUENCE, isWhole: false, loads }
  })
}

function datagramsOf(entries: readonly GossipEntry[]): readonly (readonly GossipEntry[])[] {
  const datagrams: GossipEntry[][] = []
  let room = 0
  for (const entry of entries) {
    const weight = Math.max(1, entry.parts.length)
    if (weight > room) {
      datagrams.push([])
      room = ENTRIES_PER_DATAGRAM
    }
    datagrams.at(-1)?.push(entry)
    room -= weight
  }
  return datagrams
}

/** Decodes crash gossip; entries of other kinds are ignored. */
export function decodeCrashGossip({ loads }: PeerLoadReport): CrashGossip {
  const away = loads.flatMap(({ endpoint }) => startsOf(UNRESPONSIVE_PREFIX, endpoint))
  const lives = loads.flatMap(({ endpoint }) => startsOf(ALIVE_PREFIX, endpoint))
  const suspected = loads.flatMap(entry => marksOf(SUSPECTED_PREFIX, entry))
  return {
    ...(away.length === 0 ? {} : { away }),
    ...(lives.length === 0 ? {} : { lives }),
    ...(suspected.length === 0 ? {} : { suspected }),
    ...partGossipOf(loads),
    marks: loads.flatMap(entry => marksOf(CRASHED_PREFIX, entry)),
    cleared: loads.flatMap(({ endpoint, parts }) => {
      if (!endpoint.startsWith(CLEARED_PREFIX)) return []
      const fingerprint = endpoint.slice(CLEARED_PREFIX.length)
      return [{ fingerprint: asId(fingerprint), starts: parts.map(({ id }) => asId(id)) }]
    }),
  }
}

function partEntries(gossip: CrashGossip): readonly GossipEntry[] {
  const { partEnds = [], deadlyParts = [], soundParts = [], triedParts = [] } = gossip
  return [
    ...partEnds.flatMap(({ start, parts, wasIsolated = false, ageMilliseconds }) =>
      keyEntries(`${PART_CRASH_PREFIX}${start}`, parts, {
        running: Number(wasIsolated),
        pendingTokens: Math.round(ageMilliseconds),
      }),
    ),
    ...keyEntries(REFUSED_PARTS_ENTRY, deadlyParts),
    ...keyEntries(CLEARED_PARTS_ENTRY, soundParts),
    ...keyEntries(TRIAL_PARTS_ENTRY, triedParts),
  ]
}

/**
 * Encodes prompt part keys. Whether the request was sent as a suspect one is stored in the `running` field of the
 * load entry, and the age in `pendingTokens`.
 */
function keyEntries(
  endpoint: string,
  keys: readonly PromptPartKey[],
  load: Pick<GossipEntry, 'running' | 'pendingTokens'> = { running: 0, pendingTokens: 0 },
): readonly GossipEntry[] {
  const entries: GossipEntry[] = []
  for (let from = 0; from < keys.length; from += PARTS_PER_ENTRY) {
    const parts = keys.slice(from, from + PARTS_PER_ENTRY).map(id => ({ id, tokens: 0 }))
    entries.push({ endpoint, ...load, parts })
  }
  return entries
}

function partGossipOf(loads: PeerLoadReport['loads']): Partial<CrashGossip> {
  const partEnds = loads.flatMap(({ endpoint, running, pendingTokens, parts }) =>
    startsOf(PART_CRASH_PREFIX, endpoint).map(start => {
      const wasIsolated = running > 0
      return { start, parts: keysOf(parts), wasIsolated, ageMilliseconds: pendingTokens }
    }),
  )
  const keysNamed = (name: string) =>
    loads.flatMap(({ endpoint, parts }) => (endpoint === name ? keysOf(parts) : []))
  const deadlyParts = keysNamed(REFUSED_PARTS_ENTRY)
  const soundParts = keysNamed(CLEARED_PARTS_ENTRY)
  const triedParts = keysNamed(TRIAL_PARTS_ENTRY)
  return {
    ...(partEnds.length === 0 ? {} : { partEnds }),
    ...(deadlyParts.length === 0 ? {} : { deadlyParts }),
    ...(soundParts.length === 0 ? {} : { soundParts }),
    ...(triedParts.length === 0 ? {} : { triedParts }),
  }
}

function keysOf(parts: GossipEntry['parts']): readonly PromptPartKey[] {
  return parts.map(({ id }) => asId<PromptPartKey>(id))
}

function startEntry(prefix: string, start: CrashMark['start']): GossipEntry {
  return { endpoint: `${prefix}${start}`, running: 0, pendingTokens: 0, parts: [] }
}

function startsOf(prefix: string, name: string): readonly CrashMark['start'][] {
  return name.startsWith(prefix) ? [asId(name.slice(prefix.length))] : []
}

function markEntry(prefix: string, { fingerprint, start, wasIsolated }: CrashMark): GossipEntry {
  const parts = [{ id: fingerprint, tokens: Number(wasIsolated) }]
  return { endpoint: `${prefix}${start}`, running: 0, pendingTokens: 0, parts }
}

function clearedEntry({ fingerprint, starts }: CrashGossip['cleared'][number]): GossipEntry {
  const parts = starts.map(start => ({ id: start, tokens: 0 }))
  return { endpoint: `${CLEARED_PREFIX}${fingerprint}`, running: 0, pendingTokens: 0, parts }
}

function marksOf(prefix: string, { endpoint, parts }: GossipEntry): readonly CrashMark[] {
  if (!endpoint.startsWith(prefix)) return []
  const start = asId<CrashMark['start']>(endpoint.slice(prefix.length))
  return parts.map(({ id, tokens }) => ({ fingerprint: asId(id), start, wasIsolated: tokens > 0 }))
}
