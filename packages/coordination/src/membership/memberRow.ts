/**
 * The row with which an instance of a gateway fleet announces itself, and its stored form. Each
 * instance announces only itself; all rows are in one partition.
 */

import * as z from 'zod'
import { isSocketAddress } from '@rackwalk/shared'
import type { Milliseconds } from '@rackwalk/shared'
import { JsonCodec } from '@rackwalk/stores'

/** Table of the rows. */
export const MEMBER_TABLE = 'members'
/** Partition of the rows; a single one, so that one read returns the whole fleet. */
export const MEMBER_PARTITION = ''

/** Whether an instance accepts callers or is about to terminate. */
export type MemberState = 'serving' | 'draining'

/** An instance's announcement, rewritten with each heartbeat. */
export interface MemberRow {
  readonly instance: string
  /** Id of this run of the instance's process. */
  readonly incarnation: string
  readonly region: string
  readonly failureDomain: string
  /** IP:PORT for callers. */
  readonly callerAddress: string
  /** IP:PORT for peers; empty if the instance accepts no calls from peers. */
  readonly peerAddress: string
  /** IP:PORT for load datagrams; empty if the instance accepts none. */
  readonly loadAddress: string
  /** Requests per second that the instance can serve according to its settings. */
  readonly capacity: number
  /** Requests per second that it received when the row was written. */
  readonly requestsPerSecond: number
  readonly state: MemberState
  /** Counts the writes of this incarnation. */
  readonly heartbeat: number
  /**
   * Mean time until the next write. The time without a change after which other instances treat
   * this one as silent is proportional to it.
   */
  readonly renewalMilliseconds: Milliseconds
  /**
   * Whether the instance serves requests that peers relay to its peer address; earlier software
   * versions omit the field.
   */
  readonly takesRelays?: boolean | undefined
}

/**
 * Largest rate of requests per second that a row may contain; no instance comes near it. Sums over
 * the rows of a fleet stay exact below it.
 */
const LARGEST_RATE = 1e9
/** Longest time between two writes of a row; the row of a terminated instance is trusted longer. */
const LONGEST_RENEWAL_MILLISECONDS: Milliseconds = 24 * 3_600_000

const address = z.string().refine(isSocketAddress)
const optionalAddress = z.string().refine(text => text === '' || isSocketAddress(text))
const rate = z.number().nonnegative().max(LARGEST_RATE)

const memberSchema = z.object({
  instance: z.string(),
  incarnation: z.string(),
  region: z.string(),
  failureDomain: z.string(),
  callerAddress: address,
  peerAddress: optionalAddress,
  loadAddress: optionalAddress,
  capacity: rate,
  requestsPerSecond: rate,
  state: z.enum(['serving', 'draining']),
  heartbeat: z.number(),
  renewalMilliseconds: z.number().positive().max(LONGEST_RENEWAL_MILLISECONDS),
  takesRelays: z.boolean().optional(),
})

type MemberWire = z.infer<typeof memberSchema>

function toWire(row: MemberRow): MemberWire {
  return {
    instance: row.instance,
    incarnation: row.incarnation,
    region: row.region,
    failureDomain: row.failureDomain,
    callerAddress: row.callerAddress,
    peerAddress: row.peerAddress,
    loadAddress: row.loadAddress,
    capacity: row.capacity,
    requestsPerSecond: row.requestsPerSecond,
    state: row.state,
    heartbeat: row.heartbeat,
    renewalMilliseconds: row.renewalMilliseconds,
    ...(row.takesRelays === undefined ? {} : { takesRelays: row.takesRelays }),
  }
}

/** The stored form of a member's row. */
export const memberRowCodec = new JsonCodec<MemberWire, MemberRow>({
  schema: memberSchema,
  toWire,
  // The stored fields currently have the same names as those of the type.
  fromWire: wire => wire,
})
