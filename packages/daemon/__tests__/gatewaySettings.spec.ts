import { describe, expect, it } from 'vitest'
import { SettingsError, gatewaySettingsSchema, parseWith, settingsKind } from '@rackwalk/daemon'

const FILE = `
kind: gateway
adapter: target/adapter.mjs
instance: { id: edge-1, region: region-a, failureDomain: zone-a }
listen:
  callers: 10.0.0.1:80
  readiness: 10.0.0.1:81
  directory:
  metrics: 10.0.0.1:82
store:
  address: 10.0.0.2:80
  writesPerSecond:
`

describe('settings of a gateway instance', () => {
  it('fill gaps of a template with defaults', () => {
    const settings = parseWith(gatewaySettingsSchema, FILE)
    expect(settings.listen.directory).toBeUndefined()
    expect(settings.store.writesPerSecond).toBe(300)
    expect(settings.retries).toEqual({ ratio: 0.1, extra: 0, windowSeconds: 10 })
  })

  it('are told apart from the settings of an OpenAI-style instance', () => {
    expect(settingsKind(FILE)).toBe('gateway')
    expect(settingsKind('instance: {}')).toBeUndefined()
  })

  it('name every fault with its line and number', () => {
    const broken = FILE.replace('10.0.0.2:80', 'nowhere').replace('edge-1', '"a b"')
    try {
      parseWith(gatewaySettingsSchema, broken)
      expect.unreachable()
    } catch (thrown) {
      expect(thrown).toBeInstanceOf(SettingsError)
      const faults = (thrown as SettingsError).faults
      expect(faults.map(fault => fault.path).sort()).toEqual(['instance.id', 'store.address'])
      expect(faults.every(fault => fault.line > 0 && fault.code === 6001)).toBe(true)
    }
  })
})
