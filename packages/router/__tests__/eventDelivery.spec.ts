import { describe, expect, it } from 'vitest'
import { EventDelivery } from '@rackwalk/router'

const event = (id: number) => `id: ${id}\ndata: x${id}\n\n`

describe('EventRelay', () => {
  it('passes whole events only and knows the last id', () => {
    const relay = new EventDelivery()
    const passed = relay.read(Buffer.from(`${event(1)}${event(2)}id: 3\nda`))
    expect(passed.map(String)).toEqual([event(1), event(2)])
    expect(relay.lastEventId).toBe('2')
    expect(relay.isInsideEvent).toBe(true)
  })

  it('drops the piece of an event when another server continues the stream', () => {
    const relay = new EventDelivery()
    relay.read(Buffer.from(`${event(1)}id: 2\nda`))
    relay.continueElsewhere()
    const passed = relay.read(Buffer.from(event(2)))
    expect(passed.map(String)).toEqual([event(2)])
    expect(relay.events).toBe(2)
  })
})
