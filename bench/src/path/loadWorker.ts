/**
 * Runs the platform, the engines, the service and the callers of the path bench in a worker thread,
 * so that the main thread's processor time is that of the request path alone.
 */

import { parentPort } from 'node:worker_threads'
import { EngineStandIn, LocalPlatform, ServiceStandIn, streamChat } from '@rackwalk/stand-ins'
import type { ListedInstance } from '@rackwalk/stores'
import { Durations } from '../percentile.js'

/** Requests that the main thread sends to the worker. */
export type WorkerRequest =
  | { readonly kind: 'start'; readonly engines: number; readonly tokenMilliseconds: number }
  | { readonly kind: 'publish'; readonly instances: readonly ListedInstance[] }
  | { readonly kind: 'load'; readonly load: Load }

/** A load: `streams` concurrent callers that send `requests` requests between them. */
export interface Load {
  readonly addresses: readonly string[]
  readonly streams: number
  readonly requests: number
  readonly tokens: number
}

/** Addresses and ports at which the worker's servers listen. */
export interface StartedPorts {
  readonly tableUrl: string
  readonly objectUrl: string
  readonly engines: readonly number[]
  readonly service: number
}

/** Results of a load. Times in milliseconds. */
export interface LoadResult {
  /** Number of answers that were received to the end. */
  readonly completeAnswers: number
  /** Median time from the start of a request to the end of its answer. */
  readonly totalMedian: number
}

const platform = new LocalPlatform()

async function handle(request: WorkerRequest): Promise<unknown> {
  switch (request.kind) {
    case 'start':
      return start(request.engines, request.tokenMilliseconds)
    case 'publish':
      return platform.publishInstances(request.instances)
    case 'load':
      return run(request.load)
  }
}

async function start(engines: number, tokenMilliseconds: number): Promise<StartedPorts> {
  await platform.start()
  const options = { tokenMilliseconds, slots: 1_024, prefillTokensPerSecond: 10_000_000 }
  const ports = await Promise.all(
    Array.from({ length: engines }, () => new EngineStandIn(options).listen()),
  )
  const service = await new ServiceStandIn('echo').listen()
  return { tableUrl: platform.tableUrl, objectUrl: platform.objectUrl, engines: ports, service }
}

async function run(load: Load): Promise<LoadResult> {
  const total = new Durations()
  let started = 0
  let completeAnswers = 0
  const caller = async () => {
    while (started < load.requests) {
      const number = started++
      const address = load.addresses[number % load.addresses.length] as string
      const answer = await streamChat(address, { word: 'w', tokens: load.tokens })
      if (answer.isWhole) completeAnswers += 1
      total.add(answer.totalMilliseconds)
    }
  }
  await Promise.all(Array.from({ length: load.streams }, caller))
  return { completeAnswers, totalMedian: total.percentile(50) }
}

parentPort?.on('message', ({ id, request }: { id: number; request: WorkerRequest }) => {
  handle(request).then(
    result => parentPort?.postMessage({ id, result }),
    error => parentPort?.postMessage({ id, error: String(error) }),
  )
})
