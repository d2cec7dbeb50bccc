import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { RendezvousWeights, rendezvousChoice, rendezvousOrder } from '../src/choosing/rendezvous.js'

describe('RendezvousWeights', () => {
  it('orders candidates as rendezvousOrder does, also when it has seen them before', () => {
    fc.assert(
      fc.property(fc.string(), fc.uniqueArray(fc.string(), { maxLength: 20 }), (key, names) => {
        const weights = new RendezvousWeights(key)
        const sorted = () => [...names].sort((left, right) => weights.compare(left, right))
        expect(sorted()).toEqual(rendezvousOrder(key, names))
        expect(sorted()).toEqual(rendezvousOrder(key, names))
        expect(rendezvousChoice(key, names)).toBe(rendezvousOrder(key, names)[0])
      }),
    )
  })
})
