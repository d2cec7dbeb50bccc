import { describe, expect, it } from 'vitest'
import { EventDelivery } from '@rackwalk/router'

const event = (id: number) => `id: ${id}\ndata: x${id}\n\n`

describe('EventDelivery', () => {
  it('delivers only complete events and remembers the last id', () => {
    const delivery = new EventDelivery()
    const passed = delivery.read(Buffer.from(`${event(1)}${event(2)}id: 3\nda`))
    expect(passed.map(String)).toEqual([event(1), event(2)])
    expect(delivery.lastEventId).toBe('2')
    expect(delivery.isInsideEvent).toBe(true)
  })

  it('drops an incomplete event when another endpoint continues the stream', () => {
    const delivery = new EventDelivery()
    delivery.read(Buffer.from(`${event(1)}id: 2\nda`))
    delivery.continueElsewhere()
    const passed = delivery.read(Buffer.from(event(2)))
    expect(passed.map(String)).toEqual([event(2)])
    expect(delivery.events).toBe(2)
  })

  it('withholds a stray event and all that follow it in the same answer', () => {
    const delivery = new EventDelivery()
    const copy = `HTTP/1.1 200 OK\r\n\r\n${event(1)}${event(2)}`
    const passed = delivery.read(Buffer.from(`${event(1)}${copy}${event(3)}`))
    expect(passed.map(String)).toEqual([event(1)])
    expect(delivery.read(Buffer.from(event(4)))).toEqual([])
    expect(delivery).toMatchObject({ events: 1, lastEventId: '1', hasStrayEvent: true })
  })

  it('takes the events of the next answer after a stray one', () => {
    const delivery = new EventDelivery('2')
    expect(delivery.read(Buffer.from(event(2)))).toEqual([])
    delivery.continueElsewhere()
    expect(delivery.read(Buffer.from(event(3))).map(String)).toEqual([event(3)])
    expect(delivery).toMatchObject({ events: 1, lastEventId: '3', hasStrayEvent: false })
  })

  it('tells the ids of the first and the last event of each answer', () => {
    const delivery = new EventDelivery()
    delivery.read(Buffer.from(`${event(1)}${event(2)}`))
    expect(delivery.idsOfAnswer).toEqual({ first: '1', last: '2' })
    delivery.continueElsewhere()
    expect(delivery.idsOfAnswer).toEqual({ first: undefined, last: undefined })
    delivery.read(Buffer.from(event(3)))
    expect(delivery.idsOfAnswer).toEqual({ first: '3', last: '3' })
  })
})
