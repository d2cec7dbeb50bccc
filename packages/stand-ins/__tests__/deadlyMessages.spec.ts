import { afterEach, describe, expect, it } from 'vitest'
import { ConfiguredFleet, streamChat } from '@rackwalk/stand-ins'
import type { ChatAnswer } from '@rackwalk/stand-ins'

/** Guards against chats that are all different but share one message that crashes each engine that runs it. */

const INSTANCES = 3
const ENGINES = 8
const RUN_MILLISECONDS = 6_000
const CRASHING_INTERVAL_MILLISECONDS = 250
const HARMLESS_INTERVAL_MILLISECONDS = 20
const MAXIMUM_CRASHES = 4
const MINIMUM_SERVED = 0.95
const TOPICS = 5
const CRASHING_MESSAGE = 'the message that ends engines'
const SYSTEM = 'you are an assistant'

let fleet: ConfiguredFleet

async function start(): Promise<void> {
  fleet = await new ConfiguredFleet({ instances: INSTANCES, engines: ENGINES }).start()
  for (const engine of fleet.engines) engine.crashesOnMessage = CRASHING_MESSAGE
}

afterEach(async () => {
  await fleet.stop()
})

async function sendInTurn(
  interval: number,
  messagesOf: (count: number) => readonly string[],
): Promise<readonly ChatAnswer[]> {
  const answers: Promise<ChatAnswer>[] = []
  const until = Date.now() + RUN_MILLISECONDS
  while (Date.now() < until) {
    const count = answers.length
    const demand = { word: 'chat', tokens: 4, messages: messagesOf(count) }
    answers.push(streamChat(fleet.callers(count % INSTANCES), demand))
    await new Promise(resolve => setTimeout(resolve, interval))
  }
  return Promise.all(answers)
}

const CRASHING_CHATS: Readonly<Record<string, (count: number) => readonly string[]>> = {
  first: count => [CRASHING_MESSAGE, SYSTEM, `topic ${count % TOPICS}`, `question ${count}`],
  second: count => [SYSTEM, CRASHING_MESSAGE, `topic ${count % TOPICS}`, `question ${count}`],
  'next to last': count => [
    SYSTEM,
    `topic ${count % TOPICS}`,
    CRASHING_MESSAGE,
    `question ${count}`,
  ],
}

const harmlessChat = (count: number) => [SYSTEM, `topic ${count % TOPICS}`, `other ${count}`]

describe('chats of which one message ends what begins to answer, no two alike', () => {
  for (const [place, crashingChat] of Object.entries(CRASHING_CHATS)) {
    it(`end four engines at the most, and others are served, where that message is ${place}`, async () => {
      await start()
      const [crashing, harmless] = await Promise.all([
        sendInTurn(CRASHING_INTERVAL_MILLISECONDS, crashingChat),
        sendInTurn(HARMLESS_INTERVAL_MILLISECONDS, harmlessChat),
      ])
      const crashes = fleet.engines.reduce((sum, engine) => sum + engine.crashes, 0)
      expect(crashes).toBeGreaterThan(0)
      expect(crashes).toBeLessThanOrEqual(MAXIMUM_CRASHES)
      expect(crashing.every(({ isWhole }) => !isWhole)).toBe(true)
      const served = harmless.filter(({ isWhole }) => isWhole)
      expect(served.length / harmless.length).toBeGreaterThanOrEqual(MINIMUM_SERVED)
    })
  }
})
