/**
 * Gossip about the origins of streams (the service and endpoint software version that began each), about the versions
 * that serve and about the records of versions that were written, as datagrams between instances. The messages are encoded like crash gossip: as outdated load
 * reports, which earlier versions drop. Owns nothing.
 */

import type { WrittenRecord } from '@rackwalk/coordination'
import { asId, groupBy } from '@rackwalk/shared'
import type { SoftwareVersion } from '@rackwalk/shared'
import { parseJson } from '@rackwalk/stores'
import type { StreamOrigin } from '@rackwalk/decisions'
import type { StartedStream, PeerLoadReport, StreamGossip } from '@rackwalk/router'
import { PARTS_PER_ENTRY, gossipReports } from './crashGossip.js'
import type { GossipEntry } from './crashGossip.js'

/** Prefixes of an entry's endpoint field; they cannot clash with an endpoint id, since no id contains a space. */
const BEGUN_PREFIX = 'streams begun at '
const SERVES_PREFIX = 'version serves '
const RECORD_PREFIX = 'versions recorded '

/** Maximum length of a told record, so that a datagram stays small; a longer one is read from the store. */
const LONGEST_RECORD_TEXT = 1_000

type Identity = Pick<PeerLoadReport, 'instance' | 'incarnation'>

/** Encodes the origins of streams as gossip reports. */
export function encodeStreamStarts(
  begun: readonly StartedStream[],
  identity: Identity,
): readonly PeerLoadReport[] {
  const byOrigin = groupBy(begun, ({ origin }) => originText(origin))
  return gossipReports(
    [...byOrigin].flatMap(([origin, streams]) => begunEntries(origin, streams)),
    identity,
  )
}

/** Encodes the versions that serve as gossip reports. */
export function encodeVersionGossip(
  versions: readonly StreamOrigin[],
  identity: Identity,
): readonly PeerLoadReport[] {
  return gossipReports(
    versions.map(origin => entry(`${SERVES_PREFIX}${originText(origin)}`)),
    identity,
  )
}

/** Encodes records that were written as gossip reports, one each; long ones are left out. */
export function encodeRecordGossip(
  records: readonly WrittenRecord[],
  identity: Identity,
): readonly PeerLoadReport[] {
  return records.flatMap(({ service, version, value }) => {
    const text = JSON.stringify([service, version, value])
    if (text.length > LONGEST_RECORD_TEXT) return []
    return gossipReports([entry(`${RECORD_PREFIX}${text}`)], identity)
  })
}

/** Decodes the records that were written; entries of other kinds are ignored. */
export function decodeRecordGossip({ loads }: PeerLoadReport): readonly WrittenRecord[] {
  return loads.flatMap(({ endpoint }) => {
    if (!endpoint.startsWith(RECORD_PREFIX)) return []
    const parsed = parseJson(endpoint.slice(RECORD_PREFIX.length))
    if (!Array.isArray(parsed)) return []
    const [service, version, value] = parsed as readonly unknown[]
    if (typeof service !== 'string' || typeof value !== 'string') return []
    if (typeof version !== 'number' || !Number.isSafeInteger(version)) return []
    return [{ service, version, value }]
  })
}

/** Decodes stream gossip; entries of other kinds are ignored. */
export function decodeStreamGossip({ loads }: PeerLoadReport): StreamGossip {
  return {
    begun: loads.flatMap(({ endpoint, parts }) => {
      const origin = originAfter(BEGUN_PREFIX, endpoint)
      if (origin === undefined) return []
      return parts.map(({ id, tokens }) => ({
        key: asId(id),
        origin,
        lifetimeMilliseconds: tokens,
      }))
    }),
    versions: loads.flatMap(({ endpoint }) => originAfter(SERVES_PREFIX, endpoint) ?? []),
  }
}

/** Stores the lifetime of each stream in the `tokens` field of a part. */
function begunEntries(origin: string, streams: readonly StartedStream[]): readonly GossipEntry[] {
  const entries: GossipEntry[] = []
  for (let from = 0; from < streams.length; from += PARTS_PER_ENTRY) {
    const parts = streams.slice(from, from + PARTS_PER_ENTRY).map(stream => {
      return { id: stream.key, tokens: Math.round(stream.lifetimeMilliseconds) }
    })
    entries.push({ ...entry(`${BEGUN_PREFIX}${origin}`), parts })
  }
  return entries
}

function entry(endpoint: string): GossipEntry {
  return { endpoint, running: 0, pendingTokens: 0, parts: [] }
}

function originText({ service, softwareVersion }: StreamOrigin): string {
  return JSON.stringify([service, softwareVersion])
}

function originAfter(prefix: string, text: string): StreamOrigin | undefined {
  if (!text.startsWith(prefix)) return undefined
  const parsed = parseJson(text.slice(prefix.length))
  if (!Array.isArray(parsed)) return undefined
  const [service, softwareVersion] = parsed as readonly unknown[]
  if (typeof service !== 'string' || typeof softwareVersion !== 'string') return undefined
  return { service, softwareVersion: asId<SoftwareVersion>(softwareVersion) }
}
