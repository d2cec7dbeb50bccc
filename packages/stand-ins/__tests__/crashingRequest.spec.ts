import { afterEach, describe, expect, it } from 'vitest'
import { ConfiguredFleet, streamChat } from '@rackwalk/stand-ins'
import type { ChatAnswer } from '@rackwalk/stand-ins'

/**
 * A request that ends each engine that begins to run it was sent to engine after engine: chat answers may be made again, so
 * one try of it ended up to four engines, and no instance told the next what it had seen. The callers' own repeats came to
 * other instances and began anew.
 */

const MARK = 'ending'
const INSTANCES = 3
const ENGINES = 6
const MOST_ENDS = 3
const REPEATS = 12
const INTERVAL_MILLISECONDS = 250
const LEAST_SERVED = 0.95

let current: ConfiguredFleet | undefined

async function start(): Promise<ConfiguredFleet> {
  current = await new ConfiguredFleet({ instances: INSTANCES, engines: ENGINES }).start()
  for (const engine of current.engines) engine.endsUnderWord = MARK
  return current
}

function ends(fleet: ConfiguredFleet): number {
  return fleet.engines.reduce((sum, engine) => sum + engine.ends, 0)
}

function pause(milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds))
}

/** Sends it again and again, to one instance after the other. */
async function repeat(fleet: ConfiguredFleet, word: string): Promise<readonly ChatAnswer[]> {
  const answers: Promise<ChatAnswer>[] = []
  for (let count = 0; count < REPEATS; count += 1) {
    answers.push(streamChat(fleet.callers(count % INSTANCES), { word, tokens: 8 }))
    await pause(INTERVAL_MILLISECONDS)
  }
  return Promise.all(answers)
}

/** Other requests while it comes: each with a prompt of its own. */
async function others(fleet: ConfiguredFleet): Promise<readonly ChatAnswer[]> {
  const answers: Promise<ChatAnswer>[] = []
  const until = Date.now() + REPEATS * INTERVAL_MILLISECONDS
  while (Date.now() < until) {
    const demand = { word: 'other', tokens: 4, prompt: `prompt ${answers.length}` }
    answers.push(streamChat(fleet.callers(answers.length % INSTANCES), demand))
    await pause(20)
  }
  return Promise.all(answers)
}

afterEach(async () => {
  await current?.stop()
  current = undefined
})

describe('a request that ends each engine that begins to run it', () => {
  it('ends three engines at the most, and nearly all other callers are served', async () => {
    const fleet = await start()
    const [marked, served] = await Promise.all([repeat(fleet, MARK), others(fleet)])
    expect(ends(fleet)).toBeGreaterThan(0)
    expect(ends(fleet)).toBeLessThanOrEqual(MOST_ENDS)
    expect(marked.every(({ isWhole }) => !isWhole)).toBe(true)
    const whole = served.filter(({ isWhole }) => isWhole)
    expect(whole.length / served.length).toBeGreaterThanOrEqual(LEAST_SERVED)
  })
})
