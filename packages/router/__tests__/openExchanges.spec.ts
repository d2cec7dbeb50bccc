import { describe, expect, it } from 'vitest'
import type { KnownEnd } from '@rackwalk/decisions'
import { asId } from '@rackwalk/shared'
import type { EndpointId } from '@rackwalk/shared'
import { OpenExchanges } from '@rackwalk/router'

/** Whom the end of an endpoint reaches. */

const END: KnownEnd = { source: 'look', brokenAt: 100, lookedAt: 200 }

function exchange(open: OpenExchanges, endpoint: string, sentAt: number) {
  const withdrawn: boolean[] = []
  const entry = {
    endpointId: asId<EndpointId>(endpoint),
    sentAt,
    heardAt: undefined,
    isPaused: false,
    // As an exchange does that ends by it.
    withdraw: (wasThere: boolean) => {
      withdrawn.push(wasThere)
      open.remove(entry)
    },
  }
  open.add(entry)
  return { entry, withdrawn }
}

describe('the exchanges that are open', () => {
  it('are given up at the endpoint that has ended, each once, and nowhere else', () => {
    const open = new OpenExchanges()
    const there = [
      exchange(open, 'one', 50),
      exchange(open, 'one', 150),
      exchange(open, 'one', 250),
    ]
    const elsewhere = exchange(open, 'two', 50)
    for (let time = 0; time < 2; time += 1) open.noteEnd(asId<EndpointId>('one'), END, 0)
    expect(there.map(({ withdrawn }) => withdrawn)).toEqual([[true], [false], []])
    expect(elsewhere.withdrawn).toEqual([])
  })

  it('are not given up once they have ended by themselves', () => {
    const open = new OpenExchanges()
    const { entry, withdrawn } = exchange(open, 'one', 50)
    open.remove(entry)
    open.noteEnd(asId<EndpointId>('one'), END, 0)
    expect(withdrawn).toEqual([])
  })
})
