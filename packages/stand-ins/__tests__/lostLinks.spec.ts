import { afterEach, describe, expect, it, vi } from 'vitest'
import type { Catalogue } from '@rackwalk/router'
import { ConfiguredFleet, streamChat } from '@rackwalk/stand-ins'
import type { ChatAnswer } from '@rackwalk/stand-ins'
import { EndpointLinks } from '../../../platform/__tests__/standIns/endpointLinks.js'
import type { LinkCut } from '../../../platform/__tests__/standIns/endpointLinks.js'

/** Guards against an instance that refuses its callers while other instances reach all engines. */

const INSTANCES = 3
const ENGINES = 4
/** Time within which all instances know that links are cut. */
const DETECTION_MILLISECONDS = 3_000
const CHECKED_MILLISECONDS = 1_500
const INTERVAL_MILLISECONDS = 40
const DEADLINE_MILLISECONDS = 2_000
const MINIMUM_SERVED = 2 / 3

let fleet: ConfiguredFleet
let links: EndpointLinks

/** Starts a fleet whose first instance reaches the engines over links that the test can cut. */
async function start(): Promise<void> {
  fleet = await new ConfiguredFleet({ instances: INSTANCES, engines: ENGINES }).start()
  const catalogue = fleet.fleet.members[0]?.daemon['catalogue'] as Catalogue | undefined
  if (catalogue === undefined) throw new Error('no instance')
  const hosts = catalogue.endpoints.map(({ spec }) => new URL(spec.address).host)
  links = new EndpointLinks(hosts)
  await links.start()
  type Configured = (typeof catalogue.endpoints)[number]
  const linked = (endpoint: Configured): Configured => {
    const address = `http://${links.addressOf(new URL(endpoint.spec.address).host)}`
    return { ...endpoint, spec: { ...endpoint.spec, address } }
  }
  const endpoints: readonly Configured[] = catalogue.endpoints
  vi.spyOn(catalogue, 'endpoints', 'get').mockImplementation(() => endpoints.map(linked))
  vi.spyOn(catalogue, 'findEndpoint').mockImplementation(id => {
    const found = endpoints.find(({ endpointId }) => endpointId === id)
    return found && linked(found)
  })
}

afterEach(async () => {
  vi.restoreAllMocks()
  await links.stop()
  await fleet.stop()
})

async function sendFor(milliseconds: number, instance = 0): Promise<readonly ChatAnswer[]> {
  const answers: Promise<ChatAnswer | undefined>[] = []
  const until = Date.now() + milliseconds
  while (Date.now() < until) {
    const headers = { 'rackwalk-deadline-ms': String(DEADLINE_MILLISECONDS) }
    const demand = { word: 'chat', tokens: 4, prompt: `prompt ${answers.length}`, headers }
    answers.push(streamChat(fleet.callers(instance), demand).catch(() => undefined))
    await new Promise(resolve => setTimeout(resolve, INTERVAL_MILLISECONDS))
  }
  return (await Promise.all(answers)).flatMap(answer => answer ?? [])
}

function servedShare(answers: readonly ChatAnswer[]): number {
  return answers.filter(({ isWhole }) => isWhole).length / answers.length
}

describe('an instance that has lost its links to all engines', () => {
  for (const how of ['refused', 'hanging', 'unanswered'] satisfies LinkCut[]) {
    it(`has its chats served through another one while connections are ${how}`, async () => {
      await start()
      expect(servedShare(await sendFor(400))).toBe(1)
      links.cut(how)
      await sendFor(DETECTION_MILLISECONDS)
      const answers = await sendFor(CHECKED_MILLISECONDS)
      expect(servedShare(answers)).toBeGreaterThanOrEqual(MINIMUM_SERVED)
    })
  }

  it('marks no engine as terminated, and uses the engines soon after its links are restored', async () => {
    await start()
    links.cut('refused')
    await sendFor(1_000)
    expect(fleet.engines.map(({ crashes }) => crashes)).toEqual(fleet.engines.map(() => 0))
    for (const { daemon } of fleet.fleet.members) {
      expect(daemon['crashes'].guard.suspects).toEqual([])
    }
    expect(servedShare(await sendFor(500, 1))).toBe(1)
    links.heal()
    await new Promise(resolve => setTimeout(resolve, 1_500))
    expect(servedShare(await sendFor(500))).toBe(1)
  })
})
