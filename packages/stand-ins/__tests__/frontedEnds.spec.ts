import { afterEach, describe, expect, it } from 'vitest'
import { ConfiguredFleet, streamChat } from '@rackwalk/stand-ins'
import type { ChatAnswer, EngineFront } from '@rackwalk/stand-ins'

/**
 * Guards against crashes that a front hides. An API server kept listening after its engine had crashed, so the probe of the
 * address showed no termination, and a crash-inducing chat was sent to one engine after the other: up to four in one attempt,
 * and again with each retry.
 */

const MARK = 'ending'
const INSTANCES = 3
const ENGINES = 8
const MAXIMUM_CRASHES = 3
const MINIMUM_SERVED = 0.99
const RUN_MILLISECONDS = 5_000
const MARKED_INTERVAL_MILLISECONDS = 250
const OTHER_INTERVAL_MILLISECONDS = 15
const FRONTS: readonly EngineFront[] = ['closes', 'silent', 'answers 500', 'answers 503']

let current: ConfiguredFleet | undefined

async function sendInTurn(
  fleet: ConfiguredFleet,
  interval: number,
  demandOf: (count: number) => { word: string; prompt?: string },
): Promise<readonly ChatAnswer[]> {
  const answers: Promise<ChatAnswer>[] = []
  const until = Date.now() + RUN_MILLISECONDS
  while (Date.now() < until) {
    const demand = { tokens: 4, ...demandOf(answers.length) }
    answers.push(streamChat(fleet.callers(answers.length % INSTANCES), demand))
    await new Promise(resolve => setTimeout(resolve, interval))
  }
  return Promise.all(answers)
}

async function play(front: EngineFront) {
  const fleet = await new ConfiguredFleet({ instances: INSTANCES, engines: ENGINES }).start()
  current = fleet
  for (const engine of fleet.engines) {
    engine.crashesOnWord = MARK
    engine.front = front
    engine.restartMilliseconds = 2_000
  }
  const [, others] = await Promise.all([
    sendInTurn(fleet, MARKED_INTERVAL_MILLISECONDS, () => ({ word: MARK })),
    sendInTurn(fleet, OTHER_INTERVAL_MILLISECONDS, count => ({
      word: 'other',
      prompt: `prompt ${count}`,
    })),
  ])
  const ends = fleet.engines.reduce((sum, engine) => sum + engine.crashes, 0)
  const served = others.filter(({ isWhole }) => isWhole).length / others.length
  await fleet.stop()
  current = undefined
  return { ends, served }
}

afterEach(async () => {
  await current?.stop()
  current = undefined
})

describe('a chat that ends engines behind a front that goes on listening', () => {
  it('ends three at the most, and nearly all others are served, whatever the front does', async () => {
    const over: string[] = []
    for (const front of FRONTS) {
      const { ends, served } = await play(front)
      const isKept = ends > 0 && ends <= MAXIMUM_CRASHES && served >= MINIMUM_SERVED
      if (!isKept) over.push(`${front}: ${ends} ends, ${served.toFixed(3)} served`)
    }
    expect(over).toEqual([])
  }, 90_000)
})
