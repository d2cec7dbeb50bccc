// Embeds the coordination library in another program, to spend from budgets that cannot be overspent.
// Run `node examples/embed.mjs` after `npm run build`.
import { asId } from '@rackwalk/shared'
import { CoordinationNode, CostWeightedPolicy } from '@rackwalk/coordination'
import { createBill, createBudget, standaloneParts } from '@rackwalk/coordination'
import { MemoryObjects, MemoryTable } from '@rackwalk/stand-ins'

/** Spends from a budget until a reservation is refused. Returns the number of admitted tokens. */
export async function spendUntilRefused(limit, tokens) {
  const [budgetId, teamId] = [asId('tokens'), asId('team')]
  const table = new MemoryTable()
  await createBudget(table, { budgetId, teamId, limit })
  const policy = new CostWeightedPolicy({ overspend: 1, falseRefusal: 1 })
  const platform = { table, objects: new MemoryObjects() }
  const node = new CoordinationNode(standaloneParts({ instanceId: 'worker', policy, ...platform }))
  node.start()
  for (let admitted = 0; ; admitted += tokens) {
    const result = await node.ledger.reserve(budgetId, tokens)
    if (result.kind === 'refused') return node.leave().then(() => admitted)
    const bill = createBill({ budgetId, teamId, requestId: `request-${admitted}`, tokens })
    // Hand out the result only after this await: from then on the bill outlives this process.
    await node.ledger.settle(result.reservation, bill).durableOrHeld
  }
}

if (process.argv[1]?.endsWith('embed.mjs')) {
  console.log(`admitted ${await spendUntilRefused(1_000, 70)} of 1000 tokens`)
}
