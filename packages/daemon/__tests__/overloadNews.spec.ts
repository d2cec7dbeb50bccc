import { describe, expect, it } from 'vitest'
import {
  OverloadedInstances,
  adviceNewsOf,
  decodeReport,
  encodeReport,
  newsOf,
  overloadReports,
  tellsOverload,
} from '@rackwalk/daemon'
import { VirtualClock } from '@rackwalk/shared'

const SENDER = { instance: 'instance-1', incarnation: 'life-1' }

describe('the news that an instance is overloaded', () => {
  it('has the form of a report that an earlier version drops as too late', () => {
    const [report] = overloadReports(SENDER)
    const bytes = report === undefined ? Buffer.of() : encodeReport(report)
    expect(bytes.toString()).toMatchInlineSnapshot(
      `"["instance-1","life-1",0,false,[["instance overloaded",0,0,[]]]]"`,
    )
    const decoded = decodeReport(bytes)
    expect(decoded && tellsOverload(decoded)).toBe(true)
    expect(decoded && [newsOf(decoded), adviceNewsOf(decoded)]).toEqual([
      { marks: [], cleared: [] },
      [],
    ])
  })

  it('holds through lost datagrams, and passes with time', async () => {
    const clock = new VirtualClock()
    const overloaded = new OverloadedInstances(clock)
    overloaded.note('instance-1')
    await clock.advance(3_000)
    expect([overloaded.has('instance-1'), overloaded.has('instance-2')]).toEqual([true, false])
    await clock.advance(1_000)
    expect(overloaded.has('instance-1')).toBe(false)
  })
})
