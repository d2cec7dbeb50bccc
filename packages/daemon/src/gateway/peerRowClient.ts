/**
 * Lets instances read store rows from each other: while the store does not answer, before rows become too old to
 * serve by, and, on standby, to save calls to the store. Without it, an instance that has lost the store would serve by
 * old rows while its peers have newer ones. Holds both sides of the call: the client, which chooses the peer, and the
 * handler that answers it. Owns the path and the encoding of an answer; relies on the mirrors for the rows.
 */

import { Agent } from 'node:http'
import * as z from 'zod'
import { randomBelow } from '@rackwalk/shared'
import type { Milliseconds, RandomSource } from '@rackwalk/shared'
import type { MirrorPage, TableMirror } from '@rackwalk/coordination'
import { JsonCodec } from '@rackwalk/stores'
import type { MalformedInput } from '../observe/malformedInputLog.js'
import { callPeer } from './peerCall.js'
import type { PlainAnswer } from './platformAdapter.js'

const ROWS_PATH = '/rows/'
/** Connections to one near instance; an instance on standby follows two tables from it. */
const MAXIMUM_CONNECTIONS = 2
/** Base for parsing a request's path as a URL; the host is ignored. */
const ANY_ORIGIN = 'http://localhost'

const pageSchema = z.object({
  rows: z.array(
    z.object({
      table: z.string(),
      partition: z.string(),
      key: z.string(),
      // A removed row has no value.
      value: z.string().optional(),
      version: z.number(),
    }),
  ),
  isWhole: z.boolean(),
  version: z.number(),
  // Age of the rows in milliseconds; earlier versions do not send it.
  age: z.number().optional(),
})

type PageWire = z.infer<typeof pageSchema>

/** Encoding of an answer with rows. */
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

/**
 * Answers a peer's query for the rows of a table: status 404 if the path is of another kind or names a table that this
 * instance does not follow, 503 if this instance has not read the table yet.
 */
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

/** What the client needs. */
export interface PeerRowClientParts {
  /** Address at which this instance itself answers peers; never queried. Undefined if it answers none. */
  readonly own: string | undefined
  /** Addresses to query whether or not an instance is known there. */
  readonly seeds: readonly string[]
  /** Addresses of other instances, in no particular order; an empty string stands for an instance without one. */
  readonly knownAddresses: () => readonly string[]
  /** Addresses of active instances of the same failure domain, in no particular order. */
  readonly nearAddresses: () => readonly string[]
  readonly random: RandomSource
  /** Default timeout of a query. */
  readonly timeoutMilliseconds: Milliseconds
  readonly onMalformed: (input: MalformedInput) => void
}

/** One query for rows. */
interface RowsQuery {
  readonly table: string
  /** Version up to which the rows are known already. */
  readonly after: number
  readonly timeoutMilliseconds: Milliseconds
  /** Keeps connections alive; without it, the query opens its own. */
  readonly agent?: Agent | undefined
}

/** Queries other instances for newer rows. */
export class PeerRowClient {
  /**
   * Keeps the connections to near instances, which a standby instance queries about twice a second. Queries while the
   * store is silent go to random instances over new connections, since a kept one may have failed with the store's.
   */
  private readonly nearAgent = new Agent({ keepAlive: true, maxSockets: MAXIMUM_CONNECTIONS })
  private lastAskedAddress: string | undefined

  constructor(private readonly parts: PeerRowClientParts) {}

  /**
   * Queries a random other instance. Avoids the instance that was queried last, which may be silent, unless no other
   * address is known. Uses the default timeout unless one is given. Resolves to undefined if no address is known or
   * no valid answer arrives in time.
   */
  ask(
    table: string,
    after: number,
    timeoutMilliseconds: Milliseconds = this.parts.timeoutMilliseconds,
  ): Promise<MirrorPage | undefined> {
    const { addresses } = this
    const others = addresses.filter(address => address !== this.lastAskedAddress)
    const candidates = others.length > 0 ? others : addresses
    const address = this.choose(candidates)
    this.lastAskedAddress = address
    return this.askAt(address, { table, after, timeoutMilliseconds })
  }

  /** Queries a random active instance of the same failure domain; resolves to undefined like `ask`. */
  askNear(table: string, after: number): Promise<MirrorPage | undefined> {
    const timeoutMilliseconds = this.parts.timeoutMilliseconds
    const address = this.choose(this.parts.nearAddresses())
    return this.askAt(address, { table, after, timeoutMilliseconds, agent: this.nearAgent })
  }

  /** Closes the kept connections. */
  close(): void {
    this.nearAgent.destroy()
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
    { table, after, timeoutMilliseconds, agent }: RowsQuery,
  ): Promise<MirrorPage | undefined> {
    if (address === undefined) return undefined
    const path = `${ROWS_PATH}${encodeURIComponent(table)}?after=${after}`
    const text = await callPeer({ address, path, timeoutMilliseconds, agent })
    if (text === undefined) return undefined
    const page = pageCodec.decode(text)
    if (page === undefined) this.parts.onMalformed({ form: 'rows of a peer', source: address })
    return page
  }
}
