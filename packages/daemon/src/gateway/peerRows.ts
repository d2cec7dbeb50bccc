import { randomBelow } from '@rackwalk/shared'
import type { Milliseconds, RandomSource } from '@rackwalk/shared'
import type { MirrorPage, TableMirror } from '@rackwalk/coordination'
import { callPeer } from './peerCall.js'
import type { PlainAnswer } from './platformAdapter.js'

/** Instances give each other the rows that they have heard from the store. */

const ROWS_PATH = '/rows/'
const ANY_ORIGIN = 'http://localhost'

/** Answers a peer's question for the rows of a table. */
export function answerRows(url: string, mirrors: ReadonlyMap<string, TableMirror>): PlainAnswer {
  const { pathname, searchParams } = new URL(url, ANY_ORIGIN)
  const mirror = mirrors.get(decodeURIComponent(pathname.slice(ROWS_PATH.length)))
  if (!pathname.startsWith(ROWS_PATH) || mirror === undefined) return { status: 404 }
  const page = mirror.since(Number(searchParams.get('after') ?? 0))
  return page === undefined ? { status: 503 } : { status: 200, body: page }
}

export interface PeerRowsParts {
  /** Addresses of other instances, the likeliest to answer first or in no order. */
  readonly addresses: () => readonly string[]
  readonly random: RandomSource
  readonly timeoutMilliseconds: Milliseconds
}

/** Asks one other instance, chosen by chance, for newer rows. */
export class PeerRows {
  constructor(private readonly parts: PeerRowsParts) {}

  async ask(table: string, after: number): Promise<MirrorPage | undefined> {
    const addresses = this.parts.addresses()
    const address = addresses[randomBelow(this.parts.random, addresses.length)]
    if (address === undefined) return undefined
    const path = `${ROWS_PATH}${encodeURIComponent(table)}?after=${after}`
    const { timeoutMilliseconds } = this.parts
    const text = await callPeer({ address, path, timeoutMilliseconds })
    return text === undefined ? undefined : parsePage(text)
  }
}

function parsePage(text: string): MirrorPage | undefined {
  try {
    return JSON.parse(text) as MirrorPage
  } catch {
    return undefined
  }
}
