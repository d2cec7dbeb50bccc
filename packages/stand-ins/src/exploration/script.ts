/**
 * The actions of a run and how likely each is. Scripts shrink to the shortest one that still violates a
 * guarantee.
 */

import fc from 'fast-check'

/** Numbers of nodes, budgets and keys of a run; small, so that actions often collide. */
export const NODES = 4
export const BUDGETS = 2
const KEYS = 6
/**
 * The number of nodes that may die. At least one must survive to seal and reclaim the dead ones. Held
 * journal entries outlive their holders in the object store.
 */
export const MAXIMUM_DEATHS = 3

/** One action of a run. `steps` is the number of scheduled steps before the next action. */
export type Action =
  | {
      readonly kind: 'request'
      readonly node: number
      readonly budget: number
      readonly key: number
      readonly repeatable: boolean
      readonly bound: number
      readonly spentShare: number
      readonly steps: number
    }
  | {
      readonly kind: 'flush' | 'maintain' | 'kill' | 'losePower' | 'pause' | 'resume'
      readonly node: number
      readonly steps: number
    }
  | { readonly kind: 'cutTable' | 'healTable'; readonly node: number; readonly steps: number }
  | { readonly kind: 'outage' | 'heal'; readonly steps: number }
  | { readonly kind: 'cut'; readonly node: number; readonly other: number; readonly steps: number }
  | {
      readonly kind: 'seal' | 'reclaim'
      readonly node: number
      readonly target: number
      readonly steps: number
    }
  | {
      readonly kind: 'limit'
      readonly budget: number
      readonly limit: number
      readonly steps: number
    }
  | { readonly kind: 'advance'; readonly milliseconds: number; readonly steps: number }

const node = fc.nat(NODES - 1)
const budget = fc.nat(BUDGETS - 1)
const steps = fc.nat(10)

const request: fc.Arbitrary<Action> = fc.record({
  kind: fc.constant('request' as const),
  node,
  budget,
  key: fc.nat(KEYS - 1),
  repeatable: fc.boolean(),
  bound: fc.integer({ min: 1, max: 100 }),
  // Mostly the whole bound, so that a budget runs out within a run.
  spentShare: fc.constantFrom(1, 1, 1, 0.5, 0),
  steps,
})

const nodeAction = (kind: 'flush' | 'maintain' | 'kill' | 'losePower' | 'pause' | 'resume') =>
  fc.record({ kind: fc.constant(kind), node, steps }) as fc.Arbitrary<Action>

const tableAction = (kind: 'cutTable' | 'healTable') =>
  fc.record({ kind: fc.constant(kind), node, steps }) as fc.Arbitrary<Action>

const fleetAction = (kind: 'outage' | 'heal') =>
  fc.record({ kind: fc.constant(kind), steps }) as fc.Arbitrary<Action>

const targetAction = (kind: 'seal' | 'reclaim') =>
  fc.record({ kind: fc.constant(kind), node, target: node, steps }) as fc.Arbitrary<Action>

const action: fc.Arbitrary<Action> = fc.oneof(
  { weight: 24, arbitrary: request },
  { weight: 8, arbitrary: nodeAction('flush') },
  { weight: 3, arbitrary: nodeAction('maintain') },
  { weight: 1, arbitrary: nodeAction('kill') },
  { weight: 1, arbitrary: nodeAction('losePower') },
  { weight: 1, arbitrary: nodeAction('pause') },
  { weight: 2, arbitrary: nodeAction('resume') },
  { weight: 2, arbitrary: tableAction('cutTable') },
  { weight: 2, arbitrary: tableAction('healTable') },
  { weight: 1, arbitrary: fleetAction('outage') },
  { weight: 2, arbitrary: fleetAction('heal') },
  {
    weight: 2,
    arbitrary: fc.record({ kind: fc.constant('cut' as const), node, other: node, steps }),
  },
  { weight: 2, arbitrary: targetAction('seal') },
  { weight: 2, arbitrary: targetAction('reclaim') },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('limit' as const),
      budget,
      limit: fc.integer({ min: 0, max: 400 }),
      steps,
    }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant('advance' as const),
      milliseconds: fc.integer({ min: 50, max: 2_000 }),
      steps,
    }),
  },
)

/** A run's actions, the share of messages that are lost in it and the seed of its random faults. */
export interface Script {
  readonly actions: readonly Action[]
  readonly lossShare: number
  readonly seed: number
}

export const scriptArbitrary: fc.Arbitrary<Script> = fc.record({
  actions: fc.array(action, { minLength: 30, maxLength: 90 }),
  lossShare: fc.constantFrom(0, 0.05, 0.2),
  seed: fc.integer(),
})
