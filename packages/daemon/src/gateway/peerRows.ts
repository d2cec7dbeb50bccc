import { get } from 'node:http'
import { randomBelow } from '@rackwalk/shared'
import type { Milliseconds, RandomSource } from '@rackwalk/shared'
import type { MirrorPage, TableMirror } from '@rackwalk/coordination'
import type { PlainAnswer } from './platformAdapter.js'

/** Instances give each other the rows that they have heard from the store. */

const ROWS_PATH = '/rows/'
const ANY_ORIGIN = 'http://localhost'
const LONGEST_ANSWER_BYTES = 8 * 1024 * 1024

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
    const url = `http://${address}${ROWS_PATH}${encodeURIComponent(table)}?after=${after}`
    const text = await this.fetch(url)
    return text === undefined ? undefined : parsePage(text)
  }

  private fetch(url: string): Promise<string | undefined> {
    return new Promise(resolve => {
      const call = get(url, { agent: false }, response => {
        const chunks: Buffer[] = []
        let size = 0
        response.on('data', (chunk: Buffer) => {
          size += chunk.length
          if (size > LONGEST_ANSWER_BYTES) call.destroy()
          chunks.push(chunk)
        })
        response.on('error', () => finish(undefined))
        response.on('end', () => {
          const isWhole = response.statusCode === 200 && response.complete
          finish(isWhole ? Buffer.concat(chunks).toString('utf8') : undefined)
        })
      })
      const timer = setTimeout(() => call.destroy(), this.parts.timeoutMilliseconds)
      const finish = (text: string | undefined) => {
        clearTimeout(timer)
        resolve(text)
      }
      call.on('error', () => finish(undefined))
      call.on('close', () => finish(undefined))
    })
  }
}

function parsePage(text: string): MirrorPage | undefined {
  try {
    return JSON.parse(text) as MirrorPage
  } catch {
    return undefined
  }
}
