import {
  EqualSplitPolicy,
  RateProportionalPolicy,
  CostWeightedPolicy,
} from '@rackwalk/coordination'
import type { AllocationPolicy } from '@rackwalk/coordination'
import type { Bound } from '../bounds/bound.js'
import { BudgetSimulation } from './budgetSimulation.js'
import type { BudgetOutcome } from './budgetSimulation.js'
import { SCENARIOS } from './scenario.js'
import type { Scenario } from './scenario.js'

/** Bounds on the budgets of the OpenAI-style kind, from the real ledgers of eight instances. */

/** To the booking office, a false refusal costs four times as much as overspending. */
const WEIGHTS = { overspend: 1, falseRefusal: 4 }

/** A policy that the setting `budgetPolicy` accepts. */
interface NamedPolicy {
  readonly name: string
  readonly create: () => AllocationPolicy
}

const POLICIES: readonly NamedPolicy[] = [
  { name: 'equal-split', create: () => new EqualSplitPolicy() },
  { name: 'rate-proportional', create: () => new RateProportionalPolicy() },
  { name: 'weighed', create: () => new CostWeightedPolicy(WEIGHTS) },
]

/** Runs every policy in every scenario and returns the bounds on the results. */
export async function boundBudgets(seed: number): Promise<readonly Bound[]> {
  const bounds: Bound[] = []
  for (const scenario of SCENARIOS) {
    const outcomes = new Map<string, BudgetOutcome>()
    for (const { name, create } of POLICIES) {
      outcomes.set(name, await new BudgetSimulation(scenario, create, seed).run())
    }
    bounds.push(...boundsOf(scenario, outcomes))
  }
  return bounds
}

function boundsOf(scenario: Scenario, outcomes: Map<string, BudgetOutcome>): readonly Bound[] {
  const name = (text: string) => `budgets, ${scenario.name}: ${text}`
  const weighed = outcomes.get('weighed') as BudgetOutcome
  const equal = outcomes.get('equal-split') as BudgetOutcome
  const overspent = [...outcomes.values()].reduce((sum, o) => sum + o.overspentTokens, 0)
  return [
    { name: name('overspent tokens of all policies'), value: overspent, atMost: 0 },
    {
      name: name('false refusals of weighed against equal-split'),
      value: weighed.falseRefusals / Math.max(1, equal.falseRefusals),
      // When a budget runs out in the outage, tokens that others hold cause most false refusals.
      atMost: 0.7,
    },
    { name: name('writes a second'), value: weighed.writesPerSecond, atMost: 100 },
    { name: name('reads a second'), value: weighed.readsPerSecond, atMost: 2_000 },
  ]
}
