/**
 * Gossip about the origins of streams (the service and endpoint software version that began each) and about the
 * versions that serve, as datagrams between instances. The messages are encoded like crash gossip: as outdated load
 * reports, which earlier versions drop. Owns nothing.
 */

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
