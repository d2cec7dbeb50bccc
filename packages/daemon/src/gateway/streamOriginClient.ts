/**
 * Queries between instances for the origin of a stream (the service and endpoint software version that began it), over
 * the listener for peers. The first queries go to the replicas, the instances that are chosen to keep the origin. If no
 * replica knows it, further instances are queried. Owns the path, the encodings of the messages and the connections to
 * peers.
 */

import { Agent } from 'node:http'
import * as z from 'zod'
import { MINIMUM_ORIGIN_REPLICAS, rankOriginReplicas } from '@rackwalk/decisions'
import type { MemberRow } from '@rackwalk/coordination'
import { asId } from '@rackwalk/shared'
import type { Milliseconds, StreamKey } from '@rackwalk/shared'
import { JsonCodec } from '@rackwalk/stores'
import type { OriginAnswer, ResumedStream, StreamOrigins } from '@rackwalk/router'
import type { MalformedInput } from '../observe/malformedInputLog.js'
import { callPeer } from './peerCall.js'
import type { PlainAnswer } from './platformAdapter.js'

const ORIGIN_PATH = '/streams/origin'
/** Timeout of one query; a caller waits for two rounds of queries at most, which run in parallel within a round. */
const ANSWER_MILLISECONDS: Milliseconds = 90
/**
 * Number of further instances that are queried after the replicas: the instance that served the stream may be among
 * them.
 */
const FALLBACK_PEERS = 12
/** Connections to one peer. */
const MAXIMUM_CONNECTIONS = 4

const questionSchema = z.strictObject({ key: z.string().optional(), service: z.string() })

const questionCodec = new JsonCodec<z.infer<typeof questionSchema>, ResumedStream>({
  schema: questionSchema,
  toWire: ({ key, service }) => ({ key, service }),
  fromWire: ({ key, service }) => ({
    key: key === undefined ? undefined : asId<StreamKey>(key),
    service,
  }),
})

const answerSchema = z.object({
  origins: z.array(z.object({ service: z.string(), softwareVersion: z.string() })),
  versions: z.array(z.string()),
  /** Earlier releases omit it: they do not tell for how long they know the service. */
  knownForMilliseconds: z.number().default(0),
})

const answerCodec = new JsonCodec<z.infer<typeof answerSchema>, OriginAnswer>({
  schema: answerSchema,
  toWire: ({ origins, versions, knownForMilliseconds }) => ({
    origins: origins.map(({ service, softwareVersion }) => ({ service, softwareVersion })),
    versions: [...versions],
    knownForMilliseconds: Math.floor(knownForMilliseconds),
  }),
  fromWire: ({ origins, versions, knownForMilliseconds }) => ({
    origins: origins.map(({ service, softwareVersion }) => {
      return { service, softwareVersion: asId(softwareVersion) }
    }),
    versions: versions.map(version => asId(version)),
    knownForMilliseconds,
  }),
})

/** Answers a peer's query for the origin of a stream; undefined if the path is another one. */
export function handleOriginRequest(
  path: string,
  body: string,
  streams: StreamOrigins,
): PlainAnswer | undefined {
  if (path !== ORIGIN_PATH) return undefined
  const question = questionCodec.decode(body)
  if (question === undefined) return { status: 400 }
  return { status: 200, json: answerCodec.encode(streams.answer(question)) }
}

/** What the client needs. */
export interface StreamOriginClientParts {
  /** Other instances that are not silent. */
  readonly others: () => readonly MemberRow[]
  /** Timeout of one query; `ANSWER_MILLISECONDS` if absent. */
  readonly timeoutMilliseconds?: Milliseconds
  readonly onMalformed: (input: MalformedInput) => void
}

/** Queries other instances for the origins of streams. */
export class StreamOriginClient {
  private readonly agent = new Agent({ keepAlive: true, maxSockets: MAXIMUM_CONNECTIONS })

  constructor(private readonly parts: StreamOriginClientParts) {}

  /** Returns what the queried instances know of a stream; those that do not answer in time are left out. */
  async ask(stream: ResumedStream): Promise<readonly OriginAnswer[]> {
    const reachable = this.parts.others().filter(({ peerAddress }) => peerAddress !== '')
    const others = rankOriginReplicas(stream.key ?? '', reachable)
    const replicaAnswers = await this.askAll(others.slice(0, MINIMUM_ORIGIN_REPLICAS), stream)
    if (replicaAnswers.some(({ origins }) => origins.length > 0)) return replicaAnswers
    const fallbackPeers = others.slice(
      MINIMUM_ORIGIN_REPLICAS,
      MINIMUM_ORIGIN_REPLICAS + FALLBACK_PEERS,
    )
    return [...replicaAnswers, ...(await this.askAll(fallbackPeers, stream))]
  }

  close(): void {
    this.agent.destroy()
  }

  private async askAll(
    peers: readonly MemberRow[],
    stream: ResumedStream,
  ): Promise<readonly OriginAnswer[]> {
    const answers = await Promise.all(peers.map(peer => this.askOne(peer, stream)))
    return answers.flatMap(answer => answer ?? [])
  }

  private async askOne(
    { instance, peerAddress: address }: MemberRow,
    stream: ResumedStream,
  ): Promise<OriginAnswer | undefined> {
    const text = await callPeer({
      address,
      path: ORIGIN_PATH,
      body: questionCodec.encode(stream),
      agent: this.agent,
      timeoutMilliseconds: this.parts.timeoutMilliseconds ?? ANSWER_MILLISECONDS,
    })
    if (text === undefined) return undefined
    const answer = answerCodec.decode(text)
    if (answer === undefined) {
      this.parts.onMalformed({ form: 'origin of a stream', source: instance })
    }
    return answer
  }
}
