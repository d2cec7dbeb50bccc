/** The actions that may happen to a prepaid budget on a few instances, and how likely each is. */

import fc from 'fast-check'
import type { Milliseconds, TokenCount } from '@rackwalk/shared'

/** Number of nodes of a run; small, so that actions often collide. */
export const NODES = 3

/** One action of a run. */
export type PrepaidAction =
  | { readonly kind: 'reserve'; readonly node: number; readonly tokens: TokenCount }
  | { readonly kind: 'settle'; readonly node: number; readonly share: number }
  | { readonly kind: 'kill'; readonly node: number; readonly downMilliseconds: Milliseconds }
  | { readonly kind: 'lose-power'; readonly downMilliseconds: Milliseconds }
  | { readonly kind: 'leave'; readonly node: number }
  | { readonly kind: 'fault'; readonly node: number; readonly fault: PrepaidFault }
  | { readonly kind: 'peer-fault'; readonly node: number; readonly fault: PeerFault }
  | { readonly kind: 'turn'; readonly node: number; readonly isActive: boolean }
  | { readonly kind: 'heal' }
  | { readonly kind: 'forget' }
  | { readonly kind: 'raise' }
  | { readonly kind: 'wait'; readonly milliseconds: Milliseconds }

/** The way in which the store fails for one node. */
export type PrepaidFault = 'cut' | 'unreachable' | 'turned-away' | 'lost' | 'late'

/** `cut`: no peer call reaches or leaves the instance. `mute`: calls reach it, but its replies are lost. */
export type PeerFault = 'none' | 'cut' | 'mute'

const node = fc.integer({ min: 0, max: NODES - 1 })
const actionArbitrary: fc.Arbitrary<PrepaidAction> = fc.oneof(
  {
    weight: 8,
    arbitrary: fc.record({
      kind: fc.constant('reserve' as const),
      node,
      tokens: fc.integer({ min: 50, max: 900 }),
    }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant('settle' as const),
      node,
      share: fc.double({ min: 0, max: 1, noNaN: true }),
    }),
  },
  {
    weight: 5,
    arbitrary: fc.record({
      kind: fc.constant('wait' as const),
      milliseconds: fc.integer({ min: 10, max: 1_500 }),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('fault' as const),
      node,
      fault: fc.constantFrom<PrepaidFault>('cut', 'unreachable', 'turned-away', 'lost', 'late'),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('kill' as const),
      node,
      downMilliseconds: fc.integer({ min: 0, max: 3_000 }),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('peer-fault' as const),
      node,
      fault: fc.constantFrom<PeerFault>('none', 'cut', 'mute'),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('lose-power' as const),
      downMilliseconds: fc.integer({ min: 0, max: 3_000 }),
    }),
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('leave' as const), node }) },
  {
    weight: 1,
    arbitrary: fc.record({ kind: fc.constant('turn' as const), node, isActive: fc.boolean() }),
  },
  { weight: 2, arbitrary: fc.constant({ kind: 'heal' as const }) },
  { weight: 1, arbitrary: fc.constant({ kind: 'forget' as const }) },
  { weight: 1, arbitrary: fc.constant({ kind: 'raise' as const }) },
)

/** Scripts that shrink to the shortest one that still violates a guarantee. */
export const prepaidScriptArbitrary = fc.array(actionArbitrary, { minLength: 20, maxLength: 70 })
