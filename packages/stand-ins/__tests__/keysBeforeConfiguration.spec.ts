import { afterEach, expect, it } from 'vitest'
import { ConfiguredFleet, streamChat } from '@rackwalk/stand-ins'

/** Guards against a final "unknown key" from an instance that has read no configuration yet. */

let fleet: ConfiguredFleet | undefined

afterEach(() => fleet?.stop())

it('a valid key is not refused for good while no configuration was read', async () => {
  fleet = new ConfiguredFleet({ instances: 1 })
  await fleet.start()
  const [first] = fleet.fleet.members
  if (first === undefined) throw new Error('no instance')
  // Without the table and without peers, an instance that starts learns nothing.
  fleet.platform.tableFaults.outage = true
  await fleet.fleet.kill(first)
  await fleet.fleet.add(1)
  const chat = await streamChat(fleet.callers(), { word: 'one', tokens: 2 })
  const models = await fetch(`${fleet.callers()}/v1/models`, {
    headers: { authorization: 'Bearer team-key' },
  })
  expect([chat.status, chat.errorCode, models.status]).toEqual([503, 3005, 503])
})
