import { describe, expect, it } from 'vitest'
import { VirtualClock } from '@rackwalk/shared'
import { RouteTable, VersionedDenials } from '@rackwalk/router'
import type { ContradictedDenial, GatewayRoute } from '@rackwalk/router'

const HOST = 'app.example'

function tableOf(version: number, prefixes: readonly string[], keys: readonly string[]) {
  const routes = prefixes.map(pathPrefix => {
    return { name: pathPrefix, host: HOST, pathPrefix, isAnonymous: false } as GatewayRoute
  })
  const limits = { headerBytes: 0, bodyBytes: 0, headerMilliseconds: 0, idleMilliseconds: 0 }
  const teams = [{ name: 'team', keys, priority: undefined, prepaid: undefined }]
  return new RouteTable({ version, routes, services: [], teams, limits })
}

function setUp() {
  const clock = new VirtualClock()
  const contradicted: ContradictedDenial[] = []
  const denials = new VersionedDenials(clock, denial => contradicted.push(denial))
  return { clock, contradicted, denials }
}

const WANTED = { requestId: 'r', host: HOST, path: '/a/x', key: 'key' }

describe('a refusal for a route or key', () => {
  it('is reported if the version before allows it', async () => {
    const { clock, contradicted, denials } = setUp()
    denials.observe(tableOf(1, ['/a/'], ['key']))
    denials.observe(tableOf(2, ['/a/'], []))
    await clock.advance(500)
    denials.note(WANTED)
    expect(contradicted).toEqual([
      { request: 'r', refusedBy: 2, allowedBy: 1, sinceChangeMilliseconds: 500 },
    ])
  })

  it('is reported if a version that takes effect soon after allows it', async () => {
    const { clock, contradicted, denials } = setUp()
    denials.observe(tableOf(1, [], ['key']))
    denials.note(WANTED)
    await clock.advance(2_000)
    denials.observe(tableOf(2, ['/a/'], ['key']))
    expect(contradicted).toEqual([
      { request: 'r', refusedBy: 1, allowedBy: 2, sinceChangeMilliseconds: -2_000 },
    ])
  })

  it('is not reported if no version allows it, or only one of long ago', async () => {
    const { clock, contradicted, denials } = setUp()
    denials.observe(tableOf(1, ['/a/'], ['key']))
    const second = tableOf(2, ['/a/'], ['other'])
    denials.observe(second)
    denials.note({ ...WANTED, path: '/b/x' })
    await clock.advance(11_000)
    denials.observe(second)
    denials.note(WANTED)
    denials.observe(tableOf(3, ['/b/'], ['other']))
    expect(contradicted).toEqual([])
  })
})
