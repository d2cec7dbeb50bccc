import { describe, expect, it } from 'vitest'
import type { SettingsError } from '@rackwalk/daemon'
import { gatewaySettingsSchema, parseWith, readKind, readSettings } from '@rackwalk/daemon'

const SETTINGS = {
  kind: 'gateway',
  adapter: 'target/adapter.mjs',
  instance: { id: 'edge-1', region: 'region-a', failureDomain: 'zone-a' },
  listen: {
    callers: '10.0.0.1:80',
    readiness: '10.0.0.1:81',
    directory: null,
    metrics: '10.0.0.1:82',
  },
  seeds: ['10.0.0.3:80', null],
  store: { address: '10.0.0.2:80', writesPerSecond: null },
}
const JSON_TEXT = JSON.stringify(SETTINGS, undefined, 2)
const YAML_TEXT = `
kind: gateway
adapter: target/adapter.mjs
instance: { id: edge-1, region: region-a, failureDomain: zone-a }
listen: { callers: 10.0.0.1:80, readiness: 10.0.0.1:81, directory: , metrics: 10.0.0.1:82 }
seeds: [10.0.0.3:80, ~]
store: { address: 10.0.0.2:80, writesPerSecond: }
`

async function faultsOf(text: string): Promise<unknown> {
  return readSettings(gatewaySettingsSchema, text).then(
    () => [],
    (thrown: unknown) => (thrown as SettingsError).faults,
  )
}

describe('settings read quickly', () => {
  it.each([JSON_TEXT, YAML_TEXT])('are those that the parser of YAML reads', async text => {
    const settings = await readSettings(gatewaySettingsSchema, text)
    expect(settings).toEqual(parseWith(gatewaySettingsSchema, YAML_TEXT))
    expect(settings).toEqual(parseWith(gatewaySettingsSchema, text))
    expect(settings.store.writesPerSecond).toBe(300)
  })

  it('tell their kind', async () => {
    expect(await readKind(JSON_TEXT)).toBe('gateway')
    expect(await readKind(YAML_TEXT)).toBe('gateway')
    expect(await readKind('{}')).toBeUndefined()
    expect(await readKind('null')).toBeUndefined()
    expect(await readKind('instance: [')).toBeUndefined()
  })

  it('treat a gap that is not valid JSON as YAML', async () => {
    const text = JSON_TEXT.replace('"writesPerSecond": null', '"writesPerSecond": ')
    const settings = await readSettings(gatewaySettingsSchema, text)
    expect(settings.store.writesPerSecond).toBe(300)
  })

  it('name every fault with its line', async () => {
    const broken = JSON_TEXT.replace('10.0.0.2:80', 'nowhere').replace('edge-1', 'a b')
    expect(await faultsOf(broken)).toMatchObject([
      { path: 'instance.id', line: 5, code: 6001 },
      { path: 'store.address', line: 20, code: 6001 },
    ])
    expect(await faultsOf('{"kind": [')).toMatchObject([
      { path: '', line: 1, code: 6002 },
      { path: '', line: 1, code: 6002 },
    ])
  })
})
