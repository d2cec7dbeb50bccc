/**
 * Questions between instances for the records of software versions, over the listener for peers. An instance that has lost
 * the store resumes streams by what a peer reads for it: the peer reads from the store after it was asked and does not
 * answer from memory, since it may be out of step itself. An instance that starts without the store also asks for the
 * records that a peer remembers, which tell at which versions streams may begin. Owns the paths, the encodings of the
 * messages and the connections to peers.
 */

import { Agent } from 'node:http'
import * as z from 'zod'
import { SharedRead } from '@rackwalk/coordination'
import type { MemberRow, WrittenRecord } from '@rackwalk/coordination'
import { rankOriginReplicas } from '@rackwalk/decisions'
import type { ServiceHistory } from '@rackwalk/decisions'
import { asId } from '@rackwalk/shared'
import type { Clock, Milliseconds } from '@rackwalk/shared'
import { JsonCodec } from '@rackwalk/stores'
import type { MalformedInput } from '../observe/malformedInputLog.js'
import { firstDefined } from './outcomes.js'
import { callPeer } from './peerCall.js'
import type { PlainAnswer } from './platformAdapter.js'

const RECORD_PATH = '/streams/record'
const KNOWN_RECORDS_PATH = '/streams/known-records'
/** Timeout of one question; the peer's call to the store is part of it. */
const ANSWER_MILLISECONDS: Milliseconds = 250
/** Number of peers that are asked at once: one of them may be out of contact as well. */
const PEERS_PER_QUESTION = 2
/** Least time between two questions for the same record; all streams that wait share a question. */
const QUESTION_GAP_MILLISECONDS: Milliseconds = 25
/** Connections to one peer. */
const MAXIMUM_CONNECTIONS = 4

const questionSchema = z.object({ service: z.string() })

const questionCodec = new JsonCodec<z.infer<typeof questionSchema>, { readonly service: string }>({
  schema: questionSchema,
  toWire: ({ service }) => ({ service }),
  fromWire: ({ service }) => ({ service }),
})

const answerSchema = z.object({
  /** Absent if the service has no record. */
  record: z
    .object({
      knownForMilliseconds: z.number(),
      versions: z.array(z.object({ softwareVersion: z.string(), seenAgoMilliseconds: z.number() })),
    })
    .optional(),
})

/** What a peer has read: the history of one service, undefined if the service has no record. */
export interface PeerRecord {
  readonly history: Omit<ServiceHistory, 'service'> | undefined
}

const answerCodec = new JsonCodec<z.infer<typeof answerSchema>, PeerRecord>({
  schema: answerSchema,
  toWire: ({ history }) => {
    if (history === undefined) return {}
    const { knownForMilliseconds, versions } = history
    return {
      record: {
        knownForMilliseconds: Math.floor(knownForMilliseconds),
        versions: versions.map(({ softwareVersion, seenAgoMilliseconds }) => {
          return { softwareVersion, seenAgoMilliseconds: Math.floor(seenAgoMilliseconds) }
        }),
      },
    }
  },
  fromWire: ({ record }) => ({
    history: record && {
      knownForMilliseconds: record.knownForMilliseconds,
      versions: record.versions.map(({ softwareVersion, seenAgoMilliseconds }) => {
        return { softwareVersion: asId(softwareVersion), seenAgoMilliseconds }
      }),
    },
  }),
})

const knownRecordsSchema = z.object({
  records: z.array(z.object({ service: z.string(), value: z.string(), version: z.number() })),
})

const knownRecordsCodec = new JsonCodec<
  z.infer<typeof knownRecordsSchema>,
  readonly WrittenRecord[]
>({
  schema: knownRecordsSchema,
  toWire: records => ({
    records: records.map(({ service, value, version }) => ({ service, value, version })),
  }),
  fromWire: ({ records }) => records,
})

/** The records of versions as one instance can tell them. */
export interface RecordSource {
  /** Reads the records from the store, beginning after the call; undefined if the store does not answer. */
  readonly readRecords: () => Promise<ReadonlyMap<string, ServiceHistory> | undefined>
  /** The newest records that the instance knows. */
  readonly knownRecords: readonly WrittenRecord[]
}

/** Answers a peer's question for records; undefined if the path is another one. */
export async function handleRecordRequest(
  path: string,
  body: string,
  source: RecordSource,
): Promise<PlainAnswer | undefined> {
  if (path === KNOWN_RECORDS_PATH) {
    return { status: 200, json: knownRecordsCodec.encode(source.knownRecords) }
  }
  if (path !== RECORD_PATH) return undefined
  const question = questionCodec.decode(body)
  if (question === undefined) return { status: 400 }
  const records = await source.readRecords()
  if (records === undefined) return { status: 503 }
  return { status: 200, json: answerCodec.encode({ history: records.get(question.service) }) }
}

/** What the client needs. */
export interface VersionRecordClientParts {
  readonly clock: Clock
  /** Other instances that are not silent. */
  readonly others: () => readonly MemberRow[]
  readonly onMalformed: (input: MalformedInput) => void
}

/** Asks other instances for the records of services. */
export class VersionRecordClient {
  private readonly agent = new Agent({ keepAlive: true, maxSockets: MAXIMUM_CONNECTIONS })
  private readonly reads = new Map<string, SharedRead<PeerRecord | undefined>>()

  constructor(private readonly parts: VersionRecordClientParts) {}

  /** Returns the first record that a peer has read from the store after this call; undefined if none could. */
  read(service: string): Promise<PeerRecord | undefined> {
    const { clock } = this.parts
    const ask = () => this.ask(service)
    const reads =
      this.reads.get(service) ?? new SharedRead(clock, () => QUESTION_GAP_MILLISECONDS, ask)
    this.reads.set(service, reads)
    return reads.begin()
  }

  private async ask(service: string): Promise<PeerRecord | undefined> {
    const body = questionCodec.encode({ service })
    return this.askPeers(service, {
      path: RECORD_PATH,
      body,
      decode: text => answerCodec.decode(text),
    })
  }

  /** Returns the records that a peer remembers; empty if none answers. */
  async knownRecords(): Promise<readonly WrittenRecord[]> {
    const decode = (text: string) => knownRecordsCodec.decode(text)
    return (await this.askPeers('', { path: KNOWN_RECORDS_PATH, body: '', decode })) ?? []
  }

  close(): void {
    this.agent.destroy()
  }

  /** Returns the first answer of the peers that the key ranks first. */
  private async askPeers<Answer>(
    key: string,
    question: RecordQuestion<Answer>,
  ): Promise<Answer | undefined> {
    const reachable = this.parts.others().filter(({ peerAddress }) => peerAddress !== '')
    const peers = rankOriginReplicas(key, reachable).slice(0, PEERS_PER_QUESTION)
    return firstDefined(peers.map(peer => this.askPeer(peer, question)))
  }

  private async askPeer<Answer>(
    { instance, peerAddress: address }: MemberRow,
    { path, body, decode }: RecordQuestion<Answer>,
  ): Promise<Answer | undefined> {
    const { agent } = this
    const timeoutMilliseconds = ANSWER_MILLISECONDS
    const text = await callPeer({ address, path, body, agent, timeoutMilliseconds })
    if (text === undefined) return undefined
    const answer = decode(text)
    if (answer === undefined) {
      this.parts.onMalformed({ form: 'record of versions', source: instance })
    }
    return answer
  }
}

interface RecordQuestion<Answer> {
  readonly path: string
  readonly body: string
  readonly decode: (text: string) => Answer | undefined
}
