import { boundBudgets } from '../budgets/index.js'
import { boundPath } from '../path/index.js'
import { boundRouting } from '../routing/index.js'
import { checkBounds } from './bound.js'

/**
 * `npm run bounds`: checks, in short seeded runs, bounds that no test checks: ratios between
 * policies of the OpenAI-style kind on the same traffic, and the rate of its table calls.
 */

const SEED = 1

const unmet = checkBounds([
  ...(await boundBudgets(SEED)),
  ...(await boundRouting(SEED)),
  ...(await boundPath()),
])
process.exit(unmet.length === 0 ? 0 : 1)
