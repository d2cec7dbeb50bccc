import { describe, expect, it } from 'vitest'
import {
  PressedInstances,
  adviceNewsOf,
  decodeReport,
  encodeReport,
  newsOf,
  pressureReports,
  tellsPressure,
} from '@rackwalk/daemon'
import { VirtualClock } from '@rackwalk/shared'

const SENDER = { instance: 'instance-1', incarnation: 'life-1' }

describe('the news that an instance is pressed', () => {
  it('has the form of a report that an earlier version drops as too late', () => {
    const [report] = pressureReports(SENDER)
    const bytes = report === undefined ? Buffer.of() : encodeReport(report)
    expect(bytes.toString()).toMatchInlineSnapshot(
      `"["instance-1","life-1",0,false,[["instance pressed",0,0,[]]]]"`,
    )
    const decoded = decodeReport(bytes)
    expect(decoded && tellsPressure(decoded)).toBe(true)
    expect(decoded && [newsOf(decoded), adviceNewsOf(decoded)]).toEqual([
      { marks: [], cleared: [] },
      [],
    ])
  })

  it('holds through lost datagrams, and passes with time', async () => {
    const clock = new VirtualClock()
    const pressed = new PressedInstances(clock)
    pressed.note('instance-1')
    await clock.advance(3_000)
    expect([pressed.has('instance-1'), pressed.has('instance-2')]).toEqual([true, false])
    await clock.advance(1_000)
    expect(pressed.has('instance-1')).toBe(false)
  })
})
