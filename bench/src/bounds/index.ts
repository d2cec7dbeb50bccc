import { boundBudgets } from '../budgets/index.js'
import { boundPath } from '../path/index.js'
import { boundRouting } from '../routing/index.js'
import { checkBounds } from './bound.js'

/**
 * `npm run bounds`: checks in short, seeded runs what no test states: ratios between policies of
 * the OpenAI-style kind on the same traffic, and its calls to the table.
 */

const SEED = 1

const broken = checkBounds([
  ...(await boundBudgets(SEED)),
  ...(await boundRouting(SEED)),
  ...(await boundPath()),
])
process.exit(broken.length === 0 ? 0 : 1)
