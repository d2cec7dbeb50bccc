/**
 * Instances give each other the rows that they have heard from the store, while it does not answer
 * those who ask. Owns the path and the form of an answer; relies on the mirrors for the rows.
 */

import * as z from 'zod'
import { randomBelow } from '@rackwalk/shared'
import type { Milliseconds, RandomSource } from '@rackwalk/shared'
import type { MirrorPage, TableMirror } from '@rackwalk/coordination'
import { JsonCodec } from '@rackwalk/stores'
import type { MalformedInput } from '../observe/malformedInputLog.js'
import { callPeer } from './peerCall.js'
import type { PlainAnswer } from './platformAdapter.js'

const ROWS_PATH = '/rows/'
const ANY_ORIGIN = 'http://localhost'

const pageSchema = z.object({
  rows: z.array(
    z.object({
      table: z.string(),
      partition: z.string(),
      key: z.string(),
      // A row that was removed has no value.
      value: z.string().optional(),
      version: z.number(),
    }),
  ),
  isWhole: z.boolean(),
  version: z.number(),
  // Earlier versions do not tell it.
  age: z.number().optional(),
})

type PageWire = z.infer<typeof pageSchema>

/** The form of an answer with rows. */
const pageCodec = new JsonCodec<PageWire, MirrorPage>({
  schema: pageSchema,
  toWire: ({ rows, isWhole, version, age }) => ({
    rows: rows.map(row => ({
      table: row.table,
      partition: row.partition,
      key: row.key,
      value: row.value,
      version: row.version,
    })),
    isWhole,
    version,
    age: age === undefined ? undefined : Math.round(age),
  }),
  fromWire: ({ rows, isWhole, version, age }) => ({
    rows: rows.map(row => ({ ...row, value: row.value })),
    isWhole,
    version,
    age,
  }),
})

/** Answers a peer's question for the rows of a table. */
export function handleRowsRequest(
  url: string,
  mirrors: ReadonlyMap<string, TableMirror>,
): PlainAnswer {
  const { pathname, searchParams } = new URL(url, ANY_ORIGIN)
  const mirror = mirrors.get(decodeURIComponent(pathname.slice(ROWS_PATH.length)))
  if (!pathname.startsWith(ROWS_PATH) || mirror === undefined) return { status: 404 }
  const page = mirror.since(Number(searchParams.get('after') ?? 0))
  return page === undefined ? { status: 503 } : { status: 200, json: pageCodec.encode(page) }
}

/** What the questions for rows work with. */
export interface PeerRowClientParts {
  /** Where this instance answers such questions itself. */
  readonly own: string | undefined
  /** Addresses that are asked whether or not an instance is known there. */
  readonly seeds: readonly string[]
  /** Addresses of other instances, in no order; empty texts among them name none. */
  readonly knownAddresses: () => readonly string[]
  /** Addresses of active instances of the own failure domain, in no order. */
  readonly nearAddresses: () => readonly string[]
  readonly random: RandomSource
  readonly timeoutMilliseconds: Milliseconds
  readonly onMalformed: (form: MalformedInput) => void
}

/** One question for rows. */
interface RowsQuery {
  readonly table: string
  /** Rows up to this version are known. */
  readonly after: number
  readonly timeoutMilliseconds: Milliseconds
}

/** Asks other instances for newer rows. */
export class PeerRowClient {
  private askedBefore: string | undefined

  constructor(private readonly parts: PeerRowClientParts) {}

  /**
   * Asks any other instance, chosen at random but for the one that was asked before it: that may be silent. Waits the
   * usual time unless one is named.
   */
  ask(
    table: string,
    after: number,
    timeoutMilliseconds: Milliseconds = this.parts.timeoutMilliseconds,
  ): Promise<MirrorPage | undefined> {
    const { addresses } = this
    const others = addresses.filter(address => address !== this.askedBefore)
    const candidates = others.length > 0 ? others : addresses
    const address = this.choose(candidates)
    this.askedBefore = address
    return this.askAt(address, { table, after, timeoutMilliseconds })
  }

  /** Asks an active instance nearby, chosen at random. */
  askNear(table: string, after: number): Promise<MirrorPage | undefined> {
    const timeoutMilliseconds = this.parts.timeoutMilliseconds
    const address = this.choose(this.parts.nearAddresses())
    return this.askAt(address, { table, after, timeoutMilliseconds })
  }

  private get addresses(): readonly string[] {
    const { own, seeds, knownAddresses } = this.parts
    const all = new Set([...knownAddresses(), ...seeds])
    return [...all].filter(address => address !== own && address !== '')
  }

  private choose(addresses: readonly string[]): string | undefined {
    return addresses[randomBelow(this.parts.random, addresses.length)]
  }

  private async askAt(
    address: string | undefined,
    { table, after, timeoutMilliseconds }: RowsQuery,
  ): Promise<MirrorPage | undefined> {
    if (address === undefined) return undefined
    const path = `${ROWS_PATH}${encodeURIComponent(table)}?after=${after}`
    const text = await callPeer({ address, path, timeoutMilliseconds })
    if (text === undefined) return undefined
    const page = pageCodec.decode(text)
    if (page === undefined) this.parts.onMalformed({ form: 'rows of a peer', source: address })
    return page
  }
}
