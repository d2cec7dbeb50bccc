import { afterEach, describe, expect, it } from 'vitest'
import { ConfiguredFleet, streamChat } from '@rackwalk/stand-ins'
import type { ChatAnswer, EngineFront } from '@rackwalk/stand-ins'

/**
 * An API server went on listening beside its dead engine, so the look whether anybody listens told no end, and a chat that
 * ends what begins to run it was sent to engine after engine: up to four in one try, and anew with each repeat.
 */

const MARK = 'ending'
const INSTANCES = 3
const ENGINES = 8
const MOST_ENDS = 3
const LEAST_SERVED = 0.99
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
      const isKept = ends > 0 && ends <= MOST_ENDS && served >= LEAST_SERVED
      if (!isKept) over.push(`${front}: ${ends} ends, ${served.toFixed(3)} served`)
    }
    expect(over).toEqual([])
  }, 90_000)
})
