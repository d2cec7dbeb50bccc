/** Renders docs/CAPACITY.md from measured slopes. */

import { formatShort } from '../percentile.js'
import type { PathSlopes } from '../path/index.js'
import { nodeCosts, platformCosts } from './estimate.js'
import type { NodeCost, PlatformCost } from './estimate.js'
import { BOOKING_LARGE_SIZE, BOOKING_SIZE, DOCWORKS_SIZE, REQUIREMENT_SIZE } from './fleetSize.js'
import type { FleetSize } from './fleetSize.js'
import { gatewayNodeCosts, gatewayPlatformCosts } from './gatewayEstimate.js'
import type { GatewaySlopes } from './gatewaySlopes.js'
import type { MeasuredSlopes } from './measuredSlopes.js'
import type { Slope } from './slope.js'

const CORE_LIMIT = 0.034
const BYTES_LIMIT = 17_000
const HEAP_LIMIT = 256 * 1024 * 1024
const MEGABYTE = 1024 * 1024

/** Renders the whole page. */
export function capacityPage(
  slopes: MeasuredSlopes,
  gateway: GatewaySlopes,
  path: PathSlopes,
): string {
  return [
    '# Capacity',
    '',
    'Written by `npm run capacity` from slopes measured in that run; do not edit.',
    'Each slope is a least-squares line through at least three sizes; "fit" is the share of the',
    'variance that it explains. One machine, Node.js 20, stand-ins of the platform in memory.',
    '',
    '## Measured slopes',
    '',
    ...table(
      ['what', 'per', 'slope', 'fixed', 'fit', 'samples (size: value)'],
      [...slopeRows(slopes, path), ...gatewaySlopeRows(gateway)],
    ),
    ...sizes(slopes, gateway, path),
    ...conclusions(),
  ].join('\n')
}

function sizes(
  slopes: MeasuredSlopes,
  gateway: GatewaySlopes,
  path: PathSlopes,
): readonly string[] {
  return [REQUIREMENT_SIZE, BOOKING_SIZE, BOOKING_LARGE_SIZE, DOCWORKS_SIZE].flatMap(fleet => [
    `## ${fleet.name}: ${fleet.nodes} nodes, ${fleet.endpoints} endpoints, ${fleet.budgets} budgets`,
    '',
    'Instances with the OpenAI-style interface:',
    '',
    ...nodeSection(nodeCosts(fleet, slopes)),
    ...platformSection(fleet, platformCosts(fleet)),
    ...pathSection(fleet, path),
    'Instances of the gateway kind:',
    '',
    ...nodeSection(gatewayNodeCosts(fleet, gateway)),
    ...platformSection(fleet, gatewayPlatformCosts(fleet)),
  ])
}

function nodeSection(costs: readonly NodeCost[]): readonly string[] {
  const total = (pick: (cost: NodeCost) => number) =>
    costs.reduce((sum, cost) => sum + pick(cost), 0)
  const core = total(cost => cost.coreShare)
  const bytes = total(cost => cost.bytesPerSecond)
  const heap = total(cost => cost.heapBytes)
  const rows = costs.map(cost => [
    cost.part,
    `${(100 * cost.coreShare).toFixed(3)}%`,
    `${formatShort(cost.bytesPerSecond / 1000)} KB/s`,
    `${formatShort(cost.heapBytes / MEGABYTE)} MB`,
    cost.mechanism,
  ])
  const totals = [
    '**total**',
    `${(100 * core).toFixed(3)}% ${limitNote(core, CORE_LIMIT, '3.4%')}`,
    `${formatShort(bytes / 1000)} KB/s ${limitNote(bytes, BYTES_LIMIT, '17 KB/s')}`,
    `${formatShort(heap / MEGABYTE)} MB ${limitNote(heap, HEAP_LIMIT, '256 MB')}`,
    '',
  ]
  return table(
    ['control work of a node', 'core', 'network', 'heap', 'mechanism'],
    [...rows, totals],
  )
}

function platformSection(fleet: FleetSize, costs: readonly PlatformCost[]): readonly string[] {
  const { storeWritesPerSecond, storeReadsPerSecond } = fleet
  const writes = costs.reduce((sum, cost) => sum + cost.writesPerSecond, 0)
  const reads = costs.reduce((sum, cost) => sum + cost.readsPerSecond, 0)
  const rows = costs.map(cost => [
    cost.part,
    formatShort(cost.writesPerSecond),
    formatShort(cost.readsPerSecond),
    cost.mechanism,
  ])
  const totals = [
    '**total**',
    `${formatShort(writes)} ${limitNote(writes, storeWritesPerSecond, String(storeWritesPerSecond))}`,
    `${formatShort(reads)} ${limitNote(reads, storeReadsPerSecond, String(storeReadsPerSecond))}`,
    '',
  ]
  return table(['platform, whole fleet', 'writes/s', 'reads/s', 'mechanism'], [...rows, totals])
}

function pathSection(fleet: FleetSize, path: PathSlopes): readonly string[] {
  const requests = fleet.requestsPerSecond / fleet.nodes
  const tokens = fleet.tokensPerSecond / fleet.nodes
  const core = (requests * path.perRequest + tokens * path.perToken) / 1e6
  return [
    `Request path of a node: ${formatShort(requests)} requests/s and ${formatShort(tokens)} tokens/s take ` +
      `${(100 * core).toFixed(1)}% of a core by the slopes above.`,
    '',
  ]
}

function conclusions(): readonly string[] {
  return [
    '## What is met, what is not, what breaks first',
    '',
    'At the sizes of today every limit is met. Not met at the first letter’s size:',
    '',
    '1. **Endpoint reports** break first: every node asks every endpoint. A node has to serve a',
    '   subset (by rendezvous hashing, some 40 for each model), or take reports from digests of',
    '   its failure domain. The prefix index has the same remedy.',
    '2. **Budget exchanges**: with 14,000 requests/s spread over 350,000 budgets, one exchange for',
    '   each active budget and holder in 30 s is far over the store’s writes. To build: one',
    '   holder for a budget and region, which lends to the others (lending exists), and exchanges of',
    '   up to 49 budgets in one transaction (the row functions allow it; nothing batches them yet).',
    '3. **Reads of the lease and the list** by every node: to be asked by a few nodes and passed on.',
    '4. **Heap** of the journal’s full backlog and the decision records beside the rest; both are',
    '   bounds that a setting lowers.',
    '5. `usage` reads every journal; journals are not yet moved to the object store.',
    '6. **The gateway kind** follows every budget, server and member at every node, and a request that',
    '   its record does not cover takes a transaction. To build: budgets assigned to few nodes by',
    '   rendezvous hashing (loans between instances exist, so any node can serve), servers and members',
    '   read by a few nodes of a failure domain and passed on by the datagrams that carry load today.',
    '',
    'Configuration in force everywhere: a change is in the log when it is accepted; an instance',
    'that sees it tells its group with the next heartbeat (1 s), and digests carry the revision',
    'between groups (about 5 s); the poll of 2 s bounds it while the table answers. Within 15 s by',
    'this reckoning; measured with 3 instances only (docs/measurements.md).',
    '',
  ]
}

function slopeRow(what: string, per: string, slope: Slope): readonly string[] {
  return [
    what,
    per,
    formatShort(slope.perUnit),
    formatShort(slope.fixed),
    slope.fit.toFixed(3),
    slope.samples.map(({ size, value }) => `${size}: ${formatShort(value)}`).join(', '),
  ]
}

function gatewaySlopeRows(slopes: GatewaySlopes): readonly (readonly string[])[] {
  return [
    slopeRow('gateway: choice of a server, us', 'server of the service', slopes.choice),
    slopeRow('gateway: load report taken in, us', 'server in the report', slopes.reportTaken),
    slopeRow('gateway: load report, bytes', 'server in the report', slopes.reportBytes),
    slopeRow('gateway: prompt caches, heap bytes', 'server', slopes.cacheHeap),
    slopeRow('gateway: a second of prepaid budgets at rest, us', 'budget', slopes.prepaidMaintain),
    slopeRow('gateway: prepaid heap with its stand-in store, bytes', 'budget', slopes.prepaidHeap),
  ]
}

function slopeRows(slopes: MeasuredSlopes, path: PathSlopes): readonly (readonly string[])[] {
  const plain = (what: string, per: string, value: number) => [
    what,
    per,
    formatShort(value),
    '',
    '',
    '',
  ]
  return [
    slopeRow('heartbeat round, us', 'node of the fleet', slopes.heartbeatRound),
    plain('heartbeat, bytes', 'message', slopes.heartbeatBytes),
    slopeRow('digests, bytes', 'group', slopes.digestBytes),
    slopeRow('membership heap, bytes', 'node of the fleet', slopes.memberHeap),
    slopeRow('budget maintenance, us', 'budget held', slopes.budgetMaintain),
    slopeRow('budget heap, bytes', 'budget held', slopes.budgetHeap),
    slopeRow('routing decision, us', 'endpoint of the model', slopes.routingDecision),
    slopeRow('endpoint heap, bytes', 'endpoint', slopes.endpointHeap),
    slopeRow('configuration change, us', 'change', slopes.changeApplied),
    slopeRow('configuration heap, bytes', 'resource', slopes.resourceHeap),
    slopeRow('journal, us', 'entry', slopes.journalEntry),
    plain('journal, bytes', 'entry', slopes.journalEntryBytes),
    slopeRow('journal backlog heap, bytes', 'entry', slopes.backlogHeap),
    slopeRow('decision record, us', 'record', slopes.recordAdded),
    slopeRow('decision record heap, bytes', 'record', slopes.recordHeap),
    plain('decision record, bytes', 'record', slopes.recordBytes),
    slopeRow('request path, us (fixed: a request)', 'token', path.slope),
  ]
}

function limitNote(value: number, limit: number, text: string): string {
  return value <= limit ? `(limit ${text}: met)` : `(limit ${text}: **not met**)`
}

function table(
  headings: readonly string[],
  rows: readonly (readonly string[])[],
): readonly string[] {
  return [
    `| ${headings.join(' | ')} |`,
    `|${headings.map(() => ' --- |').join('')}`,
    ...rows.map(row => `| ${row.join(' | ')} |`),
    '',
  ]
}
