/**
 * The row in which an instance of the gateway kind tells the others of itself, and its stored
 * form. Each instance writes its own row alone; all lie in one partition.
 */

import * as z from 'zod'
import type { Milliseconds } from '@rackwalk/shared'
import { JsonCodec } from '@rackwalk/stores'

/** Table of the rows. */
export const MEMBER_TABLE = 'members'
/** Partition of the rows; one for all, so that one read gives the fleet. */
export const MEMBER_PARTITION = ''

/** Whether an instance takes callers or is about to end. */
export type MemberState = 'serving' | 'draining'

/** What an instance tells the others; it is written anew with each heartbeat. */
export interface MemberRow {
  readonly instance: string
  readonly incarnation: string
  readonly region: string
  readonly failureDomain: string
  /** IP:PORT for callers. */
  readonly callerAddress: string
  /** IP:PORT for peers; empty where the instance takes no calls from peers. */
  readonly peerAddress: string
  /** IP:PORT for datagrams about load; empty where the instance takes none. */
  readonly loadAddress: string
  /** Requests a second that the instance can serve, by its settings. */
  readonly capacity: number
  /** Requests a second that it took when the row was written. */
  readonly requestsPerSecond: number
  readonly state: MemberState
  /** Counts the writes of this incarnation. */
  readonly heartbeat: number
  /** Time until the next write; silence means nothing before it has passed. */
  readonly renewalMilliseconds: Milliseconds
  /** Whether it serves requests that other instances hand to its address for peers; earlier versions do not say. */
  readonly takesRelays?: boolean | undefined
}

const memberSchema = z.object({
  instance: z.string(),
  incarnation: z.string(),
  region: z.string(),
  failureDomain: z.string(),
  callerAddress: z.string(),
  peerAddress: z.string(),
  loadAddress: z.string(),
  capacity: z.number(),
  requestsPerSecond: z.number(),
  state: z.enum(['serving', 'draining']),
  heartbeat: z.number(),
  renewalMilliseconds: z.number(),
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
  // The names in the store are those of the type at present.
  fromWire: wire => wire,
})
